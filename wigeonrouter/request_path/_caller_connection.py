"""One caller's connection: receiving, the watch for leaving, refusing."""

import time

import gevent
from gevent import hub as gevent_hub
from gevent import socket

_RECEIVE_BYTES = 1 << 16
# A caller that takes longer to send a request holds a task for nothing.
REQUEST_ARRIVAL_TIMEOUT_S = 10.0
IDLE_TIMEOUT_S = 75.0
SEND_TIMEOUT_S = 10.0
# A refused caller may still be sending; closing at once would reset the
# connection and lose the refusal.
_LINGER_S = 1.0
_LINGER_BYTES = 1 << 20
_READABLE = 1
_NEVER = float("inf")


class CallerGone(gevent.GreenletExit):
    """The caller closed its connection while its request was in progress."""


class CallerConnection:
    """Owns the socket of one caller. Times are on the monotonic clock."""

    def __init__(self, *, sock):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._sock = sock
        self._deadline = time.monotonic() + IDLE_TIMEOUT_S
        self._received = False
        self._expired = False
        self._handling = False
        self._task = None
        self._watcher = gevent_hub.get_hub().loop.io(sock.fileno(), _READABLE)

    @property
    def deadline(self):
        """Time at which the present wait for bytes must end, seconds."""
        return self._deadline

    @property
    def handling(self):
        """Whether a request has arrived and is not answered."""
        return self._handling

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
        self._handling = False
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
        self._handling = True
        self._deadline = _NEVER
        if watch:
            self._task = gevent.getcurrent()
            self._watcher.start(self._on_readable)

    def end_handling(self):
        """End the watch."""
        self._task = None
        self._watcher.stop()

    def expire(self):
        """End the wait for bytes; bytes that still arrive are not read."""
        self._expired = True
        try:
            self._sock.shutdown(socket.SHUT_RD)
        except OSError:
            pass

    def receive(self):
        """Return the next bytes, b"" at the end or once expired."""
        self._sock.settimeout(None)
        try:
            data = self._sock.recv(_RECEIVE_BYTES)
        except OSError:
            # gevent ends the wait in this way when expire() is called.
            if not self._expired:
                raise
        if self._expired:
            return b""
        if not self._received:
            self._received = True
            self._deadline = time.monotonic() + REQUEST_ARRIVAL_TIMEOUT_S
        return data

    def send(self, data):
        """Send all bytes within SEND_TIMEOUT_S."""
        self._sock.settimeout(SEND_TIMEOUT_S)
        self._sock.sendall(data)

    def send_last(self, data):
        """Send a refusal and wait briefly until the caller has read it."""
        self.send(data)
        self._sock.shutdown(socket.SHUT_WR)
        ends = time.monotonic() + _LINGER_S
        left = _LINGER_BYTES
        while left > 0 and (remaining := ends - time.monotonic()) > 0:
            self._sock.settimeout(remaining)
            data = self._sock.recv(_RECEIVE_BYTES)
            if not data:
                return
            left -= len(data)

    def close(self):
        """Close the connection."""
        self._watcher.stop()
        self._watcher.close()
        self._sock.close()

    def _on_readable(self):
        self._watcher.stop()
        try:
            self._sock.settimeout(0)
            gone = not self._sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            gone = False
        except OSError:
            gone = True
        if gone and self._task is not None:
            task, self._task = self._task, None
            task.throw(CallerGone)
