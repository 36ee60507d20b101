"""Guards against writes that run twice, corrupt responses and leaks.

The backend servers are stand-ins with faults.
"""

import re
import time

import gevent
from gevent import server as gevent_server
from gevent import socket
import pytest

from wigeonrouter import core
from wigeonrouter.http1 import _caller_connection
from wigeonrouter.http1 import _pool
from wigeonrouter.request_path.conftest import PathHarness
from wigeonrouter.request_path.conftest import receive_response
from wigeonrouter.request_path.conftest import render
from wigeonrouter.request_path.conftest import send
from wigeonrouter.request_path.conftest import wait_until

_OK = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n"
# Responses that are not one complete response to the request.
_INVALID_RESPONSES = {
    "truncated": {"raw": _OK + "\r\nab", "close": True},
    "head cut short": {"raw": _OK, "close": True},
    "head cut in a line": {"raw": _OK[:-5], "close": True},
    "no response": {"raw": " ", "close": True},
    "garbled": {"raw": "\x00\x01\r\n\r\n", "close": True},
    "too large": {"raw": "HTTP/1.1 200 OK\r\nContent-Length: 9999\r\n\r\n"},
    "large chunks": {
        "raw": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nffff\r\n"
    },
    "truncated chunk": {
        "raw": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nab",
        "close": True,
    },
    "no length": {"raw": "HTTP/1.1 200 OK\r\n\r\nab", "close": True},
    "two lengths": {"raw": _OK + "Content-Length: 3\r\n\r\nabcd"},
    "other id": {"raw": _OK + "X-Request-Id: other\r\n\r\nabcd"},
    "bare line feed": {"raw": _OK + "X: a\nX-Outcome: ok\r\n\r\nabcd"},
    "folded": {"raw": _OK + "X: a\r\n b\r\n\r\nabcd"},
    "switching": {"raw": f"HTTP/1.1 101 Switching\r\n\r\n{_OK}\r\nabcd"},
    "upgrade": {"raw": "HTTP/1.1 101 Switching\r\nUpgrade: x\r\n\r\n"},
    "endless interim": {"raw": "HTTP/1.1 102 Processing\r\n\r\n" * 50},
}


@pytest.mark.parametrize(
    "fault", _INVALID_RESPONSES.values(), ids=_INVALID_RESPONSES
)
def test_invalid_responses_make_writes_unknown_and_are_not_retried(
    path, fault
):
    path.configure(max_response_bytes=2000)
    path.set_faults(fault, fault)
    response = send(path, request_id="w")
    assert (response.outcome, path.runs("w")) == ("unknown", 1)
    assert send(path, request_id="w").problem == "duplicate"
    assert path.runs("w") == 1
    path.assert_released()


@pytest.mark.parametrize(
    "fault", _INVALID_RESPONSES.values(), ids=_INVALID_RESPONSES
)
def test_invalid_responses_are_retried_for_reads(path, fault):
    path.configure(max_response_bytes=2000)
    path.set_faults(fault, {})
    for number in range(3):
        assert send(path, "GET", request_id=f"r{number}").status == 200
    path.assert_released()


@pytest.mark.parametrize("fault", [{"silent": True}, {"delay_ms": 5000}])
def test_late_responses_never_reach_a_later_request(path, fault):
    path.set_faults(fault, fault)
    response = send(path, request_id="late", X_Request_Timeout_Ms=50)
    assert response.problem == "answer-late"
    path.set_faults({}, {})
    for number in range(6):
        response = send(path, request_id=f"n{number}")
        assert f'"request_id": "n{number}"'.encode() in response.body
    path.assert_released()


@pytest.mark.parametrize("surplus", ["late", "HTTP/1.1 200 OK\r\n\r\n"])
def test_surplus_bytes_never_reach_a_later_request(path, surplus):
    raw = {"raw": _OK + "\r\nabcd" + surplus}
    path.set_faults(raw, raw)
    for number in range(4):
        assert send(path, request_id=f"s{number}").body == b"abcd"
    path.set_faults({}, {})
    assert b'"n"' in send(path, request_id="n").body


@pytest.mark.parametrize(
    "raw, method, status, body",
    [
        ("HTTP/1.1 204 No Content\r\n\r\n", "POST", 204, b""),
        ("HTTP/1.1 304 Not Modified\r\nETag: a\r\n\r\n", "GET", 304, b""),
        ("HTTP/1.1 103 Hints\r\n\r\n" + _OK + "\r\nabcd", "GET", 200, b"abcd"),
        (_OK + "\r\n", "HEAD", 200, b""),
        (_OK + "Connection: close\r\n\r\nabcd", "GET", 200, b"abcd"),
    ],
)
def test_interim_and_bodiless_responses_are_delimited_correctly(
    path, raw, method, status, body
):
    path.set_faults({"raw": raw}, {"raw": raw})
    with path.connect() as sock:
        for _ in range(3):
            sock.sendall(render(method))
            response = receive_response(sock, method)
            assert (response.status, response.body) == (status, body)


def test_outcome_headers_of_a_backend_server_are_dropped(path):
    raw = {"raw": _OK + "X-Outcome: not-run\r\nX-Not-Run: 1\r\n\r\nabcd"}
    path.set_faults(raw, raw)
    response = send(path, request_id="w")
    assert (response.status, response.outcome) == (200, "ok")


def test_not_run_refusals_are_retried_for_writes(path):
    path.set_faults({"refuse": True}, {})
    for number in range(3):
        assert send(path, request_id=f"w{number}").status == 200
        assert path.runs(f"w{number}") == 1
    path.set_faults({"refuse": True}, {"refuse": True})
    assert send(path, request_id="again").problem == "refused-by-server"
    path.set_faults({}, {})
    assert send(path, request_id="again").status == 200
    path.assert_released()


def test_outcome_is_unknown_after_an_attempt_in_doubt(path):
    path.set_faults({"raw": " ", "close": True}, {"refuse": True})
    for number in range(4):
        response = send(path, "GET", request_id=f"r{number}")
        ran = path.runs(f"r{number}") > 0
        assert response.outcome == ("unknown" if ran else "not-run")


def test_unreachable_servers_yield_connect_failed(path):
    for backend in path.backends:
        backend.stop()
    assert send(path, request_id="w").problem == "connect-failed"
    path.assert_released()


def test_closed_pooled_connection_is_not_used(path):
    path.set_faults({"close": True}, {"close": True})
    for number in range(8):
        assert send(path, request_id=f"w{number}").status == 200
        assert path.runs(f"w{number}") == 1


def test_failed_first_send_uses_another_connection(path, monkeypatch):
    """The server closes between the check of the connection and the send."""
    for number in range(4):
        send(path, request_id=f"w{number}")
    monkeypatch.setattr(
        _pool.Connection,
        "is_usable",
        lambda self, now, max_idle: not self.shut(),
    )

    def shut(self):
        self._sock.shutdown(socket.SHUT_RDWR)
        return False

    monkeypatch.setattr(_pool.Connection, "shut", shut, raising=False)
    assert send(path, request_id="next").status == 200
    assert path.runs("next") == 1
    path.assert_released()


def test_caller_disconnect_after_a_failed_send_releases_the_request_id(
    path, monkeypatch
):
    """No byte was sent, so a request with the same id may run."""
    pool = path.handler._forwarder._sender._pool
    checkout, checkouts = pool.checkout, []

    def disconnect_at_second_checkout(**arguments):
        checkouts.append(1)
        if len(checkouts) == 2:
            raise _caller_connection.CallerDisconnected
        return checkout(**arguments)

    def fail(self, data):
        raise _pool.RequestNotSent("closed")

    with monkeypatch.context() as patch:
        patch.setattr(pool, "checkout", disconnect_at_second_checkout)
        patch.setattr(_pool.Connection, "send", fail)
        patch.setattr(_pool.Connection, "fresh", False)
        with path.connect() as sock:
            sock.sendall(render(request_id="w"))
            assert sock.recv(1) == b""
    assert send(path, request_id="w").status == 200
    path.assert_released()


def test_caller_disconnect_cancels_its_request(path):
    path.set_faults({"silent": True}, {"silent": True})
    sock = path.connect()
    sock.sendall(render(request_id="gone"))
    wait_until(lambda: path.runs("gone") == 1)
    sock.close()
    path.assert_released()
    path.set_faults({}, {})
    assert send(path, request_id="gone").problem == "duplicate"
    assert path.records[0].problem == "caller-gone"


def test_caller_disconnect_in_the_queue_releases_the_request_id(path):
    path.set_faults({"silent": True}, {"silent": True})
    running = [path.connect() for _ in range(4)]
    for number, sock in enumerate(running):
        sock.sendall(render(request_id=f"running{number}"))
    queued = path.connect()
    queued.sendall(render(request_id="queued"))
    dispatchers = path.handler.dispatchers
    wait_until(lambda: dispatchers and dispatchers["/s"].queue_length == 1)
    queued.close()
    wait_until(lambda: dispatchers["/s"].queue_length == 0)
    for sock in running:
        sock.close()
    path.assert_released()
    path.set_faults({}, {})
    assert send(path, request_id="queued").status == 200


@pytest.mark.parametrize("waiting_for", ["queue", "checkout"])
def test_nothing_is_sent_if_the_deadline_passes_during_a_wait(
    path, monkeypatch, waiting_for
):
    """The process is paused while the request waits."""
    send(path, request_id="first")
    sender, clock_offset = path.handler._forwarder._sender, [0.0]
    monkeypatch.setattr(
        sender, "_clock", lambda: time.monotonic() + clock_offset[0]
    )
    owner, name = {
        "queue": (path.handler.dispatchers["/s"], "acquire"),
        "checkout": (sender._pool, "checkout"),
    }[waiting_for]
    wait = getattr(owner, name)

    def wait_and_pass_deadline(*arguments, **keywords):
        result = wait(*arguments, **keywords)
        clock_offset[0] = 1000.0
        return result

    monkeypatch.setattr(owner, name, wait_and_pass_deadline)
    response = send(path, request_id="w")
    assert (response.problem, path.runs("w")) == ("deadline-passed", 0)
    path.assert_released()


def test_connection_limit_holds_with_cancelled_waiters(path):
    """A cancelled waiter neither keeps a permit nor blocks other waiters."""
    pool = _pool.ConnectionPool()
    address = core.Address(host="127.0.0.1", port=path.backends[0].port)
    deadline = pool._clock() + 10
    held = [
        pool.checkout(address=address, limit=2, deadline=deadline)
        for _ in range(2)
    ]
    with pytest.raises(_pool.ConnectFailed):
        pool.checkout(address=address, limit=2, deadline=pool._clock() + 0.01)
    waiter = gevent.spawn(
        pool.checkout, address=address, limit=2, deadline=deadline
    )
    cancelled_waiter = gevent.spawn(
        pool.checkout, address=address, limit=2, deadline=deadline
    )
    gevent.sleep(0)
    cancelled_waiter.kill()
    pool.checkin(address, held[0])
    assert waiter.get(timeout=5) is held[0]
    cancelled_after_grant = gevent.spawn(
        pool.checkout, address=address, limit=2, deadline=deadline
    )
    gevent.sleep(0)
    # The task is cancelled after it was given the permit and before it runs.
    gevent.get_hub().loop.run_callback(
        cancelled_after_grant.throw, gevent.GreenletExit
    )
    pool.discard(address, held[1])
    cancelled_after_grant.join(timeout=5)
    pool.discard(address, held[0])
    assert pool.in_use == 0


def test_exhausted_retry_budget_prevents_retries(path):
    """Otherwise retries multiply at each level of the call tree."""
    path.set_faults({"refuse": True}, {})
    responses = [
        send(path, request_id=f"w{number}", X_Retry_Budget="0")
        for number in range(4)
    ]
    refused = [response for response in responses if response.status == 503]
    assert refused
    assert {a.headers[b"x-retry-budget"] for a in refused} == {b"0"}
    path.assert_released()


class RepeatingServer:
    """Refuses the first request on each connection.

    Before the response to a later one it writes that refusal once more.
    """

    _REFUSAL = (
        b"HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
    )

    def __init__(self):
        self.execution_counts = {}
        self._server = gevent_server.StreamServer(
            ("127.0.0.1", 0), self._serve
        )
        self._server.start()

    @property
    def port(self):
        return self._server.server_port

    def stop(self):
        self._server.stop(timeout=0.1)

    def _serve(self, sock, _):
        sock.recv(65536)
        sock.sendall(self._REFUSAL)
        while data := sock.recv(65536):
            request_id = re.search(rb"X-Request-Id: (\S+)", data, re.I)[1]
            self.execution_counts[request_id.decode()] = 1
            sock.sendall(self._REFUSAL)
            gevent.sleep(0.05)
            sock.sendall(f"{_OK}\r\nabcd".encode())


@pytest.fixture
def repeating_path():
    """A PathHarness with two RepeatingServers."""
    servers = [RepeatingServer(), RepeatingServer()]
    harness = PathHarness(servers)
    yield harness
    harness.server.stop()
    for server in servers:
        server.stop()


def test_refusal_written_again_is_not_that_of_the_next_request(
    repeating_path,
):
    """Guards against "not-run" for a request that two servers run."""
    for number in range(4):
        response = send(repeating_path, request_id=f"w{number}")
        assert response.problem == "refused-by-server"
        assert repeating_path.runs(f"w{number}") == 0
