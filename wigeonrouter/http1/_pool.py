"""Pool of connections to backend servers, with a limit per server."""

import collections
import enum
import time

import gevent
from gevent import event
from gevent import socket

from wigeonrouter import core
from wigeonrouter.http1 import _messages
from wigeonrouter.http1 import _sockets

# Backend servers may close idle connections at any time. Connections that were
# idle for longer are not reused.
MAX_IDLE_S = 4.0
# As the longest idle time of a connection: no idle one is used.
NEW_CONNECTION = -1.0
# A connection that has carried more requests which may be sent again is not
# kept, so that their IDs take little memory.
_MAX_RETRYABLE_IDS = 256


class RequestNotSent(Exception):
    """No byte of the request was sent, so it can be sent again safely."""


class ConnectFailed(RequestNotSent):
    """No connection was available or could be opened in time."""


class AbortReason(enum.Enum):
    """Why this process ends a connection while it receives a response."""

    BUFFERS_FULL = "buffers are full"
    SERVERS_UNREACHABLE = "no server is reachable"


_ABORT_PROBLEMS = {
    AbortReason.BUFFERS_FULL: core.problems.ANSWER_TOO_LARGE,
    AbortReason.SERVERS_UNREACHABLE: core.problems.ANSWER_LOST,
}


class ConnectionAborted(_messages.MalformedMessage):
    """This process ended the connection, so the response is incomplete.

    Args:
      reason: AbortReason.
    """

    def __init__(self, reason):
        super().__init__(_ABORT_PROBLEMS[reason], reason.value)
        self.reason = reason


class Connection:
    """One connection to a backend server.

    Args:
      sock: TaskSocket.
      now: seconds on the monotonic clock.
      number: which of the connections of its pool it is, from 1.
    """

    def __init__(self, *, sock, now, number):
        self._names_ids = False
        self._sock = sock
        self._number = number
        self._last_used = now
        self._requests = 0
        # Hashes of the IDs, which may be long. Two that are equal cost a new
        # connection.
        self._retryable_ids = set()
        self._abort_reason = None

    @property
    def number(self):
        """Which of the connections of its pool it is, from 1."""
        return self._number

    @property
    def names_ids(self):
        """Whether a response has named the ID of its request.

        Those that do not are no responses to requests with an ID then.
        """
        return self._names_ids

    @property
    def idle_since(self):
        """Time of the last use, seconds on the monotonic clock."""
        return self._last_used

    @property
    def requests(self):
        """Number of requests that were sent on the connection."""
        return self._requests

    @property
    def fresh(self):
        """Whether no request has been sent on the connection yet."""
        return self._requests == 0

    @property
    def is_exhausted(self):
        """Whether the connection has carried too many retryable requests."""
        return len(self._retryable_ids) > _MAX_RETRYABLE_IDS

    def record_named_id(self):
        """Record that a response has named the ID of its request."""
        self._names_ids = True

    def add_retryable(self, request_id):
        """Record a request that got a response, and may be sent again.

        It is never sent on this connection again: the server may write its
        response once more, and nothing would tell the copy from the new one.
        Requests that succeeded are not recorded, as they are not sent again.
        """
        self._retryable_ids.add(hash(request_id))

    def may_carry(self, request_id):
        """Return whether a response to the request could be told."""
        return hash(request_id) not in self._retryable_ids

    def is_usable(self, now, max_idle):
        """Return whether the connection can be used for another request.

        It cannot if it was idle for too long, or if the server has closed it
        or sent anything: unsolicited bytes would be read as the response to
        the next request.

        Args:
          now: seconds on the monotonic clock.
          max_idle: longest time since the last use, seconds.
        """
        return now - self._last_used <= max_idle and self._sock.is_idle()

    def send(self, data):
        """Send all bytes.

        Raises:
          RequestNotSent: the first system call failed; no byte was sent.
          OSError: some bytes may have been sent.
        """
        self._requests += 1
        try:
            sent = self._sock.send_nonblocking(data)
        except OSError as error:
            raise RequestNotSent(str(error)) from error
        if sent < len(data):
            self._sock.send_blocking(memoryview(data)[sent:])

    def receive(self):
        """Return the next bytes, or b"" at the end that the server has set.

        Raises:
          ConnectionAborted: abort() was called.
          OSError: the connection failed.
        """
        data = self._sock.receive()
        if self._abort_reason is not None:
            raise ConnectionAborted(self._abort_reason)
        return data

    def touch(self, now):
        """Set the time of the last use, seconds."""
        self._last_used = now

    def abort(self, reason):
        """End the connection; a waiting receive() raises ConnectionAborted.

        Args:
          reason: AbortReason.
        """
        self._abort_reason = reason
        try:
            self._sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            # The connection has failed already.
            pass

    def close(self):
        """Close the connection; this cancels a request in progress."""
        self._sock.close()


class _ServerPool:
    """Connection permits and idle connections of one backend server."""

    __slots__ = ("idle", "in_use", "limit", "waiters")

    def __init__(self):
        self.idle = []
        self.in_use = 0
        self.limit = 0
        self.waiters = collections.deque()

    def acquire(self, limit, timeout):
        """Take a permit; return False after a timeout in seconds.

        Waiting tasks get permits in the order of their arrival.
        """
        self.limit = limit
        if self.in_use < limit and not self.waiters:
            self.in_use += 1
            return True
        waiter = event.AsyncResult()
        self.waiters.append(waiter)
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
                self.waiters.remove(waiter)
        return True

    def release(self):
        """Return a permit; the longest waiting task gets it, if any."""
        self.in_use -= 1
        while self.waiters and self.in_use < self.limit:
            self.in_use += 1
            self.waiters.popleft().set()

    def take_idle(self, now, max_idle, request_id, names_ids):
        """Return an idle connection that may carry a request, or None.

        Connections that cannot be used for any request are closed.

        Args:
          now: seconds on the monotonic clock.
          max_idle: longest time since the last use, seconds.
          request_id: ID of the request, "" for none.
          names_ids: whether the server has to name IDs on the connection.
        """
        passed_over = []
        found = None
        while self.idle and now - self.idle[-1].idle_since <= max_idle:
            connection = self.idle.pop()
            if not connection.may_carry(request_id) or (
                names_ids and not connection.names_ids
            ):
                passed_over.append(connection)
            elif connection.is_usable(now, max_idle):
                found = connection
                break
            else:
                connection.close()
        self.idle.extend(reversed(passed_over))
        return found


class ConnectionPool:
    """Owns the connections of one process to all backend servers.

    Args:
      clock: monotonic clock, seconds.
      max_idle: longest time since the last use after which a connection is
        reused, seconds.
    """

    def __init__(self, *, clock=time.monotonic, max_idle=MAX_IDLE_S):
        self._clock = clock
        self._max_idle = max_idle
        self._pools = {}
        self._opened = 0
        self._closed_exhausted = 0

    @property
    def opened(self):
        """Number of connections that were opened since the start."""
        return self._opened

    @property
    def closed_exhausted(self):
        """Number of connections that were closed since they were exhausted."""
        return self._closed_exhausted

    @property
    def in_use(self):
        """Number of connections that are checked out."""
        return sum(pool.in_use for pool in self._pools.values())

    @property
    def idle(self):
        """Number of idle connections."""
        return sum(len(pool.idle) for pool in self._pools.values())

    def checkout(
        self,
        *,
        address,
        limit,
        deadline,
        max_idle=None,
        request_id="",
        names_ids=False,
    ):
        """Return a Connection, an idle one of the pool if possible.

        Args:
          address: core.Address of the server.
          limit: largest number of connections to it.
          deadline: end of waiting for a permit and of connecting, seconds on
            the monotonic clock.
          max_idle: longest time since the last use, seconds; None for the
            default of the pool, NEW_CONNECTION for a new one.
          request_id: ID of the request that it is to carry, "" for none.
          names_ids: whether the server has to name IDs on it, unless it is
            new.
        Raises:
          ConnectFailed: no permit or connection was available before the
            deadline, or the connection attempt failed.
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
        connection = pool.take_idle(now, max_idle, request_id, names_ids)
        if connection is not None:
            return connection
        if pool.idle and pool.in_use + len(pool.idle) > limit:
            # The idle ones cannot be used for this request.
            pool.idle.pop(0).close()
        try:
            return self._connect(address, now, deadline)
        except BaseException:
            pool.release()
            raise

    def checkin(self, address, connection):
        """Return a connection whose response was read completely."""
        if connection.is_exhausted:
            self._closed_exhausted += 1
            self.discard(address, connection)
            return
        connection.touch(self._clock())
        pool = self._pools[address]
        pool.idle.append(connection)
        pool.release()

    def discard(self, address, connection):
        """Close a connection that must not be reused, and free its permit."""
        connection.close()
        self._pools[address].release()

    def close_idle_to(self, address):
        """Close the idle connections to a server that was removed."""
        pool = self._pools.get(address)
        if pool is not None:
            for connection in pool.idle:
                connection.close()
            pool.idle = []

    def close_idle(self):
        """Close connections over the idle limit; drop empty server pools."""
        now = self._clock()
        for address, pool in list(self._pools.items()):
            usable = []
            for connection in pool.idle:
                if now - connection.idle_since > self._max_idle:
                    connection.close()
                else:
                    usable.append(connection)
            pool.idle = usable
            if not (usable or pool.in_use or pool.waiters):
                del self._pools[address]

    def _connect(self, address, now, deadline):
        if now >= deadline:
            raise ConnectFailed("deadline passed before connecting")
        try:
            sock = socket.create_connection(
                (address.host, address.port), timeout=deadline - now
            )
        except OSError as error:
            raise ConnectFailed(str(error)) from error
        self._opened += 1
        return Connection(
            sock=_sockets.TaskSocket(sock), now=now, number=self._opened
        )
