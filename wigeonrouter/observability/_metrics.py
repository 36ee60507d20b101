"""Latency histograms and counters by service, kind and tenant."""

import collections
import time

from hdrh import histogram

# Latencies from 10 microseconds to 2 minutes with two significant digits.
_LOWEST_US = 10
_HIGHEST_US = 120_000_000
_DIGITS = 2
# Tenant names come from callers; a bound keeps memory bounded.
MAX_SERIES = 2000
OTHER_TENANT = "(other)"


class Metrics:
    """Owns the histograms of one daemon."""

    def __init__(self, *, clock=time.time):
        self._clock = clock
        self._started = clock()
        self._histograms = {}
        self._counts = collections.Counter()

    @property
    def counts(self):
        """Counter by (service, kind, tenant, outcome, problem)."""
        return self._counts

    def observe(self, record):
        """Add a request_path.RequestRecord."""
        key = self._key(record)
        self._counts[(*key, record.outcome.value, record.problem)] += 1
        if key not in self._histograms:
            self._histograms[key] = histogram.HdrHistogram(
                _LOWEST_US, _HIGHEST_US, _DIGITS
            )
        self._histograms[key].record_value(
            min(_HIGHEST_US, max(_LOWEST_US, int(record.latency * 1e6)))
        )

    def summary(self):
        """Return a list of dicts with counts and latency quantiles in ms."""
        rows = []
        for key, values in sorted(self._histograms.items()):
            service, kind, tenant = key
            outcomes = collections.Counter()
            for (*counted, outcome, _), count in self._counts.items():
                if tuple(counted) == key:
                    outcomes[outcome] += count
            rows.append(
                {
                    "service": service,
                    "kind": kind,
                    "tenant": tenant,
                    "count": values.get_total_count(),
                    "outcomes": dict(outcomes),
                    "p50_ms": values.get_value_at_percentile(50) / 1000,
                    "p99_ms": values.get_value_at_percentile(99) / 1000,
                    "p999_ms": values.get_value_at_percentile(99.9) / 1000,
                }
            )
        return rows

    def _key(self, record):
        key = (record.service, record.kind, record.tenant)
        if key in self._histograms or len(self._histograms) < MAX_SERIES:
            return key
        return record.service, record.kind, OTHER_TENANT
