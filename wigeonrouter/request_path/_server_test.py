"""Guards against ambiguous requests and callers that hold connections."""

import time

import pytest

from wigeonrouter.http1 import _caller_connection
from wigeonrouter.http1 import _pauses
from wigeonrouter.request_path.conftest import PathHarness
from wigeonrouter.request_path.conftest import receive_response
from wigeonrouter.request_path.conftest import render
from wigeonrouter.request_path.conftest import send
from wigeonrouter.request_path.conftest import wait_until

_HEAD = b"POST /r HTTP/1.1\r\nHost: a\r\n"


def _send_raw(path, data, method="POST"):
    with path.connect() as sock:
        sock.sendall(data)
        return receive_response(sock, method)


@pytest.mark.parametrize(
    "head, problem",
    [
        (b"Content-Length: 2000000\r\n\r\n", "body-too-large"),
        (
            b"Content-Length: 101\r\nExpect: 100-continue\r\n\r\n",
            "body-too-large",
        ),
        (b"Content-Length: 1\r\nExpect: 200-ok\r\n\r\n", "bad-request"),
        (
            b"Transfer-Encoding: chunked\r\n\r\nfffff\r\n" + b"x" * 99,
            "body-too-large",
        ),
    ],
)
def test_body_limit_is_checked_before_the_body_arrives(path, head, problem):
    path.configure(max_body_bytes=100)
    response = _send_raw(path, _HEAD + head)
    assert (response.problem, response.outcome) == (problem, "not-run")


def test_request_without_a_route_is_refused_before_its_body_arrives(path):
    path.handler.reconfigure({})
    response = _send_raw(path, _HEAD + b"Content-Length: 999999\r\n\r\n")
    assert response.problem == "no-route"


def test_small_body_over_the_limit_keeps_the_connection_open(path):
    path.configure(max_body_bytes=5)
    with path.connect() as sock:
        sock.sendall(render(body=b"123456", request_id="w"))
        assert receive_response(sock).problem == "body-too-large"
        sock.sendall(render(body=b"12345", request_id="w"))
        assert receive_response(sock).status == 200


def test_expect_continue_is_sent_if_the_body_limit_allows(path):
    with path.connect() as sock:
        sock.sendall(
            _HEAD + b"Content-Length: 2\r\nExpect: 100-continue\r\n\r\n"
        )
        assert sock.recv(100) == b"HTTP/1.1 100 Continue\r\n\r\n"
        sock.sendall(b"ab")
        assert b'"echo": "ab"' in receive_response(sock).body


@pytest.mark.parametrize(
    "target, host, status",
    [
        ("http://a/r?q=1", "a", 200),
        ("HTTP://A?q", "a", 200),
        ("/r?u=/../x", "a", 200),
        ("http://b/r", "a", 400),
        ("/r/../s", "a", 400),
        ("/r/%2e%2E/s", "a", 400),
        ("/.", "a", 400),
        ("/a\\b", "a", 400),
        ("/r#f", "a", 400),
        ("r", "a", 400),
        ("a:80", "a", 400),
        ("*", "a", 400),
        ("http://u@/r", "a", 400),
    ],
)
def test_only_unambiguous_request_targets_are_accepted(
    path, target, host, status
):
    data = f"GET {target} HTTP/1.1\r\nHost: {host}\r\n\r\n".encode()
    assert _send_raw(path, data).status == status


@pytest.mark.parametrize(
    "line",
    [
        b"X-Request-Id: a\r\nX-Request-Id: b",
        b"X-Request-Id: a\r\nX_Request_Id: b",
        b"X-Tenant: a\r\nX-Tenant: b",
        b"X_Tenant: b",
        b"X-Request-Id: " + b"a" * 201,
        b"X-Tenant: " + b"a" * 101,
        b"X-Tenant: a\nX-Service: /other",
        b"X-Request-Timeout-Ms: 0",
        b"X-Request-Timeout-Ms: -5",
        b"X-Request-Timeout-Ms: 1e3",
    ],
)
def test_ambiguous_or_invalid_control_headers_are_refused(path, line):
    response = _send_raw(
        path, _HEAD + b"Content-Length: 0\r\n" + line + b"\r\n\r\n"
    )
    assert (response.problem, response.outcome) == ("bad-request", "not-run")


def test_connection_header_cannot_remove_the_request_id(path):
    """Without the id a backend server could not detect a duplicate."""
    send(path, request_id="kept", Connection="x-request-id, x-hop", X_Hop="1")
    assert path.runs("kept") == 1


def test_traffic_kind_is_that_of_the_decoded_path(path):
    """A write with an encoded path must not be retried like a read."""
    path.set_faults(*[{"raw": " ", "close": True}] * 2)
    send(path, request_id="w", target="/s/%77")
    assert path.runs("w") == 1
    send(path, request_id="r", target="/s/r")
    assert path.runs("r") > 1


def test_pipelined_requests_are_answered_in_order(path):
    with path.connect() as sock:
        sock.sendall(
            b"".join(render(request_id=f"p{number}") for number in range(5))
        )
        data = b""
        while data.count(b'"request_id"') < 5:
            data += sock.recv(65536)
    ids = [data.index(f'"p{number}"'.encode()) for number in range(5)]
    assert ids == sorted(ids)


def test_error_response_to_head_has_no_body(path):
    """The caller would read the body as the response to its next request."""
    path.handler.reconfigure({})
    with path.connect() as sock:
        for _ in range(2):
            sock.sendall(render("HEAD"))
            response = receive_response(sock, "HEAD")
            assert (response.status, response.reusable) == (404, True)


@pytest.mark.parametrize(
    "sent, problem",
    [
        (b"", ""),
        (b"POST / HT", "request-timeout"),
        (render()[:-1], "request-timeout"),
    ],
)
def test_slow_callers_do_not_hold_connections(
    path, monkeypatch, sent, problem
):
    for name in ("REQUEST_ARRIVAL_TIMEOUT_S", "IDLE_TIMEOUT_S"):
        monkeypatch.setattr(_caller_connection, name, 0.2)
    with path.connect() as sock:
        sock.sendall(sent)
        if problem:
            response = receive_response(sock)
            assert (response.problem, response.outcome) == (problem, "not-run")
        assert sock.recv(1) == b""
    wait_until(lambda: path.server.connections == 0)


def test_idle_connections_are_closed_for_new_ones(backends):
    path = PathHarness(backends, max_connections=3)
    idle = [path.connect() for _ in range(3)]
    wait_until(lambda: path.server.connections == 3)
    for number in range(3):
        assert send(path, request_id=f"w{number}").status == 200
    assert idle[0].recv(1) == b""
    path.server.stop()


def test_busy_connections_are_not_closed_for_new_ones(backends):
    path = PathHarness(backends, max_connections=2)
    path.set_faults({"silent": True}, {"silent": True})
    busy = [path.connect() for _ in range(2)]
    for number, sock in enumerate(busy):
        sock.sendall(render(request_id=f"w{number}"))
    wait_until(lambda: path.runs("w0") + path.runs("w1") == 2)
    with path.connect() as sock:
        assert receive_response(sock).problem == "too-many-connections"
    assert path.server.requests_in_progress == 2
    for sock in busy:
        sock.close()
    path.assert_released()
    path.server.stop()


def test_draining_caller_server_finishes_requests_and_closes(path):
    path.set_faults({"delay_ms": 100}, {"delay_ms": 100})
    with path.connect() as sock:
        sock.sendall(render(request_id="w"))
        wait_until(lambda: path.server.requests_in_progress == 1)
        path.server.drain()
        response = receive_response(sock)
        assert response.status == 200
        assert response.headers[b"connection"] == b"close"
        assert sock.recv(1) == b""


def test_internal_error_has_an_unknown_outcome(path, monkeypatch):
    monkeypatch.setattr(path.handler, "_forwarder", None)
    response = send(path, request_id="w")
    assert (response.problem, response.outcome) == ("internal", "unknown")


def test_requests_read_after_a_pause_are_timed_from_its_start(
    path, monkeypatch
):
    """The caller of a request that waited in the socket may have timed out.

    The kernel does not tell when the bytes arrived.
    """
    monkeypatch.setattr(
        _caller_connection.CallerConnection,
        "time_since_bytes",
        lambda connection: None,
    )
    now = [0.0]
    pauses = _pauses.PauseDetector(clock=lambda: now[0])
    now[0] = 0.1
    pauses.tick()
    assert pauses.earliest_arrival(0.2) == 0.2
    now[0] = 7.0
    assert pauses.earliest_arrival(7.0) == 0.1
    pauses.tick()
    assert pauses.earliest_arrival(7.5) == 0.1
    for tenths in range(71, 85):
        now[0] = tenths / 10
        pauses.tick()
    assert pauses.earliest_arrival(8.5) == 8.5
    path.server._pauses = pauses
    now[0] = time.monotonic()
    pauses._last_tick = now[0] - 60
    pauses.tick()
    response = send(path, request_id="w")
    assert (response.problem, path.runs("w")) == ("deadline-passed", 0)


def test_response_that_the_caller_does_not_read_times_out(path, monkeypatch):
    monkeypatch.setattr(_caller_connection, "SEND_TIMEOUT_S", 0.2)
    raw = "HTTP/1.1 200 OK\r\nContent-Length: 8000000\r\n\r\n" + "x" * 8000000
    path.set_faults({"raw": raw}, {"raw": raw})
    with path.connect() as sock:
        sock.sendall(render())
        wait_until(lambda: path.records)
        wait_until(lambda: path.server.connections == 0)
