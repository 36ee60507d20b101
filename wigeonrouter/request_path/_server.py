"""Accepts caller connections; one task owns each connection."""

import collections
import time

import gevent
from gevent import server as gevent_server

from wigeonrouter import core
from wigeonrouter.request_path import _caller_connection
from wigeonrouter.request_path import _messages
from wigeonrouter.request_path import _pauses
from wigeonrouter.request_path import _render
from wigeonrouter.request_path import _request_reader

MAX_CONNECTIONS = 10_000
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
        self._server = gevent_server.StreamServer(
            (address.host, address.port), self._serve, backlog=1024
        )

    @property
    def port(self):
        """Port that the server listens on."""
        return self._server.server_port

    @property
    def requests_in_progress(self):
        """Number of requests that have arrived and are not answered."""
        return sum(c.handling for c in self._connections)

    @property
    def connections(self):
        """Number of open connections."""
        return len(self._connections)

    def start(self):
        """Listen."""
        self._server.start()
        self._pauses.start()
        self._sweeper = gevent.spawn(self._sweep)

    def drain(self):
        """Ask callers to close: each answer says Connection: close."""
        self._draining = True

    def stop(self):
        """Stop listening and close all connections."""
        self._server.close()
        for connection in list(self._waiting):
            connection.expire()
        self._server.stop(timeout=1)
        self._pauses.stop()
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
                    core.Refusal(problem=core.problems.TOO_MANY_CONNECTIONS),
                )
        except (OSError, _caller_connection.CallerGone):
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
                connection, core.Refusal(problem=problem, detail=str(error))
            )
            return None
        finally:
            self._waiting.pop(connection, None)

    def _answer(self, connection, reader, request, arrived):
        connection.begin_handling(watch=not reader.pending)
        try:
            answer = self._handler.handle(request, arrived)
        finally:
            connection.end_handling()
        close = self._draining or not request.keep_alive
        connection.send(
            _render.render_response(
                response=answer, close=close, method=request.method
            )
        )
        return close

    def _refuse(self, connection, refusal):
        response = _render.problem_response(refusal=refusal, request_id="")
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
