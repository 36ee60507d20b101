"""Tests of pipelined requests: their order, overlap, bounds and end."""

import dataclasses
import time

import gevent
from gevent import socket
import pytest

from wigeonrouter import core
from wigeonrouter import http1
from wigeonrouter.http1 import _caller_connection
from wigeonrouter.http1 import _pipeline

WAIT_S = 3.0
HANDLING_S = 0.05


@dataclasses.dataclass(kw_only=True)
class _Handler:
    """Responds with the target, which is /KIND-NUMBER or /KIND-NUMBER-MS.

    Attributes:
      started: dict from a target to when it was started.
      ended: targets in the order in which their requests ended.
      cancelled: targets whose callers have left.
    """

    started: dict = dataclasses.field(default_factory=dict)
    ended: list = dataclasses.field(default_factory=list)
    cancelled: list = dataclasses.field(default_factory=list)

    def body_limit(self, request):
        return 10

    def may_overlap(self, request):
        return request.target.startswith(b"/read")

    def handle(self, request, arrived):
        target = request.target.decode()
        self.started[target] = time.monotonic()
        parts = target.split("-")
        try:
            gevent.sleep(
                int(parts[2]) / 1000 if len(parts) > 2 else HANDLING_S
            )
        except http1.CallerDisconnected:
            self.cancelled.append(target)
            raise
        if parts[0] == "/read_fail":
            raise ValueError("failing handler")
        self.ended.append(target)
        return http1.HttpResponse(status=200, headers=(), body=request.target)


@pytest.fixture
def handler():
    """Return the handler of the server."""
    return _Handler()


@pytest.fixture
def budget():
    """Return the buffer budget of the server."""
    return http1.BufferBudget(limit=1 << 20)


@pytest.fixture
def server(handler, budget):
    """Run a CallerServer whose reads may overlap."""
    server = http1.CallerServer(
        address=core.Address(host="127.0.0.1", port=0),
        handler=handler,
        may_overlap=handler.may_overlap,
        buffer_budget=budget,
    )
    server.start()
    yield server
    server.kill()


@pytest.fixture
def connection(server):
    """Return a connection to the server."""
    sock = socket.create_connection(("127.0.0.1", server.port))
    sock.settimeout(WAIT_S)
    yield sock
    sock.close()


def _render(*targets, close=""):
    """Return the bytes of pipelined requests; `close` is the one to close."""
    return b"".join(
        b"GET %s HTTP/1.1\r\nHost: a\r\n%s\r\n"
        % (
            target.encode(),
            b"Connection: close\r\n" if target == close else b"",
        )
        for target in targets
    )


def _receive(sock, count):
    """Return the bodies of the responses, or the statuses of failures."""
    reader = http1.ResponseReader(
        receive=lambda: sock.recv(65536), max_bytes=1 << 16
    )
    responses = [reader.read(b"GET") for _ in range(count)]
    return [
        response.body.decode() if response.status == 200 else response.status
        for response in responses
    ]


def _wait_until(condition):
    with gevent.Timeout(WAIT_S):
        while not condition():
            gevent.sleep(0.002)


@pytest.mark.parametrize("gap", [0.0, 0.005])
def test_responses_keep_the_order_of_overlapping_requests(
    connection, handler, gap
):
    """Guards against responses that callers take for those of others."""
    targets = ["/read-1-120", "/read-2-10", "/read-3-60", "/read-4-1"]
    for target in targets:
        connection.sendall(_render(target))
        gevent.sleep(gap)
    assert _receive(connection, 4) == targets
    assert handler.ended != targets


@pytest.mark.parametrize("gap", [0.0, 0.005])
def test_other_requests_run_alone(connection, handler, gap):
    """Guards against a write that overtakes the reads that it depends on."""
    targets = ["/read-1", "/read-2-80", "/write-3", "/write-4", "/read-5"]
    for target in targets:
        connection.sendall(_render(target))
        gevent.sleep(gap)
    assert _receive(connection, 5) == targets
    assert handler.ended == targets
    started = handler.started
    assert started["/read-2-80"] - started["/read-1"] < HANDLING_S
    for before, after in zip(targets[1:], targets[2:], strict=False):
        assert started[after] - started[before] >= HANDLING_S * 0.9


@pytest.mark.parametrize("count", [3, 2 * _pipeline.MAX_UNANSWERED])
def test_requests_of_a_caller_that_leaves_are_cancelled(
    connection, server, handler, budget, count
):
    """Guards against requests that run although nobody reads a response.

    The close of a caller with more requests than are read ahead is noticed
    with the first response.
    """
    targets = [f"/read-{number}-400" for number in range(count)]
    connection.sendall(_render(*targets))
    expected = min(count, _pipeline.MAX_UNANSWERED)
    _wait_until(lambda: len(handler.started) == expected)
    connection.close()
    _wait_until(lambda: server.connections == 0 and budget.used == 0)
    assert len(handler.started) == len(handler.cancelled) + len(handler.ended)
    if count == expected:
        assert sorted(handler.cancelled) == targets


def test_interim_response_comes_behind_earlier_responses(connection):
    """Guards against 100 Continue in front of another request's response."""
    connection.sendall(
        _render("/read-1", "/read-2-90")
        + b"PUT /read-3 HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n"
        b"Expect: 100-continue\r\n\r\n"
    )
    data = b""
    while b"100 Continue\r\n\r\n" not in data:
        data += connection.recv(65536)
    assert data.endswith(b"/read-2-90HTTP/1.1 100 Continue\r\n\r\n")
    connection.sendall(b"x")
    assert _receive(connection, 1) == ["/read-3"]


def test_unanswered_requests_are_bounded(connection, server, handler):
    """Guards against callers that take all memory with short requests."""
    targets = [f"/read-{n}-100" for n in range(3 * _pipeline.MAX_UNANSWERED)]
    connection.sendall(_render(*targets))
    gevent.sleep(0.05)
    assert len(handler.started) == _pipeline.MAX_UNANSWERED
    assert server.requests_in_progress == _pipeline.MAX_UNANSWERED
    assert _receive(connection, len(targets)) == targets


def test_nothing_behind_a_closing_request_is_run(connection, handler):
    """Guards against requests that run although their caller repeats them."""
    targets = ["/read-1", "/read-2", "/read-3"]
    connection.sendall(_render(*targets, close="/read-2"))
    assert _receive(connection, 2) == targets[:2]
    assert connection.recv(1) == b""
    assert list(handler.started) == targets[:2]


def test_failure_of_a_request_ends_those_behind_it(connection, handler):
    """Guards against a response behind one that closes the connection."""
    connection.sendall(_render("/read-1", "/read_fail-2-10", "/read-3-400"))
    assert _receive(connection, 2) == ["/read-1", 500]
    assert connection.recv(1) == b""
    _wait_until(lambda: handler.cancelled)
    assert handler.cancelled == ["/read-3-400"]


def test_malformed_request_is_rejected_behind_the_responses(connection):
    """Guards against an error that takes the place of earlier responses."""
    connection.sendall(_render("/read-1", "/read-2") + b"GET / \r\n\r\n")
    assert _receive(connection, 3) == ["/read-1", "/read-2", 400]
    assert connection.recv(1) == b""


def test_request_that_does_not_arrive_cancels_none_before_it(
    connection, server, monkeypatch
):
    """Guards against taking the end of a receive timeout for a close."""
    monkeypatch.setattr(_caller_connection, "REQUEST_ARRIVAL_TIMEOUT_S", 0.05)
    connection.sendall(_render("/read-1", "/read-2-900") + b"GET /re")
    assert _receive(connection, 3) == ["/read-1", "/read-2-900", 408]
    assert connection.recv(1) == b""


def test_draining_server_closes_behind_the_last_request(
    connection, server, handler
):
    """Guards against a close on requests that have been read ahead."""
    connection.sendall(_render("/read-1", "/read-2", "/read-3-90"))
    _wait_until(lambda: len(handler.started) == 3)
    stopping = gevent.spawn(server.stop)
    assert _receive(connection, 3) == ["/read-1", "/read-2", "/read-3-90"]
    assert connection.recv(1) == b""
    connection.close()
    stopping.get(timeout=WAIT_S)


def test_idle_connection_of_a_pipelining_caller_is_closed(
    connection, server, handler
):
    """Guards against a stop that waits for a task which reads ahead."""
    connection.sendall(_render("/read-1", "/read-2"))
    assert _receive(connection, 2) == ["/read-1", "/read-2"]
    gevent.sleep(0.01)
    with gevent.Timeout(WAIT_S):
        server.stop()
    assert server.closed_idle == 1
