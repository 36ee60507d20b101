"""Discrete-event loop with a simulated clock."""

import heapq
import itertools


class EventLoop:
    """Runs callbacks in order of their due times.

    The simulated time is in seconds and starts at 0.
    """

    def __init__(self):
        self._now = 0.0
        self._due = []
        self._order = itertools.count()

    @property
    def now(self):
        """The simulated time in seconds."""
        return self._now

    def clock(self):
        """Return the simulated time; replaces time.monotonic."""
        return self._now

    def call_later(self, delay, function, *args):
        """Schedule a callback; those due together run in call order.

        Args:
          delay: seconds from now.
          function: callback.
          args: arguments of the callback.
        Returns:
          True.
        """
        heapq.heappush(
            self._due,
            (self._now + delay, next(self._order), function, args),
        )
        return True

    def run(self, until):
        """Run the callbacks due up to a time, then set the clock to it."""
        due = self._due
        while due and due[0][0] <= until:
            self._now, _, function, args = heapq.heappop(due)
            function(*args)
        self._now = max(self._now, until)
