"""Sockets with watchers that are kept between waits.

gevent's own sockets try to receive before they wait, register with the
system again for each wait and create a timer for each timeout. That took
about half of the time of a bare pass-through.
"""

import gevent
from gevent import hub as gevent_hub
from gevent import monkey
from gevent import socket

_PlainSocket = monkey.get_original("socket", "socket")
_RECEIVE_BYTES = 1 << 16
_READ_EVENT = 1
_WRITE_EVENT = 2


class TaskSocket:
    """A connected socket that one task at a time reads and writes."""

    __slots__ = ("_hub", "_readable", "_sock", "_writable")

    def __init__(self, sock):
        """Take over a gevent socket."""
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._sock = _PlainSocket(fileno=sock.detach())
        self._sock.setblocking(False)
        self._hub = gevent_hub.get_hub()
        self._readable = self._hub.loop.io(self._sock.fileno(), _READ_EVENT)
        self._writable = None

    def receive(self):
        """Wait for the next bytes and return them, b"" at the end."""
        while True:
            self._hub.wait(self._readable)
            try:
                return self._sock.recv(_RECEIVE_BYTES)
            except BlockingIOError:
                continue

    def is_silent(self):
        """Return whether the other side has neither sent nor closed."""
        try:
            self._sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def has_ended(self):
        """Return whether the other side has closed and nothing is unread."""
        try:
            return not self._sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            return True

    def send_now(self, data):
        """Send what fits without waiting; return the number of bytes."""
        try:
            return self._sock.send(data)
        except BlockingIOError:
            return 0

    def send_rest(self, data):
        """Send bytes, waiting as long as it takes."""
        if self._writable is None:
            self._writable = self._hub.loop.io(
                self._sock.fileno(), _WRITE_EVENT
            )
        rest = memoryview(data)
        while rest:
            self._hub.wait(self._writable)
            rest = rest[self.send_now(rest) :]

    def send(self, data, timeout):
        """Send all bytes within a timeout in seconds.

        Raises:
          TimeoutError: the other side did not take them in time.
        """
        sent = self.send_now(data)
        if sent < len(data):
            with gevent.Timeout(timeout, TimeoutError):
                self.send_rest(memoryview(data)[sent:])

    def watch(self, callback):
        """Call a function from the event loop once there are bytes."""
        self._readable.start(callback)

    def end_watch(self):
        """End watch(); no effect where it has ended."""
        self._readable.stop()

    def shutdown(self, how):
        """Shut one direction down."""
        self._sock.shutdown(how)

    def close(self):
        """Close the connection."""
        self._readable.stop()
        self._readable.close()
        if self._writable is not None:
            self._writable.stop()
            self._writable.close()
        self._sock.close()
