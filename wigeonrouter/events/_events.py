"""Structured log lines that never block the process.

Each line is a JSON object. Lines wait in a bounded buffer, and a task
writes them when the reader takes them; what does not fit, or exceeds the
rate, is counted and reported in a later line.
"""

import collections
import json
import os
import time

import gevent
from gevent import hub as gevent_hub

MAX_BUFFERED_LINES = 2_000
_WRITE_EVENT = 2
_FLUSH_INTERVAL_S = 0.2
_BATCH_LINES = 200


class EventLog:
    """Writes events to a file descriptor, bounded in rate and memory."""

    def __init__(
        self, *, lines_per_second, descriptor=1, wall_clock=time.time
    ):
        self._limit = lines_per_second
        self._descriptor = descriptor
        self._wall_clock = wall_clock
        self._lines = collections.deque()
        self._second = 0
        self._written = 0
        self._dropped = collections.Counter()
        self._dropped_before = 0
        self._counts = collections.Counter()
        self._task = None

    @property
    def dropped(self):
        """Counter of dropped lines by event since the last report."""
        return self._dropped

    @property
    def counts(self):
        """Counter of events by name since the start, written or not."""
        return self._counts

    @property
    def total_dropped(self):
        """Number of lines that were not written since the start."""
        return self._dropped_before + self._dropped.total()

    def start(self):
        """Start the writing task."""
        os.set_blocking(self._descriptor, False)
        self._task = gevent.spawn(self._run)

    def stop(self):
        """Write what the reader takes at once and end."""
        if self._task is not None:
            self._task.kill()
            self._task = None
        self._flush_now()

    def event(self, name, /, **fields):
        """Add a line about a request or an expected happening.

        Such lines are dropped beyond the rate.
        """
        self._counts[name] += 1
        now = self._wall_clock()
        if int(now) != self._second:
            self._second = int(now)
            self._written = 0
        if (
            self._written >= self._limit
            or len(self._lines) >= MAX_BUFFERED_LINES
        ):
            self._dropped[name] += 1
            return
        self._written += 1
        self._lines.append(_render(now, name, fields))

    def notice(self, name, /, **fields):
        """Add a line about the process itself, whatever the rate is."""
        self._counts[name] += 1
        if len(self._lines) >= MAX_BUFFERED_LINES:
            self._lines.popleft()
            self._dropped["buffer full"] += 1
        self._lines.append(_render(self._wall_clock(), name, fields))

    def _run(self):
        while True:
            gevent.sleep(_FLUSH_INTERVAL_S)
            if self._dropped:
                dropped, self._dropped = (
                    dict(self._dropped),
                    collections.Counter(),
                )
                self._dropped_before += sum(dropped.values())
                self.notice("lines-dropped", **{"by_event": dropped})
            self._flush()

    def _flush(self):
        while self._lines:
            data = self._take()
            while data:
                try:
                    data = data[os.write(self._descriptor, data) :]
                except BlockingIOError:
                    self._wait_for_reader()
                except OSError:
                    # Nobody reads the log any more.
                    self._lines.clear()
                    return

    def _flush_now(self):
        while self._lines:
            try:
                os.write(self._descriptor, self._take())
            except OSError:
                return

    def _take(self):
        count = min(len(self._lines), _BATCH_LINES)
        return b"".join(self._lines.popleft() for _ in range(count))

    def _wait_for_reader(self):
        hub = gevent_hub.get_hub()
        watcher = hub.loop.io(self._descriptor, _WRITE_EVENT)
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
