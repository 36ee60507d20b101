"""Tests of a server that stops while callers send requests."""

import errno
import time

import gevent
from gevent import monkey
import pytest

from wigeonrouter import core
from wigeonrouter import http1
from wigeonrouter.http1 import _caller_connection

CALLERS = 20
WAIT_S = 5.0
REQUEST = b"GET /%d HTTP/1.1\r\nHost: a\r\n\r\n"
# A blocking socket: connecting and sending let no task of the server run.
BlockingSocket = monkey.get_original("socket", "socket")
# Sleeps without letting any other task run.
hold_up = monkey.get_original("time", "sleep")
HELD_UP_S = 0.6
# The kernel counts in ticks of 10 ms at most.
ARRIVAL_ERROR_S = 0.02
# Longer than it takes to read what arrived while a server was held up.
BUSY_S = 0.3


class _SlowHandler:
    """Responds with the path after a while."""

    def __init__(self):
        self.handled = []
        self.arrivals = []

    def body_limit(self, request):
        return 0

    def handle(self, request, arrived):
        self.handled.append(request.target)
        self.arrivals.append(arrived)
        gevent.sleep(0.05)
        return http1.HttpResponse(status=200, headers=(), body=request.target)


@pytest.fixture
def handler():
    """Return the handler of the server."""
    return _SlowHandler()


@pytest.fixture
def server(handler):
    """Run a CallerServer."""
    server = http1.CallerServer(
        address=core.Address(host="127.0.0.1", port=0), handler=handler
    )
    server.start()
    yield server
    server.kill()


@pytest.fixture
def connect(server):
    """Return a function that opens a connection without a task switch."""
    sockets = []

    def start():
        sock = BlockingSocket()
        sock.settimeout(WAIT_S)
        sock.connect(("127.0.0.1", server.port))
        sockets.append(sock)
        return sock

    yield start
    for sock in sockets:
        sock.close()


def _receive_some(sock):
    """Return the next bytes, b"" at the end; other tasks run meanwhile."""
    sock.setblocking(False)
    while True:
        try:
            return sock.recv(65536)
        except BlockingIOError:
            gevent.sleep(0.005)


def _receive_bodies(sock, count):
    """Return the bodies of the responses until the server closes."""
    reader = http1.ResponseReader(
        receive=lambda: _receive_some(sock), max_bytes=1 << 16
    )
    with gevent.Timeout(WAIT_S):
        return [reader.read(b"GET").body for _ in range(count)]


def test_requests_in_the_listen_backlog_are_answered(server, connect):
    """Guards against requests that are cut off because a server stops.

    Their connections are complete for the callers, but the server had no time
    yet to accept them.
    """
    sockets = [connect() for _ in range(CALLERS)]
    for number, sock in enumerate(sockets):
        sock.sendall(REQUEST % number)
    stopping = gevent.spawn(server.stop)
    for number, sock in enumerate(sockets):
        assert _receive_bodies(sock, 1) == [b"/%d" % number]
    stopping.get(timeout=WAIT_S)


def test_request_behind_another_one_is_answered_by_a_draining_server(
    server, connect, handler
):
    """Guards against closing on a request that has already arrived.

    It is in the receive buffer of the kernel while the first one is handled.
    """
    sock = connect()
    sock.sendall(REQUEST % 1)
    with gevent.Timeout(WAIT_S):
        while not handler.handled:
            gevent.sleep(0.001)
    sock.sendall(REQUEST % 2)
    server.drain()
    assert _receive_bodies(sock, 2) == [b"/1", b"/2"]


def test_request_behind_the_end_of_its_connection_gets_no_response(
    server, connect, handler
):
    """Guards against a promise for a pipelined request that was not read.

    The second request closes the connection, so its response says so, and the
    third one may be sent again.
    """
    sock = connect()
    closing = REQUEST.replace(b"Host", b"Connection: close\r\nHost")
    sock.sendall(REQUEST % 1 + closing % 2 + REQUEST % 3)
    received = b""
    with gevent.Timeout(WAIT_S):
        while (data := _receive_some(sock)) != b"":
            received += data
    first, second = received.split(b"HTTP/1.1 ")[1:]
    assert first.endswith(b"/1") and b"connection: close" not in first.lower()
    assert second.endswith(b"/2") and b"connection: close" in second.lower()
    assert handler.handled == [b"/1", b"/2"]


def test_half_of_a_request_is_waited_for(server, connect):
    """Guards against closing on a request that is still arriving."""
    sock = connect()
    request = REQUEST % 1
    sock.sendall(request[:10])
    gevent.sleep(0.05)
    stopping = gevent.spawn(server.stop)
    gevent.sleep(0.1)
    sock.sendall(request[10:])
    assert _receive_bodies(sock, 1) == [b"/1"]
    stopping.get(timeout=WAIT_S)


def test_stop_counts_the_idle_connections_that_it_closes(server, connect):
    """Guards against closed connections that no log line accounts for."""
    idle, busy = connect(), connect()
    busy.sendall(REQUEST % 1)
    assert _receive_bodies(busy, 1) == [b"/1"]
    busy.sendall(REQUEST % 2)
    gevent.sleep(0.01)
    server.stop()
    assert idle.recv(1) == b""
    assert (server.closed_idle, server.closed_unread) == (1, 0)


def test_stop_waits_for_requests_if_a_connection_cannot_be_accepted(
    server, connect, monkeypatch
):
    """Guards against a stop that ends at once, with requests in progress.

    A process that has no descriptor left cannot accept connections.
    """
    sock = connect()
    sock.sendall(REQUEST % 1)
    gevent.sleep(0.01)

    def fail():
        raise OSError(errno.EMFILE, "too many open files")

    monkeypatch.setattr(server._server, "do_read", fail)
    stopping = gevent.spawn(server.stop)
    assert _receive_bodies(sock, 1) == [b"/1"]
    gevent.sleep(0.1)
    sock.close()
    stopping.get(timeout=WAIT_S)
    assert server.connections == 0


@pytest.mark.parametrize("kernel_tells", [True, False])
def test_requests_are_dated_back_only_if_they_arrived_in_a_pause(
    server, connect, handler, monkeypatch, kernel_tells
):
    """Guards against late requests that count as new, and the other way."""
    if not kernel_tells:
        monkeypatch.setattr(
            _caller_connection.CallerConnection,
            "time_since_bytes",
            lambda connection: None,
        )
    gevent.sleep(0.2)
    open_before = connect()
    gevent.sleep(0.05)
    paused = time.monotonic()
    sockets = [open_before, *(connect() for _ in range(CALLERS))]
    for number, sock in enumerate(sockets):
        sock.sendall(REQUEST % number)
    sent = time.monotonic()
    hold_up(HELD_UP_S)
    for sock in sockets:
        _receive_bodies(sock, 1)
    assert len(handler.arrivals) == len(sockets)
    latest = sent + ARRIVAL_ERROR_S if kernel_tells else paused
    assert max(handler.arrivals) <= latest
    resumed = time.monotonic()
    open_before.sendall(REQUEST % 1)
    _receive_bodies(open_before, 1)
    assert handler.arrivals[-1] >= resumed


def test_request_is_not_dated_back_before_it_arrived(server, connect, handler):
    """Guards against requests that are failed before their timeout.

    They arrive at different times while the server is held up.
    """
    gevent.sleep(0.2)
    sent = []
    sockets = [connect() for _ in range(3)]
    for number, sock in enumerate(sockets):
        hold_up(HELD_UP_S)
        sent.append(time.monotonic())
        sock.sendall(REQUEST % number)
    hold_up(HELD_UP_S)
    for sock in sockets:
        _receive_bodies(sock, 1)
    late = [
        arrived - sent_at
        for arrived, sent_at in zip(
            sorted(handler.arrivals), sent, strict=True
        )
    ]
    assert -ARRIVAL_ERROR_S < min(late) <= max(late) < HELD_UP_S / 2


def test_request_after_a_pause_is_not_dated_back_by_a_busy_server(
    server, connect, handler
):
    """Guards against requests that are failed before their timeout.

    The event loop has something to do all the time, so it is never idle.
    """
    sock = connect()
    gevent.sleep(0.2)
    busy = gevent.spawn(_stay_busy)
    hold_up(HELD_UP_S)
    gevent.sleep(BUSY_S)
    resumed = time.monotonic()
    sock.sendall(REQUEST % 1)
    _receive_bodies(sock, 1)
    busy.kill()
    assert handler.arrivals[-1] >= resumed


def _stay_busy():
    while True:
        gevent.sleep(0)


@pytest.mark.parametrize("held_up", [0.25, HELD_UP_S])
def test_signal_counts_from_before_the_server_was_held_up(server, held_up):
    """Guards against a plan for a stop that starts when it is handled."""
    gevent.sleep(0.3)
    paused = time.monotonic()
    hold_up(held_up)
    gevent.sleep(0)
    assert server.earliest_signal(time.monotonic()) <= paused
    gevent.sleep(0.4)
    now = time.monotonic()
    assert now - server.earliest_signal(now) < 0.25


def test_request_that_crosses_the_close_is_counted(
    server, connect, monkeypatch
):
    """Guards against a log that hides requests which nobody read."""
    idle = connect()
    gevent.sleep(0.05)
    close_idle = server._close_idle

    def close_and_send():
        close_idle()
        idle.sendall(REQUEST % 1)

    monkeypatch.setattr(server, "_close_idle", close_and_send)
    server.stop()
    assert (server.closed_idle, server.closed_unread) == (1, 1)


def test_answered_request_is_not_in_progress(server, connect):
    """Guards against a log of unfinished requests that were answered."""
    sock = connect()
    sock.sendall(REQUEST % 1)
    gevent.sleep(0.01)
    server.drain()
    assert server.requests_in_progress == 1
    assert _receive_bodies(sock, 1) == [b"/1"]
    assert server.requests_in_progress == 0
