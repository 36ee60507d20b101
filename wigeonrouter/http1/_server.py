"""HTTP server for callers, with a task for each connection."""

import collections
import math
import time

import gevent
from gevent import server as gevent_server
from gevent import socket

from wigeonrouter import core
from wigeonrouter.http1 import _buffer_budget
from wigeonrouter.http1 import _caller_connection
from wigeonrouter.http1 import _exchange_reader
from wigeonrouter.http1 import _pauses
from wigeonrouter.http1 import _pipeline
from wigeonrouter.http1 import _render
from wigeonrouter.http1 import _request_reader

MAX_CONNECTIONS = 10_000
_LISTEN_BACKLOG = 1024
# Longer than it takes to handle a request with the longest timeout, 60 s.
STOP_TIMEOUT_S = 65.0
_STOP_POLL_S = 0.02
_EXPIRY_CHECK_INTERVAL_S = 0.5
_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


class CallerServer:
    """Accepts caller connections and passes requests to a handler.

    Args:
      address: core.Address to listen on.
      handler: object with body_limit(request), which returns bytes, and
        handle(request, arrived), which returns an HttpResponse.
      max_connections: largest number of open connections.
      buffer_budget: BufferBudget of requests and their responses, None for
        no limit.
      may_overlap: function from an HttpRequest to whether it may run beside
        pipelined requests before and behind it; for none by default.
    """

    def __init__(
        self,
        *,
        address,
        handler,
        max_connections=MAX_CONNECTIONS,
        buffer_budget=None,
        may_overlap=lambda request: False,
    ):
        self._handler = handler
        self._may_overlap = may_overlap
        self._buffer_budget = buffer_budget or _buffer_budget.BufferBudget(
            limit=math.inf
        )
        self._max_connections = max_connections
        self._draining = False
        self._connections = set()
        # Connections that wait for bytes, the longest waiting first.
        self._waiting = collections.OrderedDict()
        self._pauses = _pauses.PauseDetector()
        self._expiry_task = None
        self._last_arrival = time.monotonic()
        self._closed_idle = 0
        self._closed_unread = 0
        # Bound here, so that an address in use raises at once. The kernel
        # refuses connections until start() listens.
        self._listener = socket.socket()
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._listener.bind((address.host, address.port))
        self._server = gevent_server.StreamServer(self._listener, self._serve)

    @property
    def port(self):
        """Number of the port that the server listens on."""
        return self._listener.getsockname()[1]

    @property
    def requests_in_progress(self):
        """Number of unanswered requests, including partially received ones."""
        return sum(c.requests_in_progress for c in self._connections)

    @property
    def last_arrival(self):
        """Time when the last request was complete, monotonic seconds."""
        return self._last_arrival

    @property
    def connections(self):
        """Number of open connections."""
        return len(self._connections)

    @property
    def closed_idle(self):
        """Number of idle connections that stop() has closed."""
        return self._closed_idle

    @property
    def closed_unread(self):
        """Number of those on which bytes had arrived that nobody read."""
        return self._closed_unread

    def earliest_signal(self, now):
        """Return the earliest time when a signal handled now may have come.

        Args:
          now: seconds on the monotonic clock.
        """
        return self._pauses.earliest_signal(now)

    def start(self):
        """Start to accept connections."""
        self._listener.listen(_LISTEN_BACKLOG)
        self._server.start()
        self._pauses.start()
        self._expiry_task = gevent.spawn(self._expire_overdue)

    def drain(self):
        """Add Connection: close to all further responses."""
        self._draining = True

    def stop(self):
        """Stop accepting, finish the requests that have arrived, then close.

        Returns after STOP_TIMEOUT_S at the latest.
        """
        self._draining = True
        self._accept_backlog()
        self._server.close()
        stop_deadline = time.monotonic() + STOP_TIMEOUT_S
        self._close_idle()
        while self._connections and time.monotonic() < stop_deadline:
            gevent.sleep(_STOP_POLL_S)
        self._server.stop(timeout=1)
        self._pauses.stop()
        if self._expiry_task is not None:
            gevent.kill(self._expiry_task)

    def kill(self):
        """Close the listener and all connections immediately."""
        self._server.stop(timeout=0)
        self._pauses.stop()
        if self._expiry_task is not None:
            gevent.kill(self._expiry_task)

    def _close_idle(self):
        for connection in list(self._waiting):
            self._closed_idle += connection.expire_if_idle()

    def _accept_backlog(self):
        """Accept the connections that are open for their callers already.

        Closing the listener would reset them, with the requests they carry.
        """
        if self._server.closed:
            return
        # The kernel holds no more of them.
        for _ in range(_LISTEN_BACKLOG):
            try:
                accepted = self._server.do_read()
            except OSError:
                # The requests in progress do not depend on this one.
                continue
            if accepted is None:
                break
            self._server.do_handle(*accepted)
        # The new tasks start, and their connections are waited for.
        gevent.sleep(0)

    def _serve(self, sock, _):
        connection = _caller_connection.CallerConnection(sock=sock)
        self._connections.add(connection)
        try:
            if self._evict_if_full():
                self._serve_requests(connection)
            else:
                self._send_failure(
                    connection,
                    core.Problem(problem=core.problems.TOO_MANY_CONNECTIONS),
                )
        except (OSError, _caller_connection.CallerDisconnected):
            pass
        finally:
            self._connections.discard(connection)
            self._waiting.pop(connection, None)
            if self._draining and connection.dropped_bytes:
                self._closed_unread += 1
            connection.close()

    def _evict_if_full(self):
        """Return whether a new connection can be served.

        Over the limit, the connection that has waited for bytes longest is
        closed; without such a connection the new one is refused.
        """
        if len(self._connections) <= self._max_connections:
            return True
        for connection in self._waiting:
            if not connection.unanswered:
                del self._waiting[connection]
                connection.expire()
                return True
        return False

    def _serve_requests(self, connection):
        def send_continue():
            # An interim response must not come before earlier responses.
            pipeline.wait_for_responses()
            connection.send(_CONTINUE)

        reader = _exchange_reader.ExchangeReader(
            connection=connection,
            reader=_request_reader.RequestReader(
                body_limit=self._handler.body_limit,
                send_continue=send_continue,
            ),
            buffer_budget=self._buffer_budget,
            waiting=self._waiting,
            pauses=self._pauses,
        )
        with _pipeline.Pipeline(
            connection=connection,
            reader=reader,
            handle=self._handle,
            may_overlap=self._may_overlap,
        ) as pipeline:
            close = False
            while not close and (exchange := pipeline.next()) is not None:
                if exchange.error is not None:
                    self._reject_malformed(connection, exchange)
                    return
                close = self._respond(connection, pipeline, exchange)

    def _handle(self, request, arrived):
        self._last_arrival = time.monotonic()
        return self._handler.handle(request, arrived)

    def _reject_malformed(self, connection, exchange):
        problem = exchange.error.problem
        if connection.expired and not exchange.buffers_full:
            problem = core.problems.REQUEST_TIMEOUT
        self._send_failure(
            connection,
            core.Problem(problem=problem, detail=str(exchange.error)),
        )

    def _respond(self, connection, pipeline, exchange):
        """Send the response; return whether it closes the connection."""
        request = exchange.request
        try:
            response = pipeline.run(exchange)
        except Exception:
            pipeline.cancel()
            self._send_failure(
                connection,
                core.Problem(problem=core.problems.INTERNAL),
                method=request.method,
            )
            raise
        # A pipelined request has arrived already and is still handled.
        close = not request.keep_alive or (self._draining and pipeline.is_last)
        if close:
            pipeline.stop_reading()
        connection.send(
            _render.render_response(
                response=response, close=close, method=request.method
            )
        )
        connection.end_response()
        if close:
            connection.linger()
        return close

    def _send_failure(self, connection, failure, method=b""):
        response = _render.problem_response(failure=failure, request_id="")
        connection.send(
            _render.render_response(
                response=response, close=True, method=method
            )
        )
        connection.linger()

    def _expire_overdue(self):
        while True:
            gevent.sleep(_EXPIRY_CHECK_INTERVAL_S)
            now = time.monotonic()
            for connection in list(self._waiting):
                if connection.deadline < now and not connection.expired:
                    connection.expire()
