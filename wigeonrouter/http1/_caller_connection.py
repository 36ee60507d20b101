"""A caller's connection: timeouts, disconnect detection, lingering close."""

import time

import gevent
from gevent import socket

from wigeonrouter.http1 import _sockets

# Slower callers would occupy a connection and its task without progress.
REQUEST_ARRIVAL_TIMEOUT_S = 10.0
IDLE_TIMEOUT_S = 75.0
SEND_TIMEOUT_S = 10.0
# A caller may still be sending when its connection is closed. Closing at once
# would reset the connection, and the caller might not receive the response.
_LINGER_S = 1.0
_LINGER_BYTES = 1 << 20
_NEVER = float("inf")


class CallerDisconnected(gevent.GreenletExit):
    """The caller closed the connection while its request was in progress."""


class CallerConnection:
    """Owns the socket of one caller. Times are on the monotonic clock."""

    def __init__(self, *, sock):
        self._sock = _sockets.TaskSocket(sock)
        self._deadline = time.monotonic() + IDLE_TIMEOUT_S
        self._request_started = False
        self._unanswered = 0
        self._watching = False
        self._expired = False
        self._dropped_bytes = False

    @property
    def deadline(self):
        """Time at which the current wait for bytes times out, seconds."""
        return self._deadline

    @property
    def expired(self):
        """Whether expire() was called."""
        return self._expired

    @property
    def dropped_bytes(self):
        """Whether bytes arrived after expire(), which nobody reads."""
        return self._dropped_bytes

    @property
    def request_started(self):
        """Whether a part of a request has arrived, but not all of it."""
        return self._request_started

    @property
    def unanswered(self):
        """Number of requests that have been read and have no response yet."""
        return self._unanswered

    @property
    def requests_in_progress(self):
        """Number of unanswered requests, including one that is arriving."""
        return self._unanswered + self._request_started

    def begin_request(self, *, pending):
        """Start the timeout for the next request.

        Args:
          pending: whether a part of the request has already arrived. If not,
            the idle timeout applies until the first byte.
        """
        self._request_started = pending
        self._deadline = time.monotonic() + (
            REQUEST_ARRIVAL_TIMEOUT_S if pending else IDLE_TIMEOUT_S
        )

    def end_request(self):
        """End the arrival timeout, since the request is complete."""
        self._request_started = False
        self._unanswered += 1
        self._deadline = _NEVER

    def end_response(self):
        """Record that the response to a request has been sent."""
        self._unanswered -= 1

    def watch(self, *, on_close, on_bytes=None):
        """Wait in the background until the caller closes or sends bytes.

        No task may receive meanwhile. A close behind unread bytes is not
        noticed. The functions are called from the event loop, at most one of
        them and only once.

        Args:
          on_close: called if the caller has closed.
          on_bytes: called if bytes have arrived, None to do nothing.
        """

        def on_readable():
            self.stop_watching()
            if self._sock.is_closed_by_peer():
                on_close()
            elif on_bytes is not None:
                on_bytes()

        self.stop_watching()
        self._watching = True
        self._sock.watch_readable(on_readable)

    def stop_watching(self):
        """Stop watch(); has no effect while it is not active."""
        if self._watching:
            self._watching = False
            self._sock.stop_watching()

    def expire(self):
        """Stop receiving: receive() returns b"" from now on."""
        self._expired = True
        try:
            self._sock.shutdown(socket.SHUT_RD)
        except OSError:
            pass

    def expire_if_idle(self):
        """Stop receiving unless a part of a request has arrived.

        Unread bytes in the socket's receive buffer count as arrived.

        Returns:
          Whether the connection was idle.
        """
        idle = not self.requests_in_progress and self._sock.is_idle()
        if idle:
            self.expire()
        return idle

    def receive(self):
        """Return the next bytes, or b"" at the end or after expire()."""
        data = self._sock.receive()
        if self._expired:
            self._dropped_bytes = bool(data)
            return b""
        if not self._request_started:
            self._request_started = True
            self._deadline = time.monotonic() + REQUEST_ARRIVAL_TIMEOUT_S
        return data

    def time_since_bytes(self):
        """Return the seconds since the last bytes arrived, None if unknown."""
        return self._sock.time_since_bytes()

    def send(self, data):
        """Send all bytes.

        Raises:
          TimeoutError: not all were sent within SEND_TIMEOUT_S.
          OSError: the connection failed.
        """
        self._sock.send(data, SEND_TIMEOUT_S)

    def has_unread_bytes(self):
        """Return whether bytes have arrived that were not received yet."""
        return not (self._sock.is_idle() or self._sock.is_closed_by_peer())

    def is_closed_by_peer(self):
        """Return whether the caller has closed and no bytes are unread."""
        return self._sock.is_closed_by_peer()

    def linger(self):
        """Discard input after the final response until the caller closes.

        The wait is limited to _LINGER_S and _LINGER_BYTES.
        """
        self._request_started = False
        self._unanswered = 0
        self._sock.shutdown(socket.SHUT_WR)
        linger_bytes_left = _LINGER_BYTES
        with gevent.Timeout(_LINGER_S, False):
            while linger_bytes_left > 0 and (received := self._sock.receive()):
                linger_bytes_left -= len(received)

    def close(self):
        """Close the connection."""
        self._sock.close()
