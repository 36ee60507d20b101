"""Reads the requests of one connection within the limits of its server."""

import dataclasses
import time

import gevent

from wigeonrouter import core
from wigeonrouter.http1 import _caller_connection
from wigeonrouter.http1 import _messages


class Exchange:
    """A request that has been read, and the task that runs it.

    Args:
      request: HttpRequest, None if reading it has failed.
      arrived: when it arrived, monotonic seconds.
      reservation: Reservation of its bytes.
      error: MalformedMessage, None if it has been read.
    """

    __slots__ = ("_arrived", "_error", "_request", "_reservation", "_task")

    def __init__(self, *, request, arrived, reservation, error=None):
        self._request = request
        self._arrived = arrived
        self._reservation = reservation
        self._error = error
        self._task = None

    @property
    def request(self):
        """HttpRequest, None if reading it has failed."""
        return self._request

    @property
    def arrived(self):
        """When the request arrived, monotonic seconds."""
        return self._arrived

    @property
    def error(self):
        """MalformedMessage, None if the request has been read."""
        return self._error

    @property
    def buffers_full(self):
        """Whether the request was given up because of the buffer limit."""
        return self._reservation.aborted

    @property
    def task(self):
        """Task that runs the request, None if none has been started."""
        return self._task

    def start(self, handle):
        """Run the request in a task of its own."""
        # Without the request as an argument, which gevent would log if the
        # task failed.
        self._task = gevent.spawn(self._run, handle)

    def close(self):
        """Cancel the request if it still runs, and release its buffers."""
        if self._task is None or self._task.ready():
            self._reservation.close()
            return
        self._task.kill(_caller_connection.CallerDisconnected, block=False)
        # Until its task has ended, the request may still receive bytes.
        self._task.link(lambda _: self._reservation.close())

    def _run(self, handle):
        return handle(self._request, self._arrived)


class ExchangeReader:
    """Reads the consecutive requests of one connection.

    Args:
      connection: CallerConnection.
      reader: RequestReader of the connection.
      buffer_budget: BufferBudget.
      waiting: ordered dict of the connections that wait for bytes, to which
        this one is added while it does.
      pauses: PauseDetector.
    """

    def __init__(self, *, connection, reader, buffer_budget, waiting, pauses):
        self._connection = connection
        self._reader = reader
        self._buffer_budget = buffer_budget
        self._waiting = waiting
        self._pauses = pauses
        self._arrived = 0.0

    @property
    def pending(self):
        """Whether bytes of the next request have been received already."""
        return self._reader.pending

    def read(self):
        """Wait for the next request.

        Returns:
          Exchange, which must be closed, or None if the caller has closed or
          was idle for too long.
        Raises:
          OSError: the connection failed.
        """
        reservation = self._buffer_budget.reserve()
        exchange = None
        try:
            exchange = self._read(reservation)
        finally:
            if exchange is None:
                reservation.close()
        return exchange

    def _read(self, reservation):
        pending = self._reader.pending
        self._connection.begin_request(pending=pending)
        self._waiting[self._connection] = None
        receive = reservation.counting(
            self._connection.receive,
            abort=self._connection.expire,
            problem=core.problems.BUFFERS_FULL,
        )
        try:
            request = self._reader.read(receive)
        except _messages.MalformedMessage as error:
            return Exchange(
                request=None,
                arrived=self._arrived,
                reservation=reservation,
                error=error,
            )
        finally:
            self._waiting.pop(self._connection, None)
        if request is None:
            return None
        self._connection.end_request()
        reservation.keep()
        if not pending:
            self._arrived = self._find_arrival()
        return Exchange(
            request=dataclasses.replace(request, reservation=reservation),
            arrived=self._arrived,
            reservation=reservation,
        )

    def _find_arrival(self):
        """Return when a request that was just read arrived, seconds.

        After a pause that is when its last bytes did, as far as the kernel
        knows, or else the earliest time at which it can have been.
        """
        now = time.monotonic()
        earliest = self._pauses.earliest_arrival(now)
        if earliest == now:
            return now
        elapsed = self._connection.time_since_bytes()
        return earliest if elapsed is None else max(earliest, now - elapsed)
