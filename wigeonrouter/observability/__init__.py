"""Logs, histograms and metrics."""

from wigeonrouter.observability import _metrics

Metrics = _metrics.Metrics
