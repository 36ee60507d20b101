"""Runs pipelined idempotent requests of a connection in parallel.

Load pattern: callers pipeline idempotent requests whose target latency is two
or three times their service time. If each one was read only after the response
to the one before, a request would spend most of its target latency unread at
the node, which would also take it for a new one.

The first request of a connection runs in the connection's own task. When
further bytes arrive meanwhile, a second task reads ahead and starts what may
overlap. Responses keep the order of the requests. A request that may not
overlap starts after the responses to all before it, and nothing behind it is
read until it has its own.
"""

import collections
import functools

import gevent
from gevent import event

from wigeonrouter.http1 import _caller_connection

# Requests of one connection that have been read and have no response yet.
MAX_UNANSWERED = 16


class Pipeline:
    """Owns the unanswered requests of one connection.

    It belongs to the task that creates it. It is a context manager that
    cancels what is unanswered at its end.

    Args:
      connection: CallerConnection.
      reader: ExchangeReader of the connection.
      handle: function from an HttpRequest and its arrival to its response.
      may_overlap: function from an HttpRequest to whether it may run beside
        others of its connection.
    """

    def __init__(self, *, connection, reader, handle, may_overlap):
        self._connection = connection
        self._reader = reader
        self._handle = handle
        self._may_overlap = may_overlap
        self._owner = gevent.getcurrent()
        self._current = None
        # Exchanges that have been read ahead, in order.
        self._ahead = collections.deque()
        # The task that reads ahead, None while the owner reads.
        self._read_task = None
        # Set when something was read ahead, and when a response was sent.
        self._was_read = event.Event()
        self._was_answered = event.Event()

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.cancel()
        self._close_current()

    @property
    def is_last(self):
        """Whether nothing has arrived behind the current request."""
        return not (
            self._ahead
            or self._reader.pending
            or self._connection.request_started
            or self._connection.has_unread_bytes()
        )

    def next(self):
        """End the current Exchange and wait for the next one, in order.

        Returns:
          Exchange, None if there are no more.
        """
        self._close_current()
        if not self._ahead and self._read_task is None:
            self._current = self._reader.read()
            return self._current
        while not self._ahead and self._read_task is not None:
            self._was_read.clear()
            self._was_read.wait()
        self._current = self._ahead.popleft() if self._ahead else None
        return self._current

    def run(self, exchange):
        """Return the HttpResponse to the request of the current Exchange.

        Raises:
          CallerDisconnected: the caller has closed the connection.
        """
        if exchange.task is not None:
            return exchange.task.get()
        if self._reader.pending:
            self._start_reading(exchange)
        else:
            self._connection.watch(
                on_close=self._disconnect,
                on_bytes=functools.partial(self._start_reading, exchange),
            )
        try:
            return self._handle(exchange.request, exchange.arrived)
        finally:
            if self._read_task is None and not self._ahead:
                self._connection.stop_watching()

    def wait_for_responses(self):
        """Wait until every request that has been read has its response.

        Only for the task that reads, which may send something of its own then.
        """
        while self._connection.unanswered:
            self._was_answered.clear()
            self._was_answered.wait()

    def stop_reading(self):
        """Read nothing more; what has not been read counts as not received."""
        self._connection.stop_watching()
        if self._read_task is not None:
            self._read_task.kill()
            self._read_task = None

    def cancel(self):
        """Cancel what is behind the current request; read nothing more."""
        self.stop_reading()
        while self._ahead:
            self._ahead.popleft().close()

    def _close_current(self):
        if self._current is not None:
            self._current.close()
            self._current = None
            self._was_answered.set()

    def _start_reading(self, exchange):
        """Read ahead, unless nothing may run beside the current request."""
        request = exchange.request
        if request.keep_alive and self._may_overlap(request):
            self._read_task = gevent.spawn(self._read_ahead)

    def _read_ahead(self):
        """Read requests until one may not run beside those before it."""
        try:
            while self._read_one():
                self._wait_for_room()
        except OSError:
            self._disconnect()
        finally:
            self._read_task = None
            self._was_read.set()
        if not self._connection.expired:
            self._connection.watch(on_close=self._disconnect)

    def _read_one(self):
        """Read a request and start it; return whether to read on."""
        exchange = self._reader.read()
        if exchange is None or exchange.error is not None:
            self._detect_close()
        if exchange is None:
            return False
        self._ahead.append(exchange)
        self._was_read.set()
        if exchange.error is not None or not self._may_overlap(
            exchange.request
        ):
            return False
        exchange.start(self._handle)
        return exchange.request.keep_alive

    def _wait_for_room(self):
        """Wait until fewer than MAX_UNANSWERED requests have no response."""
        while self._connection.unanswered >= MAX_UNANSWERED:
            self._connection.watch(on_close=self._disconnect)
            self._was_answered.clear()
            self._was_answered.wait()
        self._connection.stop_watching()

    def _detect_close(self):
        if not self._connection.expired and (
            self._connection.is_closed_by_peer()
        ):
            self._disconnect()

    def _disconnect(self):
        """Cancel all requests, since the caller has closed."""
        gevent.kill(self._owner, _caller_connection.CallerDisconnected)
