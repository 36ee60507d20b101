"""Structured event log that never blocks the process.

Each line is a JSON object. Lines are kept in a bounded buffer, and a task
writes them as fast as the reader of the descriptor accepts them. Lines that
exceed the buffer or the rate limit are dropped, counted and reported in a
later line.
"""

import collections
import json
import os
import time

import gevent
from gevent import hub as gevent_hub

MAX_BUFFERED_LINES = 2_000
# Event mask of libev for a descriptor that can be written.
_LIBEV_WRITE = 2
_FLUSH_INTERVAL_S = 0.2
_MAX_BATCH_LINES = 200


class EventLog:
    """Writes events to a file descriptor, bounded in rate and memory.

    Args:
      lines_per_second: rate limit for event(); notice() is not limited.
      descriptor: file descriptor, which is made non-blocking by start().
      wall_clock: function that returns seconds since the epoch.
    """

    def __init__(
        self, *, lines_per_second, descriptor=1, wall_clock=time.time
    ):
        self._lines_per_second = lines_per_second
        self._descriptor = descriptor
        self._wall_clock = wall_clock
        self._buffer = collections.deque()
        self._current_second = 0
        self._written_in_second = 0
        self._dropped = collections.Counter()
        self._dropped_reported = 0
        self._counts = collections.Counter()
        self._task = None

    @property
    def dropped(self):
        """Counter of dropped lines by event name since the last report."""
        return self._dropped

    @property
    def counts(self):
        """Counter of events by name since the start, dropped or not."""
        return self._counts

    @property
    def total_dropped(self):
        """Number of lines dropped since the start."""
        return self._dropped_reported + self._dropped.total()

    def start(self):
        """Start the writing task."""
        os.set_blocking(self._descriptor, False)
        self._task = gevent.spawn(self._run)

    def stop(self):
        """Stop the writing task and write what does not block."""
        if self._task is not None:
            self._task.kill()
            self._task = None
        self._flush_now()

    def event(self, name, /, **fields):
        """Log an event of a request or server, subject to the rate limit.

        Args:
          name: name of the event.
          fields: fields of the line; values that JSON cannot represent are
            written as str().
        """
        self._counts[name] += 1
        now = self._wall_clock()
        if int(now) != self._current_second:
            self._current_second = int(now)
            self._written_in_second = 0
        if (
            self._written_in_second >= self._lines_per_second
            or len(self._buffer) >= MAX_BUFFERED_LINES
        ):
            self._dropped[name] += 1
            return
        self._written_in_second += 1
        self._buffer.append(_render(now, name, fields))

    def notice(self, name, /, **fields):
        """Log an event of the process itself, without a rate limit.

        If the buffer is full, the oldest line is dropped.
        """
        self._counts[name] += 1
        if len(self._buffer) >= MAX_BUFFERED_LINES:
            self._buffer.popleft()
            self._dropped["buffer full"] += 1
        self._buffer.append(_render(self._wall_clock(), name, fields))

    def _run(self):
        while True:
            gevent.sleep(_FLUSH_INTERVAL_S)
            if self._dropped:
                dropped, self._dropped = (
                    dict(self._dropped),
                    collections.Counter(),
                )
                self._dropped_reported += sum(dropped.values())
                self.notice("lines-dropped", **{"by_event": dropped})
            self._flush()

    def _flush(self):
        while self._buffer:
            data = self._next_batch()
            while data:
                try:
                    data = data[os.write(self._descriptor, data) :]
                except BlockingIOError:
                    self._wait_for_reader()
                except OSError:
                    # The reader has closed the log.
                    self._buffer.clear()
                    return

    def _flush_now(self):
        while self._buffer:
            try:
                os.write(self._descriptor, self._next_batch())
            except OSError:
                return

    def _next_batch(self):
        count = min(len(self._buffer), _MAX_BATCH_LINES)
        return b"".join(self._buffer.popleft() for _ in range(count))

    def _wait_for_reader(self):
        hub = gevent_hub.get_hub()
        watcher = hub.loop.io(self._descriptor, _LIBEV_WRITE)
        try:
            hub.wait(watcher)
        finally:
            watcher.close()


def _render(now, name, fields):
    return (
        json.dumps(
            {"time": round(now, 4), "event": name, **fields},
            separators=(",", ":"),
            default=str,
        ).encode()
        + b"\n"
    )
