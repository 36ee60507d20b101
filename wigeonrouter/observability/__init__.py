"""Logs, latency histograms and metrics.

Importing logbook and prometheus_client takes 8 MB of memory and 40 ms. The
names that need them are imported on first use, so that a process that logs
in another way and whose metrics are never read does not load them.
"""

import importlib

from wigeonrouter.observability import _metrics

Metrics = _metrics.Metrics
RequestSample = _metrics.RequestSample

_LAZY_NAMES = {
    "Gauges": ("_exposition", "Gauges"),
    "LogOutput": ("_logs", "LogOutput"),
    "METRICS_CONTENT_TYPE": ("_exposition", "CONTENT_TYPE"),
    "RequestLog": ("_logs", "RequestLog"),
    "ServiceGauges": ("_exposition", "ServiceGauges"),
    "count_states": ("_exposition", "count_states"),
    "expose": ("_exposition", "expose"),
    "logger": ("_logs", "logger"),
}


def __getattr__(name):
    """Import the module of a name when it is first used."""
    if name not in _LAZY_NAMES:
        raise AttributeError(f"module {__name__!r} has no {name!r}")
    module, attribute = _LAZY_NAMES[name]
    return getattr(importlib.import_module(f"{__name__}.{module}"), attribute)
