"""Accepts caller connections; one task owns each connection."""

import collections
import time

import gevent
from gevent import server as gevent_server
from gevent import socket

from wigeonrouter import core
from wigeonrouter.http1 import _caller_connection
from wigeonrouter.http1 import _messages
from wigeonrouter.http1 import _pauses
from wigeonrouter.http1 import _render
from wigeonrouter.http1 import _request_reader

MAX_CONNECTIONS = 10_000
_BACKLOG = 1024
# More than a request with the longest timeout takes to be answered.
_STOP_TIMEOUT_S = 45.0
_STOP_POLL_S = 0.02
_SWEEP_INTERVAL_S = 0.5
_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


class CallerServer:
    """Listens for callers and hands their requests to a handler."""

    def __init__(self, *, address, handler, max_connections=MAX_CONNECTIONS):
        self._handler = handler
        self._max_connections = max_connections
        self._draining = False
        self._connections = set()
        # Connections that wait for bytes, the longest waiting first.
        self._waiting = collections.OrderedDict()
        self._pauses = _pauses.PauseDetector()
        self._sweeper = None
        self._last_arrival = time.monotonic()
        # Bound here, so that an address in use is known at once; callers are
        # refused by the kernel until start() listens.
        self._listener = socket.socket()
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._listener.bind((address.host, address.port))
        self._server = gevent_server.StreamServer(self._listener, self._serve)

    @property
    def port(self):
        """Port that the server listens on."""
        return self._listener.getsockname()[1]

    @property
    def requests_in_progress(self):
        """Number of requests that have begun to arrive and lack an answer."""
        return sum(c.received for c in self._connections)

    @property
    def last_arrival(self):
        """Time when the last request had arrived, monotonic seconds."""
        return self._last_arrival

    @property
    def connections(self):
        """Number of open connections."""
        return len(self._connections)

    def start(self):
        """Listen."""
        self._listener.listen(_BACKLOG)
        self._server.start()
        self._pauses.start()
        self._sweeper = gevent.spawn(self._sweep)

    def drain(self):
        """Ask callers to close: each answer says Connection: close."""
        self._draining = True

    def stop(self):
        """Stop listening, answer what has arrived, close all connections."""
        self._draining = True
        self._server.close()
        latest = time.monotonic() + _STOP_TIMEOUT_S
        for connection in list(self._waiting):
            connection.expire_if_idle()
        while self._connections and time.monotonic() < latest:
            gevent.sleep(_STOP_POLL_S)
        self._server.stop(timeout=1)
        self._pauses.stop()
        if self._sweeper is not None:
            gevent.kill(self._sweeper)

    def kill(self):
        """Close everything at once."""
        self._server.stop(timeout=0)
        self._pauses.stop()
        if self._sweeper is not None:
            gevent.kill(self._sweeper)

    def _serve(self, sock, _):
        connection = _caller_connection.CallerConnection(sock=sock)
        self._connections.add(connection)
        try:
            if self._make_room():
                self._serve_requests(connection)
            else:
                self._refuse(
                    connection,
                    core.Problem(problem=core.problems.TOO_MANY_CONNECTIONS),
                )
        except (OSError, _caller_connection.CallerDisconnected):
            pass
        finally:
            self._connections.discard(connection)
            self._waiting.pop(connection, None)
            connection.close()

    def _make_room(self):
        """Close the longest waiting connection where there are too many."""
        if len(self._connections) <= self._max_connections:
            return True
        if not self._waiting:
            return False
        connection, _ = self._waiting.popitem(last=False)
        connection.expire()
        return True

    def _serve_requests(self, connection):
        reader = _request_reader.RequestReader(
            body_limit=self._handler.body_limit,
            send_continue=lambda: connection.send(_CONTINUE),
        )
        arrived = 0.0
        while True:
            pending = reader.pending
            request = self._read(connection, reader, pending)
            if request is None:
                return
            if not pending:
                arrived = self._pauses.earliest_arrival(time.monotonic())
            close = self._answer(connection, reader, request, arrived)
            if close:
                return

    def _read(self, connection, reader, pending):
        connection.begin_request(pending=pending)
        self._waiting[connection] = None
        try:
            return reader.read(connection.receive)
        except _messages.MalformedMessage as error:
            problem = error.problem
            if connection.expired:
                problem = core.problems.REQUEST_TIMEOUT
            self._refuse(
                connection, core.Problem(problem=problem, detail=str(error))
            )
            return None
        finally:
            self._waiting.pop(connection, None)

    def _answer(self, connection, reader, request, arrived):
        self._last_arrival = time.monotonic()
        connection.begin_handling(watch=not reader.pending)
        try:
            answer = self._handler.handle(request, arrived)
        finally:
            connection.end_handling()
        # A pipelined request has arrived already and gets its answer.
        close = not request.keep_alive or (
            self._draining and not reader.pending
        )
        connection.send(
            _render.render_response(
                response=answer, close=close, method=request.method
            )
        )
        return close

    def _refuse(self, connection, failure):
        response = _render.problem_response(failure=failure, request_id="")
        connection.send_last(
            _render.render_response(response=response, close=True, method=b"")
        )

    def _sweep(self):
        while True:
            gevent.sleep(_SWEEP_INTERVAL_S)
            now = time.monotonic()
            for connection in list(self._waiting):
                if connection.deadline < now and not connection.expired:
                    connection.expire()
