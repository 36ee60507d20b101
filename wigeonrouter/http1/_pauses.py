"""Detects that this process was paused for a while.

A request that was in a socket when a pause ended may have arrived at any time
during the pause, and its caller may have timed out since.
"""

import time

import gevent
from gevent import event

_TICK_INTERVAL_S = 0.1
# A tick that is later says that the event loop was held up.
_MAX_TICK_DELAY_S = 0.05
# Longer than a garbage collection or a short overload delays a tick.
_MIN_PAUSE_S = 0.4
# Longest time after a pause until the requests that arrived in it are read.
_BACKLOG_READ_S = 1.0
# Polls of the event loop within which they are read: each accepts up to 100
# connections of the listen backlog, and each connection takes one more.
_BACKLOG_POLLS = 16
# Shortest sleep for which the event loop polls its sockets.
_POLL_S = 0.001
_LONG_AGO = float("-inf")


class PauseDetector:
    """Detects pauses by gaps between regular ticks. Times are in seconds."""

    def __init__(self, *, clock=time.monotonic):
        self._clock = clock
        self._paused = event.Event()
        self._last_tick = clock()
        self._previous_tick = self._last_tick
        self._paused_from = 0.0
        self._resumed = _LONG_AGO
        self._tasks = []

    def start(self):
        """Start the task that calls tick()."""
        self.tick()
        self._tasks = [
            gevent.spawn(self._run),
            gevent.spawn(self._run_after_pauses),
        ]

    def stop(self):
        """Stop the task that calls tick()."""
        gevent.killall(self._tasks)

    def tick(self):
        """Record the current time; a gap since the last tick is a pause."""
        now = self._clock()
        if now - self._last_tick > _MIN_PAUSE_S:
            if now - self._resumed >= _BACKLOG_READ_S:
                self._paused_from = self._last_tick
            self._resumed = now
            self._paused.set()
        self._previous_tick = self._last_tick
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

    def earliest_signal(self, now):
        """Return the earliest time when a signal handled now may have come.

        The event loop handles signals whenever it runs. If it was late, it had
        run at the tick before the last one.

        Args:
          now: seconds on the monotonic clock.
        """
        ticks = (self._last_tick - self._previous_tick, now - self._last_tick)
        if max(ticks) <= _TICK_INTERVAL_S + _MAX_TICK_DELAY_S:
            return now
        return min(self._previous_tick, self.earliest_arrival(now))

    def _run(self):
        while True:
            gevent.sleep(_TICK_INTERVAL_S)
            self.tick()

    def _run_after_pauses(self):
        """Wait after each pause until what arrived during it was read.

        Nothing is left that was readable once the event loop is idle, which
        a busy one may never be, or after a number of polls.
        """
        while True:
            self._paused.wait()
            self._paused.clear()
            idle = gevent.spawn(gevent.idle)
            for _ in range(_BACKLOG_POLLS):
                idle.join(timeout=_POLL_S)
            idle.kill()
            if not self._paused.is_set():
                self._resumed = _LONG_AGO
