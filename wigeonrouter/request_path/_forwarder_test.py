"""Guards at-most-once, whole answers and leaks under backend faults."""

import time

import gevent
from gevent import socket
import pytest

from wigeonrouter import core
from wigeonrouter.http1 import _caller_connection
from wigeonrouter.http1 import _pool
from wigeonrouter.request_path.conftest import receive_answer
from wigeonrouter.request_path.conftest import render
from wigeonrouter.request_path.conftest import send
from wigeonrouter.request_path.conftest import wait_until

_OK = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n"
# Answers that are not the whole answer to the request.
_BAD_ANSWERS = {
    "truncated": {"raw": _OK + "\r\nab", "close": True},
    "no answer": {"raw": " ", "close": True},
    "garbled": {"raw": "\x00\x01\r\n\r\n", "close": True},
    "too large": {"raw": "HTTP/1.1 200 OK\r\nContent-Length: 9999\r\n\r\n"},
    "large chunks": {
        "raw": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nffff\r\n"
    },
    "cut chunk": {
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


@pytest.mark.parametrize("fault", _BAD_ANSWERS.values(), ids=_BAD_ANSWERS)
def test_bad_answers_leave_writes_unknown_and_run_once(path, fault):
    path.configure(max_response_bytes=2000)
    path.set_faults(fault, fault)
    answer = send(path, request_id="w")
    assert (answer.outcome, path.runs("w")) == ("unknown", 1)
    assert send(path, request_id="w").problem == "duplicate"
    assert path.runs("w") == 1
    path.assert_released()


@pytest.mark.parametrize("fault", _BAD_ANSWERS.values(), ids=_BAD_ANSWERS)
def test_bad_answers_are_retried_for_reads(path, fault):
    path.configure(max_response_bytes=2000)
    path.set_faults(fault, {})
    for number in range(3):
        assert send(path, "GET", request_id=f"r{number}").status == 200
    path.assert_released()


@pytest.mark.parametrize("fault", [{"silent": True}, {"delay_ms": 5000}])
def test_late_answers_never_reach_a_later_request(path, fault):
    path.set_faults(fault, fault)
    answer = send(path, request_id="late", X_Request_Timeout_Ms=50)
    assert answer.problem == "answer-late"
    path.set_faults({}, {})
    for number in range(6):
        answer = send(path, request_id=f"n{number}")
        assert f'"request_id": "n{number}"'.encode() in answer.body
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
def test_answers_without_body_and_interim_ones(
    path, raw, method, status, body
):
    path.set_faults({"raw": raw}, {"raw": raw})
    with path.connect() as sock:
        for _ in range(3):
            sock.sendall(render(method))
            answer = receive_answer(sock, method)
            assert (answer.status, answer.body) == (status, body)


def test_a_backend_server_cannot_speak_for_the_daemon(path):
    raw = {"raw": _OK + "X-Outcome: not-run\r\nX-Not-Run: 1\r\n\r\nabcd"}
    path.set_faults(raw, raw)
    answer = send(path, request_id="w")
    assert (answer.status, answer.outcome) == (200, "ok")


def test_refusals_with_proof_are_retried_for_writes(path):
    path.set_faults({"refuse": True}, {})
    for number in range(3):
        assert send(path, request_id=f"w{number}").status == 200
        assert path.runs(f"w{number}") == 1
    path.set_faults({"refuse": True}, {"refuse": True})
    assert send(path, request_id="again").problem == "refused-by-server"
    path.set_faults({}, {})
    assert send(path, request_id="again").status == 200
    path.assert_released()


def test_not_run_is_not_claimed_after_a_doubtful_attempt(path):
    path.set_faults({"raw": " ", "close": True}, {"refuse": True})
    for number in range(4):
        answer = send(path, "GET", request_id=f"r{number}")
        ran = path.runs(f"r{number}") > 0
        assert answer.outcome == ("unknown" if ran else "not-run")


def test_unreachable_servers_are_proof_of_not_run(path):
    for backend in path.backends:
        backend.stop()
    assert send(path, request_id="w").problem == "connect-failed"
    path.assert_released()


def test_a_pooled_connection_that_was_closed_is_not_used(path):
    path.set_faults({"close": True}, {"close": True})
    for number in range(8):
        assert send(path, request_id=f"w{number}").status == 200
        assert path.runs(f"w{number}") == 1


def test_a_send_that_failed_at_once_uses_another_connection(path, monkeypatch):
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


def test_a_caller_that_leaves_after_a_failed_send_frees_its_id(
    path, monkeypatch
):
    """No byte was sent, so that a repeat may run."""
    pool = path.handler._forwarder._sender._pool
    checkout, count = pool.checkout, []

    def leave_at_the_second(**arguments):
        count.append(1)
        if len(count) == 2:
            raise _caller_connection.CallerDisconnected
        return checkout(**arguments)

    def fail(self, data):
        raise _pool.RequestNotSent("closed")

    with monkeypatch.context() as patch:
        patch.setattr(pool, "checkout", leave_at_the_second)
        patch.setattr(_pool.Connection, "send", fail)
        patch.setattr(_pool.Connection, "fresh", False)
        with path.connect() as sock:
            sock.sendall(render(request_id="w"))
            assert sock.recv(1) == b""
    assert send(path, request_id="w").status == 200
    path.assert_released()


def test_a_caller_that_leaves_cancels_its_running_request(path):
    path.set_faults({"silent": True}, {"silent": True})
    sock = path.connect()
    sock.sendall(render(request_id="gone"))
    wait_until(lambda: path.runs("gone") == 1)
    sock.close()
    path.assert_released()
    path.set_faults({}, {})
    assert send(path, request_id="gone").problem == "duplicate"
    assert path.records[0].problem == "caller-gone"


def test_a_caller_that_leaves_the_queue_frees_its_id(path):
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


@pytest.mark.parametrize("waits_in", ["queue", "checkout"])
def test_nothing_is_sent_once_the_deadline_passed_during_a_wait(
    path, monkeypatch, waits_in
):
    """The daemon was frozen while the request waited."""
    send(path, request_id="first")
    sender, frozen = path.handler._forwarder._sender, [0.0]
    monkeypatch.setattr(sender, "_clock", lambda: time.monotonic() + frozen[0])
    owner, name = {
        "queue": (path.handler.dispatchers["/s"], "acquire"),
        "checkout": (sender._pool, "checkout"),
    }[waits_in]
    wait = getattr(owner, name)

    def freeze(*arguments, **named):
        result = wait(*arguments, **named)
        frozen[0] = 1000.0
        return result

    monkeypatch.setattr(owner, name, freeze)
    answer = send(path, request_id="w")
    assert (answer.problem, path.runs("w")) == ("deadline-passed", 0)
    path.assert_released()


def test_the_connection_limit_holds_and_follows_the_settings(path):
    """A task that waits for a connection must neither leak nor hang."""
    pool = _pool.ConnectionPool()
    address = core.Address(host="127.0.0.1", port=path.backends[0].port)
    deadline = pool._clock() + 10
    held = [
        pool.checkout(address=address, limit=2, deadline=deadline)
        for _ in range(2)
    ]
    with pytest.raises(_pool.ConnectFailed):
        pool.checkout(address=address, limit=2, deadline=pool._clock() + 0.01)
    waiting = gevent.spawn(
        pool.checkout, address=address, limit=2, deadline=deadline
    )
    cancelled = gevent.spawn(
        pool.checkout, address=address, limit=2, deadline=deadline
    )
    gevent.sleep(0)
    cancelled.kill()
    pool.checkin(address, held[0])
    assert waiting.get(timeout=5) is held[0]
    handed = gevent.spawn(
        pool.checkout, address=address, limit=2, deadline=deadline
    )
    gevent.sleep(0)
    # The task is cancelled between the hand-over and its wake-up.
    gevent.get_hub().loop.run_callback(handed.throw, gevent.GreenletExit)
    pool.discard(address, held[1])
    handed.join(timeout=5)
    pool.discard(address, held[0])
    assert pool.in_use == 0


def test_a_spent_retry_budget_forbids_retries(path):
    """Without it retries multiply at each level of the call tree."""
    path.set_faults({"refuse": True}, {})
    answers = [
        send(path, request_id=f"w{number}", X_Retry_Budget="0")
        for number in range(4)
    ]
    refused = [answer for answer in answers if answer.status == 503]
    assert refused
    assert {a.headers[b"x-retry-budget"] for a in refused} == {b"0"}
    path.assert_released()
