"""Limits retries to a ratio of the requests of a service.

Load pattern: many servers of a service fail at once, and every node would
retry every request. Each node keeps its retries below the ratio of its own
requests in a sliding window. The sum over all nodes then also stays below the
ratio, without communication between nodes, during bursts and after restarts.
"""

import collections


class RetryBudget:
    """Counts requests and retries in a sliding window."""

    def __init__(self, *, ratio, window):
        """Set the retries per request and the window in seconds."""
        self._ratio = ratio
        self._window = window
        self._requests = collections.deque()
        self._retries = collections.deque()

    def configure(self, *, ratio, window):
        """Change the retries per request and the window in seconds."""
        self._ratio = ratio
        self._window = window

    def on_request(self, now):
        """Count the first attempt of a request at `now`, in seconds."""
        _expire(self._requests, now - self._window)
        self._requests.append(now)

    def try_spend(self, now):
        """Spend one retry if the budget allows it.

        Returns:
          Whether the retry may be made. At least one retry in a window is
          allowed.
        """
        _expire(self._requests, now - self._window)
        _expire(self._retries, now - self._window)
        if len(self._retries) + 1 > self._ratio * len(self._requests) + 1:
            return False
        self._retries.append(now)
        return True


def _expire(times, oldest):
    while times and times[0] < oldest:
        times.popleft()
