"""Latency histograms and counters by service, kind and tenant.

Each series has a total count and sum, and one histogram per slice of a
sliding window. A request is recorded in the current slice only, and the
slices are added when quantiles are read: the pure-Python HdrHistogram takes
2.7 microseconds to record a value, 18 to add a histogram and 210 to compute
three quantiles. Its mean takes several milliseconds, so the sum is kept
separately.
"""

import collections
import dataclasses
import time

import gevent
from hdrh import histogram

from wigeonrouter import core

# Histograms cover 10 microseconds to 2 minutes with two significant digits
# and take 19 KB each. Their counters have 8 bytes, since counters of 4 bytes
# would overflow within weeks.
_MIN_LATENCY_US = 10
_MAX_LATENCY_US = 120_000_000
_SIGNIFICANT_DIGITS = 2
WINDOW_SLICES = 6
SLICE_S = 10.0
# Callers choose the tenant names, so the number of series has to be bounded.
# A series takes up to 115 KB, which limits the histograms to 23 MB.
MAX_SERIES = 200
# Label value of the series that collects requests beyond the bound.
OTHER = "(other)"
_PERCENTILES = (50, 99, 99.9)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RequestSample:
    """The properties of a finished request that the metrics record.

    Attributes:
      service: path of the service.
      kind: name of the traffic kind.
      problem: name of the problem type, empty if none.
      latency: seconds from the arrival of the request to its response.
    """

    service: str
    kind: str
    tenant: str
    outcome: core.Outcome
    problem: str
    latency: float


class Metrics:
    """Counters and latency histograms of one daemon.

    Args:
      clock: function that returns monotonic seconds.
    """

    def __init__(self, *, clock=time.monotonic):
        self._clock = clock
        self._slice_ends = clock() + SLICE_S
        self._current = {}
        # Completed slices of the window, oldest first.
        self._window = collections.deque(maxlen=WINDOW_SLICES - 1)
        self._totals = {}
        self._counts = collections.Counter()

    @property
    def counts(self):
        """Counter of requests by (service, kind, tenant, outcome, problem)."""
        return self._counts

    def observe(self, record):
        """Record a finished request.

        Args:
          record: RequestSample, or an object with the same attributes.
        """
        if self._clock() >= self._slice_ends:
            self.rotate()
        key = self._series_key(record)
        self._counts[(*key, record.outcome.value, record.problem)] += 1
        values = self._current.get(key)
        if values is None:
            values = self._current[key] = _new_histogram()
        total = self._totals[key]
        total[0] += 1
        total[1] += record.latency
        values.record_value(
            min(
                _MAX_LATENCY_US,
                max(_MIN_LATENCY_US, int(record.latency * 1e6)),
            )
        )

    def rotate(self):
        """Complete the slices whose time has passed.

        Called once a second, so that the window also moves if no request
        arrives.
        """
        now = self._clock()
        if now < self._slice_ends:
            return
        completed_slices = min(
            WINDOW_SLICES, 1 + int((now - self._slice_ends) / SLICE_S)
        )
        self._slice_ends = now + SLICE_S - (now - self._slice_ends) % SLICE_S
        for _ in range(completed_slices):
            self._window.append(self._current)
            self._current = {}

    def total(self, key):
        """Return (count, sum in seconds) of a series since the start.

        Args:
          key: (service, kind, tenant).
        """
        return tuple(self._totals[key])

    def quantiles(self, key):
        """Return the latency quantiles of a series in the last minute.

        Args:
          key: (service, kind, tenant).
        Returns:
          A pair: number of requests, and a dict from percentile to seconds,
          which is empty if there were no requests.
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
        """Return the sorted keys (service, kind, tenant) of all series."""
        return sorted(self._totals)

    def summary(self):
        """Return counts and latency quantiles as a list of dicts.

        The quantiles are in milliseconds and cover the last minute. Yields to
        other greenlets between two series, since each takes 0.4 ms.
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

    def _series_key(self, record):
        """Return the key of the series that a record belongs to.

        Half of MAX_SERIES is for individual tenants. Beyond it, tenants share
        one series for each (service, kind), whose number the configuration
        limits only loosely. Once MAX_SERIES is reached, all further ones
        share a single series.
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
    return histogram.HdrHistogram(
        _MIN_LATENCY_US, _MAX_LATENCY_US, _SIGNIFICANT_DIGITS
    )
