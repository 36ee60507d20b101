"""Connections to backend servers, pooled with a limit per server."""

import collections
import time

import gevent
from gevent import event
from gevent import socket

from wigeonrouter.http1 import _sockets

# Backend servers may close idle connections at any time. A connection that
# was idle for longer is not trusted with a request.
MAX_IDLE_S = 4.0


class RequestNotSent(Exception):
    """No byte of the request has left this daemon."""


class ConnectFailed(RequestNotSent):
    """No connection could be made."""


class Connection:
    """One connection to a backend server."""

    def __init__(self, *, sock, now):
        self._sock = sock
        self._last_used = now
        self._fresh = True

    @property
    def idle_since(self):
        """Time of the last use, seconds."""
        return self._last_used

    @property
    def fresh(self):
        """Whether no request was sent on it yet."""
        return self._fresh

    def is_usable(self, now, max_idle):
        """Return whether the server has neither closed nor sent anything.

        Unasked bytes would be taken for the answer to the next request.

        Args:
          now: seconds on the monotonic clock.
          max_idle: longest time since the last use, seconds.
        """
        return now - self._last_used <= max_idle and self._sock.is_silent()

    def send(self, data):
        """Send all bytes.

        Raises:
          NotSent: the first system call failed, so that no byte was sent.
          OSError: some bytes may have been sent.
        """
        self._fresh = False
        try:
            sent = self._sock.send_now(data)
        except OSError as error:
            raise RequestNotSent(str(error)) from error
        if sent < len(data):
            self._sock.send_rest(memoryview(data)[sent:])

    def receive(self):
        """Return the next bytes, b"" at the end."""
        return self._sock.receive()

    def touch(self, now):
        """Record the time of use."""
        self._last_used = now

    def close(self):
        """Close the connection, which cancels a request in progress."""
        self._sock.close()


class _ServerPool:
    """Permits and idle connections of one backend server."""

    __slots__ = ("idle", "in_use", "limit", "waiting")

    def __init__(self):
        self.idle = []
        self.in_use = 0
        self.limit = 0
        self.waiting = collections.deque()

    def acquire(self, limit, timeout):
        """Take a permit; return whether there was one in time."""
        self.limit = limit
        if self.in_use < limit and not self.waiting:
            self.in_use += 1
            return True
        waiter = event.AsyncResult()
        self.waiting.append(waiter)
        try:
            waiter.get(timeout=timeout)
        except gevent.Timeout:
            return waiter.ready()
        except BaseException:
            if waiter.ready():
                self.release()
            raise
        finally:
            if not waiter.ready():
                self.waiting.remove(waiter)
        return True

    def release(self):
        """Give a permit back, to the longest waiting task if any."""
        self.in_use -= 1
        while self.waiting and self.in_use < self.limit:
            self.in_use += 1
            self.waiting.popleft().set()


class ConnectionPool:
    """Owns the connections to all backend servers of one daemon."""

    def __init__(self, *, clock=time.monotonic, max_idle=MAX_IDLE_S):
        self._clock = clock
        self._max_idle = max_idle
        self._pools = {}

    @property
    def in_use(self):
        """Number of connections that are checked out."""
        return sum(pool.in_use for pool in self._pools.values())

    def checkout(self, *, address, limit, deadline, max_idle=None):
        """Return a usable Connection, a pooled one if possible.

        Args:
          address: core.Address of the server.
          limit: largest number of connections to it.
          deadline: seconds; bounds waiting for a permit and connecting.
          max_idle: longest time since the last use, seconds; None for that
            of the pool.
        Raises:
          ConnectFailed: nothing was sent to the server.
        """
        pool = self._pools.get(address)
        if pool is None:
            pool = self._pools[address] = _ServerPool()
        now = self._clock()
        if not pool.acquire(limit, deadline - now):
            raise ConnectFailed("connection limit reached")
        now = self._clock()
        if max_idle is None:
            max_idle = self._max_idle
        while pool.idle and now - pool.idle[-1].idle_since <= max_idle:
            connection = pool.idle.pop()
            if connection.is_usable(now, max_idle):
                return connection
            connection.close()
        try:
            return self._connect(address, now, deadline)
        except BaseException:
            pool.release()
            raise

    def checkin(self, address, connection):
        """Return a connection whose answer was read whole."""
        connection.touch(self._clock())
        pool = self._pools[address]
        pool.idle.append(connection)
        pool.release()

    def discard(self, address, connection):
        """Close a connection that cannot be used any more."""
        connection.close()
        self._pools[address].release()

    def close_idle_to(self, address):
        """Close the idle connections to a server that has gone."""
        pool = self._pools.get(address)
        if pool is not None:
            for connection in pool.idle:
                connection.close()
            pool.idle = []

    def close_idle(self):
        """Close connections that were idle for too long."""
        now = self._clock()
        for address, pool in list(self._pools.items()):
            kept = []
            for connection in pool.idle:
                if now - connection.idle_since > self._max_idle:
                    connection.close()
                else:
                    kept.append(connection)
            pool.idle = kept
            if not (kept or pool.in_use or pool.waiting):
                del self._pools[address]

    def _connect(self, address, now, deadline):
        if now >= deadline:
            raise ConnectFailed("no time left to connect")
        try:
            sock = socket.create_connection(
                (address.host, address.port), timeout=deadline - now
            )
        except OSError as error:
            raise ConnectFailed(str(error)) from error
        return Connection(sock=_sockets.TaskSocket(sock), now=now)
