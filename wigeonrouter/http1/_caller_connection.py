"""One caller's connection: receiving, the watch for leaving, refusing."""

import time

import gevent
from gevent import socket

from wigeonrouter.http1 import _sockets

# A caller that takes longer to send a request holds a task for nothing.
REQUEST_ARRIVAL_TIMEOUT_S = 10.0
IDLE_TIMEOUT_S = 75.0
SEND_TIMEOUT_S = 10.0
# A refused caller may still be sending; closing at once would reset the
# connection and lose the refusal.
_LINGER_S = 1.0
_LINGER_BYTES = 1 << 20
_NEVER = float("inf")


class CallerDisconnected(gevent.GreenletExit):
    """The caller closed its connection while its request was in progress."""


class CallerConnection:
    """Owns the socket of one caller. Times are on the monotonic clock."""

    def __init__(self, *, sock):
        self._sock = _sockets.TaskSocket(sock)
        self._deadline = time.monotonic() + IDLE_TIMEOUT_S
        self._received = False
        self._expired = False
        self._task = None

    @property
    def deadline(self):
        """Time at which the present wait for bytes must end, seconds."""
        return self._deadline

    @property
    def expired(self):
        """Whether expire() was called."""
        return self._expired

    @property
    def received(self):
        """Whether any byte of the present request has arrived."""
        return self._received

    def begin_request(self, *, pending):
        """Wait for the next request; pending: some of it has arrived."""
        self._received = pending
        self._deadline = time.monotonic() + (
            REQUEST_ARRIVAL_TIMEOUT_S if pending else IDLE_TIMEOUT_S
        )

    def begin_handling(self, *, watch):
        """Mark the request as arrived.

        Args:
          watch: throw CallerGone into the present task when the caller
            closes. Not possible while a further request is readable.
        """
        self._deadline = _NEVER
        if watch:
            self._task = gevent.getcurrent()
            self._sock.watch(self._on_readable)

    def end_handling(self):
        """End the watch."""
        self._task = None
        self._sock.end_watch()

    def expire(self):
        """End the wait for bytes; bytes that still arrive are not read."""
        self._expired = True
        try:
            self._sock.shutdown(socket.SHUT_RD)
        except OSError:
            pass

    def expire_if_idle(self):
        """End the wait unless bytes of a request have arrived.

        Bytes that wait in the socket's receive buffer count as arrived.
        """
        if not self._received and self._sock.is_silent():
            self.expire()

    def receive(self):
        """Return the next bytes, b"" at the end or once expired."""
        data = self._sock.receive()
        if self._expired:
            return b""
        if not self._received:
            self._received = True
            self._deadline = time.monotonic() + REQUEST_ARRIVAL_TIMEOUT_S
        return data

    def send(self, data):
        """Send all bytes within SEND_TIMEOUT_S."""
        self._sock.send(data, SEND_TIMEOUT_S)

    def send_last(self, data):
        """Send a refusal and wait briefly until the caller has read it."""
        self.send(data)
        self._sock.shutdown(socket.SHUT_WR)
        left = _LINGER_BYTES
        with gevent.Timeout(_LINGER_S, False):
            while left > 0 and (received := self._sock.receive()):
                left -= len(received)

    def close(self):
        """Close the connection."""
        self._sock.close()

    def _on_readable(self):
        self._sock.end_watch()
        if self._sock.has_ended() and self._task is not None:
            task, self._task = self._task, None
            task.throw(CallerDisconnected)
