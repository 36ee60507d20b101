"""Latency histograms and counters by service, kind and tenant.

Each series has a total count and sum, and one histogram per slice of a
sliding window. A request is recorded once: the pure-Python HdrHistogram takes
2.7 microseconds to record a value, 18 to add a whole histogram and 210 to
find three quantiles. Its mean takes several milliseconds, so sums are kept
apart.
"""

import collections
import dataclasses
import time

import gevent
from hdrh import histogram

from wigeonrouter import core

# Latencies from 10 microseconds to 2 minutes with two significant digits.
# A histogram takes 19 KB; 4-byte counters would wrap within weeks.
_LOWEST_US = 10
_HIGHEST_US = 120_000_000
_DIGITS = 2
SLICES = 6
SLICE_S = 10.0
# Tenant names come from callers. A series takes up to 115 KB, so this bound
# keeps the histograms of a daemon below 23 MB.
MAX_SERIES = 200
OTHER = "(other)"
_PERCENTILES = (50, 99, 99.9)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RequestSample:
    """What the metrics get to know of a request.

    Attributes:
      problem: name of the problem type, empty where there was none.
      latency: seconds from its arrival to its answer.
    """

    service: str
    kind: str
    tenant: str
    outcome: core.Outcome
    problem: str
    latency: float


class Metrics:
    """Owns the histograms of one daemon."""

    def __init__(self, *, clock=time.monotonic):
        self._clock = clock
        self._slice_ends = clock() + SLICE_S
        self._current = {}
        # Ended slices, oldest first.
        self._window = collections.deque(maxlen=SLICES - 1)
        self._totals = {}
        self._counts = collections.Counter()

    @property
    def counts(self):
        """Counter by (service, kind, tenant, outcome, problem)."""
        return self._counts

    def observe(self, record):
        """Add a RequestSample, or a record with the same fields."""
        if self._clock() >= self._slice_ends:
            self.rotate()
        key = self._key(record)
        self._counts[(*key, record.outcome.value, record.problem)] += 1
        values = self._current.get(key)
        if values is None:
            values = self._current[key] = _new_histogram()
        total = self._totals[key]
        total[0] += 1
        total[1] += record.latency
        values.record_value(
            min(_HIGHEST_US, max(_LOWEST_US, int(record.latency * 1e6)))
        )

    def rotate(self):
        """End the slices whose time is over.

        The daemon calls this once a second, so that the window also moves
        when no request arrives.
        """
        now = self._clock()
        if now < self._slice_ends:
            return
        ended = min(SLICES, 1 + int((now - self._slice_ends) / SLICE_S))
        self._slice_ends = now + SLICE_S - (now - self._slice_ends) % SLICE_S
        for _ in range(ended):
            self._window.append(self._current)
            self._current = {}

    def total(self, key):
        """Return (count, sum in seconds) of a series since the start."""
        return tuple(self._totals[key])

    def quantiles(self, key):
        """Return the latencies of a series in the last minute.

        Args:
          key: (service, kind, tenant).
        Returns:
          A pair: number of requests, dict from percentile to seconds.
        """
        merged = _new_histogram()
        for source in (*self._window, self._current):
            if key in source:
                merged.add(source[key])
        count = merged.get_total_count()
        if not count:
            return 0, {}
        values = merged.get_percentile_to_value_dict(list(_PERCENTILES))
        return count, {
            percent: value * 1e-6 for percent, value in values.items()
        }

    def keys(self):
        """Return the sorted list of all (service, kind, tenant)."""
        return sorted(self._totals)

    def summary(self):
        """Return a list of dicts with counts and latency quantiles in ms.

        The quantiles are of the last minute. Other tasks run between two
        series, since one takes 0.4 ms.
        """
        outcomes = collections.defaultdict(collections.Counter)
        for (*key, outcome, _), count in self._counts.items():
            outcomes[tuple(key)][outcome] += count
        rows = []
        for key in self.keys():
            count, quantiles = self.quantiles(key)
            rows.append(
                {
                    "service": key[0],
                    "kind": key[1],
                    "tenant": key[2],
                    "count": sum(outcomes[key].values()),
                    "window_count": count,
                    "outcomes": dict(outcomes[key]),
                    "p50_ms": quantiles.get(50, 0.0) * 1000,
                    "p99_ms": quantiles.get(99, 0.0) * 1000,
                    "p999_ms": quantiles.get(99.9, 0.0) * 1000,
                }
            )
            gevent.sleep(0)
        return rows

    def _key(self, record):
        """Return the key of the record's series, folded beyond the bound.

        Half of the series are for single tenants. The other half is for
        (service, kind) pairs, whose number the configuration limits only
        loosely.
        """
        key = (record.service, record.kind, record.tenant)
        if key in self._totals:
            return key
        size = len(self._totals)
        if size >= MAX_SERIES // 2:
            key = (record.service, record.kind, OTHER)
            if key not in self._totals and size >= MAX_SERIES - 1:
                key = (OTHER, OTHER, OTHER)
        if key not in self._totals:
            self._totals[key] = [0, 0.0]
        return key


def _new_histogram():
    return histogram.HdrHistogram(_LOWEST_US, _HIGHEST_US, _DIGITS)
