"""Accepts caller connections; one task owns each connection."""

import time

import gevent
from gevent import hub as gevent_hub
from gevent import server as gevent_server
from gevent import socket

from wigeonrouter import core
from wigeonrouter.request_path import _http

_RECEIVE_BYTES = 1 << 16
# A caller that takes longer to send a request holds a task for nothing.
REQUEST_ARRIVAL_TIMEOUT_S = 10.0
IDLE_TIMEOUT_S = 75.0
MAX_CONNECTIONS = 10_000
_BACKLOG = 1024
# More than a request with the longest timeout takes to be answered.
_STOP_TIMEOUT_S = 45.0
_STOP_POLL_S = 0.02


class CallerGone(gevent.GreenletExit):
    """The caller closed its connection while its request was in progress."""


class CallerServer:
    """Listens for callers and hands their requests to a handler."""

    def __init__(self, *, address, handler, max_body_bytes):
        self._handler = handler
        self._max_body_bytes = max_body_bytes
        self._draining = False
        self._connections = {}
        self._last_arrival = time.monotonic()
        # Bound here, so that an address in use is known at once; callers are
        # refused by the kernel until start() listens.
        self._listener = socket.socket()
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._listener.bind((address.host, address.port))
        self._server = gevent_server.StreamServer(
            self._listener, self._serve, spawn=MAX_CONNECTIONS
        )

    @property
    def port(self):
        """Port that the server listens on."""
        return self._listener.getsockname()[1]

    @property
    def requests_in_progress(self):
        """Number of requests that have begun to arrive and lack an answer."""
        return sum(self._connections.values())

    @property
    def last_arrival(self):
        """Time when a request last began to arrive, monotonic seconds."""
        return self._last_arrival

    def start(self):
        """Listen."""
        self._listener.listen(_BACKLOG)
        self._server.start()

    def drain(self):
        """Ask callers to close: each answer says Connection: close."""
        self._draining = True

    def stop(self):
        """Stop listening, answer what has arrived, close all connections."""
        self._draining = True
        self._server.close()
        for sock, busy in list(self._connections.items()):
            if not busy:
                _close_if_nothing_arrived(sock)
        latest = time.monotonic() + _STOP_TIMEOUT_S
        while self._connections and time.monotonic() < latest:
            gevent.sleep(_STOP_POLL_S)
        self._server.stop(timeout=1)

    def _serve(self, sock, _):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._connections[sock] = False
        try:
            self._serve_requests(sock)
        except (OSError, CallerGone):
            pass
        finally:
            del self._connections[sock]
            sock.close()

    def _serve_requests(self, sock):
        reader = _http.RequestReader(max_body_bytes=self._max_body_bytes)
        while True:
            receive = _Receiver(sock, on_first_byte=self._note_arrival)
            if reader.pending:
                self._note_arrival(sock)
            try:
                request = reader.read(receive)
            except _http.MalformedMessage as error:
                self._refuse(sock, error)
                return
            except TimeoutError:
                if receive.received:
                    self._refuse(
                        sock,
                        _http.MalformedMessage(core.problems.REQUEST_TIMEOUT),
                    )
                return
            if request is None:
                return
            answer = self._handle(sock, request, reader)
            # A pipelined request has arrived already and gets its answer.
            close = not request.keep_alive or (
                self._draining and not reader.pending
            )
            sock.settimeout(REQUEST_ARRIVAL_TIMEOUT_S)
            sock.sendall(
                _http.render_response(
                    response=answer,
                    headers=(),
                    close=close,
                    method=request.method,
                )
            )
            self._connections[sock] = False
            if close:
                return

    def _note_arrival(self, sock):
        self._connections[sock] = True
        self._last_arrival = time.monotonic()

    def _handle(self, sock, request, reader):
        if reader.pending:
            # A pipelined request is readable; that is no sign of leaving.
            return self._handler.handle(request)
        watch = _LeaveWatch(sock)
        try:
            return self._handler.handle(request)
        finally:
            watch.stop()

    def _refuse(self, sock, error):
        refusal = core.Refusal(problem=error.problem, detail=str(error))
        response = _http.problem_response(refusal=refusal, request_id="")
        sock.settimeout(1.0)
        sock.sendall(
            _http.render_response(
                response=response, headers=(), close=True, method=b""
            )
        )


def _close_if_nothing_arrived(sock):
    timeout = sock.gettimeout()
    try:
        sock.settimeout(0)
        sock.recv(1, socket.MSG_PEEK)
        sock.settimeout(timeout)
    except BlockingIOError:
        # The task that waits for a request sees the end and closes.
        sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        # The caller closed at the same time.
        pass


class _Receiver:
    """Receives a request within the arrival timeout once it has begun."""

    def __init__(self, sock, *, on_first_byte):
        self._sock = sock
        self._on_first_byte = on_first_byte
        self._deadline = None

    @property
    def received(self):
        """Whether any byte of the request has arrived."""
        return self._deadline is not None

    def __call__(self):
        if self._deadline is None:
            self._sock.settimeout(IDLE_TIMEOUT_S)
        else:
            remaining = self._deadline - time.monotonic()
            if remaining <= 0:
                raise TimeoutError
            self._sock.settimeout(remaining)
        data = self._sock.recv(_RECEIVE_BYTES)
        if self._deadline is None:
            self._deadline = time.monotonic() + REQUEST_ARRIVAL_TIMEOUT_S
            if data:
                self._on_first_byte(self._sock)
        return data


class _LeaveWatch:
    """Throws CallerGone into the current task when the caller closes."""

    def __init__(self, sock):
        self._sock = sock
        self._task = gevent.getcurrent()
        self._watcher = gevent_hub.get_hub().loop.io(sock.fileno(), 1)
        self._watcher.start(self._on_readable)

    def stop(self):
        """End the watch."""
        self._task = None
        self._watcher.stop()
        self._watcher.close()

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
