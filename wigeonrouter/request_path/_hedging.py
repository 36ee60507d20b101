"""Hedges slow idempotent requests: a second attempt after a latency quantile.

The first whole answer wins, and the other attempt is cancelled.
"""

import collections
import time

import gevent

from wigeonrouter import core
from wigeonrouter.http1 import _messages

# With fewer samples a high quantile is no more than the slowest request.
_MIN_SAMPLES = 50
_WINDOW = 500
_REFRESH_INTERVAL = 25
# A shorter delay would hedge nearly all requests of a fast service.
_MIN_DELAY_S = 0.001


class LatencyWindow:
    """Owns the latest latencies of one kind of traffic. Times in seconds."""

    def __init__(self):
        self._samples = collections.deque(maxlen=_WINDOW)
        self._since_refresh = 0
        self._ordered = []

    def add(self, latency):
        """Add one latency."""
        self._samples.append(latency)
        self._since_refresh += 1
        if self._since_refresh >= _REFRESH_INTERVAL:
            self._since_refresh = 0
            self._ordered = sorted(self._samples)

    def quantile(self, share):
        """Return a quantile (share from 0 to 1), or None as yet unknown."""
        if len(self._ordered) < _MIN_SAMPLES:
            return None
        last = len(self._ordered) - 1
        return self._ordered[min(last, int(len(self._ordered) * share))]


class Hedger:
    """Owns the latency windows of all kinds of traffic that are hedged."""

    def __init__(self, *, clock=time.monotonic):
        self._clock = clock
        self._windows = collections.defaultdict(LatencyWindow)

    def run(self, forwarding, first, second):
        """Run one attempt, and another one where the first is slow.

        Args:
          forwarding: _forwarder.Forwarding of an idempotent request.
          first: function without arguments that makes the first attempt.
          second: function that waits for a slot and makes another one.
        Returns:
          HttpResponse or core.Problem.
        """
        service = forwarding.dispatcher.service
        window = self._windows[(service.name, forwarding.kind.name)]
        started = self._clock()
        delay = window.quantile(service.retries.hedge_quantile)
        if delay is None:
            answer = first()
        else:
            answer = _race(first, second, max(_MIN_DELAY_S, delay), forwarding)
        if _is_success(answer):
            window.add(self._clock() - started)
        return answer


def _race(first, second, delay, budget):
    tasks = [gevent.spawn(first)]
    # An attempt that is killed before its start could not give back its slot.
    gevent.sleep(0)
    try:
        tasks[0].join(timeout=delay)
        if not tasks[0].ready() and budget.try_spend():
            tasks.append(gevent.spawn(second))
        return _first_success(tasks)
    finally:
        gevent.killall(tasks)


def _first_success(tasks):
    waiting, answers = list(tasks), []
    while waiting:
        for task in gevent.wait(waiting, count=1):
            waiting.remove(task)
            answers.append(task.get())
        if _is_success(answers[-1]):
            return answers[-1]
    return min(answers, key=_rank)


def _is_success(answer):
    return isinstance(answer, _messages.HttpResponse) and answer.status < 500


def _rank(answer):
    """Prefer an answer, then a refusal that leaves the outcome in doubt."""
    if isinstance(answer, _messages.HttpResponse):
        return 0
    return 1 if answer.problem.outcome is core.Outcome.UNKNOWN else 2
