"""Fake clock: runs callbacks in the order of their due times."""

import heapq
import itertools


class EventLoop:
    """Owns the fake time, in seconds from 0, and the due callbacks."""

    def __init__(self):
        self._now = 0.0
        self._due = []
        self._order = itertools.count()

    @property
    def now(self):
        """The fake time."""
        return self._now

    def clock(self):
        """Return the fake time; stands in for time.monotonic."""
        return self._now

    def call_later(self, delay, function, *args):
        """Run a function after a delay in seconds."""
        heapq.heappush(
            self._due,
            (self._now + delay, next(self._order), function, args),
        )
        return True

    def run(self, until):
        """Run all callbacks that are due up to a time."""
        due = self._due
        while due and due[0][0] <= until:
            self._now, _, function, args = heapq.heappop(due)
            function(*args)
        self._now = max(self._now, until)
