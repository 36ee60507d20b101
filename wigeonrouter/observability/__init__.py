"""Logs, histograms and metrics.

Logbook and prometheus_client take 8 MB and 40 ms to import. A process that
logs in another way and is never asked for its metrics does without them.
"""

import importlib

from wigeonrouter.observability import _metrics

Metrics = _metrics.Metrics
RequestSample = _metrics.RequestSample

_LATE = {
    "Gauges": ("_exposition", "Gauges"),
    "LogOutput": ("_logs", "LogOutput"),
    "METRICS_CONTENT_TYPE": ("_exposition", "CONTENT_TYPE"),
    "RequestLog": ("_logs", "RequestLog"),
    "count_states": ("_exposition", "count_states"),
    "expose": ("_exposition", "expose"),
    "logger": ("_logs", "logger"),
}


def __getattr__(name):
    """Import the module of a name when it is first used."""
    if name not in _LATE:
        raise AttributeError(f"module {__name__!r} has no {name!r}")
    module, attribute = _LATE[name]
    return getattr(importlib.import_module(f"{__name__}.{module}"), attribute)
