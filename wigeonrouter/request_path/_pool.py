"""Connections to backend servers, pooled with a limit per server."""

import collections
import time

from gevent import lock
from gevent import socket

# Backend servers may close idle connections at any time. A connection that
# was idle for longer is not trusted with a request.
MAX_IDLE_S = 4.0
_RECEIVE_BYTES = 1 << 16


class ConnectFailed(Exception):
    """No connection could be made; nothing was sent."""


class Connection:
    """One connection to a backend server."""

    def __init__(self, *, sock, now):
        self._sock = sock
        self._last_used = now

    @property
    def idle_since(self):
        """Time of the last use, seconds."""
        return self._last_used

    def is_usable(self, now):
        """Return whether the server has neither closed nor sent anything.

        Unasked bytes would be taken for the answer to the next request.
        """
        if now - self._last_used > MAX_IDLE_S:
            return False
        try:
            self._sock.settimeout(0)
            self._sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def send(self, data, timeout):
        """Send all bytes within a timeout in seconds."""
        self._sock.settimeout(timeout)
        self._sock.sendall(data)

    def receive(self):
        """Return the next bytes, b"" at the end."""
        return self._sock.recv(_RECEIVE_BYTES)

    def set_timeout(self, timeout):
        """Bound each following receive, seconds."""
        self._sock.settimeout(timeout)

    def touch(self, now):
        """Record the time of use."""
        self._last_used = now

    def close(self):
        """Close the connection, which cancels a request in progress."""
        self._sock.close()


class ConnectionPool:
    """Owns the connections to all backend servers of one daemon."""

    def __init__(self, *, clock=time.monotonic):
        self._clock = clock
        self._idle = collections.defaultdict(list)
        self._permits = {}

    def checkout(self, *, address, limit, timeout):
        """Return a usable Connection, a pooled one if possible.

        Args:
          address: core.Address of the server.
          limit: largest number of connections to it.
          timeout: seconds to wait for a permit and for connecting.
        Raises:
          ConnectFailed: nothing was sent to the server.
        """
        permits = self._permits.setdefault(address, lock.Semaphore(limit))
        if not permits.acquire(timeout=timeout):
            raise ConnectFailed("connection limit reached")
        idle = self._idle[address]
        now = self._clock()
        while idle:
            connection = idle.pop()
            if connection.is_usable(now):
                return connection
            connection.close()
        try:
            sock = socket.create_connection(
                (address.host, address.port), timeout=timeout
            )
        except OSError as error:
            permits.release()
            raise ConnectFailed(str(error)) from error
        except BaseException:
            permits.release()
            raise
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return Connection(sock=sock, now=now)

    def put_back(self, address, connection):
        """Return a connection whose answer was read whole."""
        connection.touch(self._clock())
        self._idle[address].append(connection)
        self._permits[address].release()

    def discard(self, address, connection):
        """Close a connection that cannot be used any more."""
        connection.close()
        self._permits[address].release()

    def close_idle(self):
        """Close connections that were idle for too long."""
        now = self._clock()
        for address, idle in list(self._idle.items()):
            kept = []
            for connection in idle:
                if now - connection.idle_since > MAX_IDLE_S:
                    connection.close()
                else:
                    kept.append(connection)
            if kept:
                self._idle[address] = kept
            else:
                del self._idle[address]
