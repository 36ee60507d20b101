"""Logs, histograms and metrics."""

from wigeonrouter.observability import _exposition
from wigeonrouter.observability import _logs
from wigeonrouter.observability import _metrics

Gauges = _exposition.Gauges
LogOutput = _logs.LogOutput
METRICS_CONTENT_TYPE = _exposition.CONTENT_TYPE
Metrics = _metrics.Metrics
RequestLog = _logs.RequestLog

count_states = _exposition.count_states
expose = _exposition.expose
logger = _logs.logger
