"""Hedges slow idempotent requests.

A second attempt is started if the first takes longer than a quantile of
recent latencies. The first successful response is used, and the other attempt
is cancelled.
"""

import collections
import time

import gevent

from wigeonrouter import core
from wigeonrouter.http1 import _messages

# With fewer samples a high quantile is just that of the slowest request.
_MIN_SAMPLES = 50
_MAX_SAMPLES = 500
_SAMPLES_PER_REFRESH = 25
# A shorter delay would hedge most requests of a fast service.
_MIN_DELAY_S = 0.001


class LatencyWindow:
    """Sliding window of the latencies of one traffic kind, in seconds."""

    def __init__(self):
        self._samples = collections.deque(maxlen=_MAX_SAMPLES)
        self._added_since_refresh = 0
        self._sorted_samples = []

    def add(self, latency):
        """Add a latency in seconds."""
        self._samples.append(latency)
        self._added_since_refresh += 1
        if self._added_since_refresh >= _SAMPLES_PER_REFRESH:
            self._added_since_refresh = 0
            self._sorted_samples = sorted(self._samples)

    def quantile(self, fraction):
        """Return the quantile for a fraction from 0 to 1, in seconds.

        None is returned until there are _MIN_SAMPLES. The sorted samples are
        refreshed every _SAMPLES_PER_REFRESH samples only.
        """
        if len(self._sorted_samples) < _MIN_SAMPLES:
            return None
        last = len(self._sorted_samples) - 1
        return self._sorted_samples[
            min(last, int(len(self._sorted_samples) * fraction))
        ]


class Hedger:
    """Runs hedged attempts; owns the latency window of each traffic kind."""

    def __init__(self, *, clock=time.monotonic):
        self._clock = clock
        self._windows = collections.defaultdict(LatencyWindow)

    def run(self, forwarding, first, second):
        """Run an attempt and, if it is slow, a second one.

        Args:
          forwarding: _forwarder.ForwardingState of an idempotent request.
          first: function without arguments that makes the first attempt.
          second: function without arguments that waits for a slot and makes
            the second attempt.
        Returns:
          HttpResponse or core.Problem.
        """
        service = forwarding.dispatcher.service
        window = self._windows[(service.name, forwarding.kind.name)]
        started = self._clock()
        delay = window.quantile(service.retries.hedge_quantile)
        if delay is None:
            result = first()
        else:
            result = _run_with_hedge(
                first, second, max(_MIN_DELAY_S, delay), forwarding
            )
        if _is_success(result):
            window.add(self._clock() - started)
        return result


def _run_with_hedge(first, second, delay, budget):
    tasks = [gevent.spawn(first)]
    # Let the first attempt start: if it were killed before that, its finally
    # clause would not release the slot.
    gevent.sleep(0)
    try:
        tasks[0].join(timeout=delay)
        if not tasks[0].ready() and budget.try_spend():
            tasks.append(gevent.spawn(second))
        return _first_success(tasks)
    finally:
        gevent.killall(tasks)


def _first_success(tasks):
    running, results = list(tasks), []
    while running:
        for task in gevent.wait(running, count=1):
            running.remove(task)
            results.append(task.get())
        if _is_success(results[-1]):
            return results[-1]
    return min(results, key=_failure_rank)


def _is_success(result):
    return isinstance(result, _messages.HttpResponse) and result.status < 500


def _failure_rank(result):
    """Order results: a response, then an UNKNOWN outcome, then others."""
    if isinstance(result, _messages.HttpResponse):
        return 0
    return 1 if result.problem.outcome is core.Outcome.UNKNOWN else 2
