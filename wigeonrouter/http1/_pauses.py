"""Detects that this process was paused for a while.

A request that is read right after a pause may have arrived at any time during
the pause, and its caller may have timed out since.
"""

import time

import gevent

_TICK_INTERVAL_S = 0.1
# Longer than a garbage collection or a short overload delays a tick.
_MIN_PAUSE_S = 0.4
# Time after a pause within which the requests that arrived in it are read.
_BACKLOG_READ_S = 1.0


class PauseDetector:
    """Detects pauses by gaps between regular ticks. Times are in seconds."""

    def __init__(self, *, clock=time.monotonic):
        self._clock = clock
        self._last_tick = clock()
        self._paused_from = 0.0
        self._resumed = float("-inf")
        self._task = None

    def start(self):
        """Start the task that calls tick()."""
        self.tick()
        self._task = gevent.spawn(self._run)

    def stop(self):
        """Stop the task that calls tick()."""
        if self._task is not None:
            self._task.kill()

    def tick(self):
        """Record the current time; a gap since the last tick is a pause."""
        now = self._clock()
        if now - self._last_tick > _MIN_PAUSE_S:
            if now - self._resumed >= _BACKLOG_READ_S:
                self._paused_from = self._last_tick
            self._resumed = now
        self._last_tick = now

    def earliest_arrival(self, now):
        """Return the earliest time at which bytes read now may have arrived.

        Args:
          now: seconds on the monotonic clock.
        """
        if now - self._resumed < _BACKLOG_READ_S:
            return self._paused_from
        if now - self._last_tick > _MIN_PAUSE_S:
            return self._last_tick
        return now

    def _run(self):
        while True:
            gevent.sleep(_TICK_INTERVAL_S)
            self.tick()
