"""Bounds further attempts to a share of the requests of a service.

Load pattern: a service fails widely, and each node would repeat each
request. Every node keeps its further attempts below the share of its own
requests in a sliding window, so the sum over all nodes keeps it too, without
messages, in bursts and after restarts.
"""

import collections


class RetryBudget:
    """Counts requests and further attempts in a sliding window."""

    def __init__(self, *, ratio, window):
        """Take the attempts per request and the window in seconds."""
        self._ratio = ratio
        self._window = window
        self._requests = collections.deque()
        self._retries = collections.deque()

    def configure(self, *, ratio, window):
        """Take over a changed ratio and window in seconds."""
        self._ratio = ratio
        self._window = window

    def on_request(self, now):
        """Count a request of a caller."""
        _expire(self._requests, now - self._window)
        self._requests.append(now)

    def try_spend(self, now):
        """Take one further attempt; return whether it was allowed."""
        _expire(self._requests, now - self._window)
        _expire(self._retries, now - self._window)
        if len(self._retries) + 1 > self._ratio * len(self._requests) + 1:
            return False
        self._retries.append(now)
        return True


def _expire(times, oldest):
    while times and times[0] < oldest:
        times.popleft()
