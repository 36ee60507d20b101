"""Guards the caller side: limits, odd requests, slow and idle callers."""

import time

import pytest

from wigeonrouter.http1 import _caller_connection
from wigeonrouter.http1 import _pauses
from wigeonrouter.request_path.conftest import PathHarness
from wigeonrouter.request_path.conftest import receive_answer
from wigeonrouter.request_path.conftest import render
from wigeonrouter.request_path.conftest import send
from wigeonrouter.request_path.conftest import wait_until

_HEAD = b"POST /r HTTP/1.1\r\nHost: a\r\n"


def _send_raw(path, data, method="POST"):
    with path.connect() as sock:
        sock.sendall(data)
        return receive_answer(sock, method)


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
def test_the_body_limit_applies_before_the_body_arrives(path, head, problem):
    path.configure(max_body_bytes=100)
    answer = _send_raw(path, _HEAD + head)
    assert (answer.problem, answer.outcome) == (problem, "not-run")


def test_a_body_for_no_service_is_refused_before_it_arrives(path):
    path.handler.reconfigure({})
    answer = _send_raw(path, _HEAD + b"Content-Length: 999999\r\n\r\n")
    assert answer.problem == "no-route"


def test_a_small_body_over_the_limit_keeps_the_connection(path):
    path.configure(max_body_bytes=5)
    with path.connect() as sock:
        sock.sendall(render(body=b"123456", request_id="w"))
        assert receive_answer(sock).problem == "body-too-large"
        sock.sendall(render(body=b"12345", request_id="w"))
        assert receive_answer(sock).status == 200


def test_expect_continue_is_answered_once_the_limit_allows(path):
    with path.connect() as sock:
        sock.sendall(
            _HEAD + b"Content-Length: 2\r\nExpect: 100-continue\r\n\r\n"
        )
        assert sock.recv(100) == b"HTTP/1.1 100 Continue\r\n\r\n"
        sock.sendall(b"ab")
        assert b'"echo": "ab"' in receive_answer(sock).body


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
def test_odd_targets(path, target, host, status):
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
def test_control_headers_have_one_meaning(path, line):
    answer = _send_raw(
        path, _HEAD + b"Content-Length: 0\r\n" + line + b"\r\n\r\n"
    )
    assert (answer.problem, answer.outcome) == ("bad-request", "not-run")


def test_connection_cannot_remove_the_request_id(path):
    """The backend server would run a repeat that it should recognise."""
    send(path, request_id="kept", Connection="x-request-id, x-hop", X_Hop="1")
    assert path.runs("kept") == 1


def test_encoded_paths_get_the_kind_of_the_decoded_path(path):
    """A write must not be retried because its path was spelled oddly."""
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


def test_a_refusal_to_head_has_no_body(path):
    """The body would be taken for the response to the next request."""
    path.handler.reconfigure({})
    with path.connect() as sock:
        for _ in range(2):
            sock.sendall(render("HEAD"))
            answer = receive_answer(sock, "HEAD")
            assert (answer.status, answer.whole) == (404, True)


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
            answer = receive_answer(sock)
            assert (answer.problem, answer.outcome) == (problem, "not-run")
        assert sock.recv(1) == b""
    wait_until(lambda: path.server.connections == 0)


def test_idle_connections_give_way_to_new_ones(backends):
    path = PathHarness(backends, max_connections=3)
    idle = [path.connect() for _ in range(3)]
    wait_until(lambda: path.server.connections == 3)
    for number in range(3):
        assert send(path, request_id=f"w{number}").status == 200
    assert idle[0].recv(1) == b""
    path.server.stop()


def test_busy_connections_are_not_given_up_for_new_ones(backends):
    path = PathHarness(backends, max_connections=2)
    path.set_faults({"silent": True}, {"silent": True})
    busy = [path.connect() for _ in range(2)]
    for number, sock in enumerate(busy):
        sock.sendall(render(request_id=f"w{number}"))
    wait_until(lambda: path.runs("w0") + path.runs("w1") == 2)
    with path.connect() as sock:
        assert receive_answer(sock).problem == "too-many-connections"
    assert path.server.requests_in_progress == 2
    for sock in busy:
        sock.close()
    path.assert_released()
    path.server.stop()


def test_a_drained_server_finishes_requests_and_closes(path):
    path.set_faults({"delay_ms": 100}, {"delay_ms": 100})
    with path.connect() as sock:
        sock.sendall(render(request_id="w"))
        wait_until(lambda: path.server.requests_in_progress == 1)
        path.server.drain()
        answer = receive_answer(sock)
        assert answer.status == 200
        assert answer.headers[b"connection"] == b"close"
        assert sock.recv(1) == b""


def test_a_failure_of_the_daemon_is_an_unknown_outcome(path, monkeypatch):
    monkeypatch.setattr(path.handler, "_forwarder", None)
    answer = send(path, request_id="w")
    assert (answer.problem, answer.outcome) == ("internal", "unknown")


def test_requests_read_after_a_pause_count_from_its_start(path):
    """The caller of a request that lay in the socket may have given up."""
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
    answer = send(path, request_id="w")
    assert (answer.problem, path.runs("w")) == ("deadline-passed", 0)


def test_an_answer_that_the_caller_does_not_read_is_given_up(
    path, monkeypatch
):
    monkeypatch.setattr(_caller_connection, "SEND_TIMEOUT_S", 0.2)
    raw = "HTTP/1.1 200 OK\r\nContent-Length: 8000000\r\n\r\n" + "x" * 8000000
    path.set_faults({"raw": raw}, {"raw": raw})
    with path.connect() as sock:
        sock.sendall(render())
        wait_until(lambda: path.records)
        wait_until(lambda: path.server.connections == 0)
