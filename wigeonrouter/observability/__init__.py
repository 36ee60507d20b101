"""Logs, histograms and metrics."""

from wigeonrouter.observability import _exposition
from wigeonrouter.observability import _logs
from wigeonrouter.observability import _metrics

LogOutput = _logs.LogOutput
Metrics = _metrics.Metrics
RequestLog = _logs.RequestLog

expose = _exposition.expose
logger = _logs.logger
