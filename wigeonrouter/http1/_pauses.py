"""Notices that this process was stopped for a while.

A request that was read right after a pause may have arrived at any time
during it, and its caller may have given up long ago.
"""

import time

import gevent

_TICK_S = 0.1
# Longer than a garbage collection or a busy moment takes.
_MIN_PAUSE_S = 0.4
# Requests that arrived during a pause are read within this time after it.
_BACKLOG_S = 1.0


class PauseDetector:
    """Owns the time of the last sign that the process was running."""

    def __init__(self, *, clock=time.monotonic):
        self._clock = clock
        self._last_tick = clock()
        self._paused_from = 0.0
        self._resumed = float("-inf")
        self._task = None

    def start(self):
        """Start the ticks."""
        self.tick()
        self._task = gevent.spawn(self._run)

    def stop(self):
        """Stop the ticks."""
        if self._task is not None:
            self._task.kill()

    def tick(self):
        """Record that the process is running."""
        now = self._clock()
        if now - self._last_tick > _MIN_PAUSE_S:
            if now - self._resumed >= _BACKLOG_S:
                self._paused_from = self._last_tick
            self._resumed = now
        self._last_tick = now

    def earliest_arrival(self, now):
        """Return the earliest time at which bytes read now may have arrived.

        Args:
          now: seconds on the monotonic clock.
        """
        if now - self._resumed < _BACKLOG_S:
            return self._paused_from
        if now - self._last_tick > _MIN_PAUSE_S:
            return self._last_tick
        return now

    def _run(self):
        while True:
            gevent.sleep(_TICK_S)
            self.tick()
