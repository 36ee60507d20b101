"""Tests of responses that arrive late on a connection that is used again."""

import time

import gevent
import pytest

from wigeonrouter import core
from wigeonrouter import http1
from wigeonrouter import placement
from wigeonrouter import topology
from wigeonrouter.node import _prober
from wigeonrouter.node import _sender
from wigeonrouter.node import _stray_responses
from wigeonrouter.platform import _http

WAIT_S = 5.0


@pytest.fixture
def registration_of():
    """Return a function that makes the Registration of a server address."""

    def make(address):
        return topology.Registration(
            instance="server-1",
            service="alpha",
            address=address,
            place=core.Place(region="r1", failure_domain="za"),
            slots=2,
            state=topology.RegistrationState.READY,
        )

    return make


class _Events:
    """Event log that keeps (name, fields) of its events."""

    def __init__(self):
        self.written = []

    def event(self, name, /, **fields):
        self.written.append((name, fields))


@pytest.fixture
def events():
    """Return the event log."""
    return _Events()


@pytest.fixture
def probe(registration_of, scripted_server, events):
    """Return a function that probes a scripted server.

    It returns the ProbeResult, and whether the connection is kept.
    """

    def run(*segments):
        pool = http1.ConnectionPool()
        prober = _prober.Prober(
            pool=pool, codec=_http.HttpCodec(), events=events
        )
        registration = registration_of(scripted_server([segments]))
        results = []
        prober.probe(
            [(registration, "/health")],
            timeout=WAIT_S,
            deliver=lambda _, result: results.append(result),
        )
        gevent.sleep(0)
        return results[0], pool.idle > 0

    return run


COPY = (
    b"HTTP/1.1 200 OK\r\nRequest-Id: earlier\r\nServer-Load: 0,0,2,100\r\n"
    b"Content-Length: 2\r\n\r\nhi"
)
REJECTION = (
    b"HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nServer-Load: 2,3,2,100\r\n"
    b"Content-Length: 0\r\n\r\n"
)


def test_response_to_a_probe_is_used_and_the_connection_kept(probe):
    """Guards against probes that need a new connection each."""
    result, kept = probe(REJECTION)
    assert not result.healthy and result.metadata.load.queued == 3
    assert kept


@pytest.mark.parametrize(
    "segments", [(COPY + REJECTION,), (COPY, REJECTION)], ids=["one", "two"]
)
def test_copy_of_an_earlier_response_is_no_health(probe, segments):
    """Guards against a response that arrives twice, the second time late.

    The copy was taken as the health of the server, and the connection went
    back to the pool with the rejection of the probe still to come. A request
    that must not run twice then took that rejection for its own.
    """
    result, kept = probe(*segments)
    assert not result.healthy and result.metadata.load.queued == 3
    assert not kept


@pytest.mark.parametrize(
    ("response", "count"), [(COPY + REJECTION, 1), (COPY * 5, 5)]
)
def test_probe_logs_the_responses_that_it_skips(
    probe, events, response, count
):
    """Guards against copies that nobody sees, since no request is concerned.

    Also if no response to the probe follows. A probe has one line at most.
    """
    probe(response)
    ((name, fields),) = events.written
    assert name == "probe-stray-responses"
    assert fields["instance"] == "server-1"
    assert fields["address"].startswith("127.0.0.1:")
    assert fields["count"] == count
    assert fields["response_ids"] == ["earlier"] * count


def test_probe_that_skips_nothing_logs_nothing(probe, events):
    """Guards against a line for each health check."""
    probe(REJECTION)
    assert not events.written


def _response(request_id):
    return (
        b"HTTP/1.1 200 OK\r\nRequest-Id: %b\r\nContent-Length: %d\r\n\r\n%b"
        % (request_id, len(request_id), request_id)
    )


@pytest.fixture
def make_send(registration_of, scripted_server):
    """Return a function that makes a function which sends one request.

    Args:
      segments_by_request: for each request on a connection, the segments that
        the server sends.
    """

    def make(*segments_by_request):
        registration = registration_of(scripted_server(segments_by_request))
        sender = _sender.Sender(
            pool=http1.ConnectionPool(), codec=_http.HttpCodec()
        )

        def send(request_id, timeout=WAIT_S):
            request = http1.HttpRequest(
                method=b"POST",
                target=b"/",
                headers=((b"request-id", request_id),),
                body=b"",
                keep_alive=True,
                reservation=http1.BufferBudget(limit=1 << 20).reserve(),
            )
            return sender.send(
                request=request,
                request_id=request_id.decode(),
                registration=registration,
                idempotent=False,
                response_deadline=time.monotonic() + timeout,
            )

        return send

    return make


def test_rejection_without_id_on_a_new_connection_is_believed(make_send):
    """Guards against giving up a request that may be sent elsewhere."""
    attempt = make_send([REJECTION])(b"one")
    assert attempt.outcome is placement.AttemptOutcome.REJECTED
    assert not attempt.may_have_run


def test_connection_is_not_kept_after_a_response_without_id(make_send):
    """Guards against a health check that reads the copy of a refusal."""
    send = make_send([REJECTION], [REJECTION])
    assert send(b"one").connection_requests == 1
    assert send(b"two").connection_requests == 1


def test_connection_is_not_kept_after_responses_of_others(make_send):
    """Guards against a connection with more responses outstanding."""
    send = make_send([_response(b"one")], [_response(b"one"), _response(b"2")])
    assert send(b"one").connection_requests == 1
    assert send(b"2").connection_requests == 2
    assert send(b"one").connection_requests == 1


def test_late_rejection_of_a_probe_is_not_that_of_a_request(make_send):
    """Guards against running a request twice.

    The connection was used before, so a rejection without an id may belong to
    something sent earlier, while the server runs this request.
    """
    send = make_send([_response(b"one")], [REJECTION, _response(b"two")])
    assert send(b"one").response.body == b"one"
    attempt = send(b"two")
    assert attempt.may_have_run
    assert attempt.response.body == b"two"


@pytest.mark.parametrize("separate", [False, True])
def test_second_copy_of_a_response_is_not_given_to_the_next_caller(
    make_send, separate
):
    """Guards against a response to another request.

    The server sends its response again where that to the next request is due.
    """
    copy, own = _response(b"one"), _response(b"two")
    segments = [copy, own] if separate else [copy + own]
    send = make_send([_response(b"one")], segments)
    assert send(b"one").response.body == b"one"
    assert send(b"two").response.body == b"two"


def test_copy_behind_an_interim_response_is_skipped(make_send):
    """Guards against an interim response that hides a copy behind it."""
    interim = b"HTTP/1.1 103 Early Hints\r\n\r\n"
    send = make_send(
        [_response(b"one")], [interim + _response(b"one"), _response(b"two")]
    )
    send(b"one")
    assert send(b"two").response.body == b"two"


def test_connection_with_a_copy_waiting_is_not_used(make_send):
    """Guards against a copy that arrives while the connection is idle."""
    send = make_send([_response(b"one") + _response(b"one")])
    assert send(b"one").response.body == b"one"
    assert send(b"one").response.body == b"one"


EARLIER_REFUSALS = {
    "other id": REJECTION.replace(b"\r\n", b"\r\nRequest-Id: one\r\n", 1),
    "no id": REJECTION,
    "misdirected": b"HTTP/1.1 421 Misdirected Request\r\n"
    b"Content-Length: 0\r\n\r\n",
}


@pytest.mark.parametrize("refusal", EARLIER_REFUSALS.values())
@pytest.mark.parametrize("late", [False, True])
def test_refusal_written_again_is_not_that_of_the_next_request(
    make_send, refusal, late
):
    """Guards against "has not run" for a request that a server runs."""
    own = _response(b"two")
    send = make_send(
        [EARLIER_REFUSALS["other id"]], [refusal, own] if late else [own]
    )
    assert not send(b"one").may_have_run
    attempt = send(b"two")
    assert attempt.outcome is placement.AttemptOutcome.SUCCEEDED
    assert attempt.may_have_run and attempt.response.body == b"two"


@pytest.mark.parametrize("refusal", EARLIER_REFUSALS.values())
def test_refusal_written_again_while_a_request_runs_is_no_answer(
    make_send, refusal
):
    """Guards against running a request twice.

    The server closes the connection instead of responding to the second one.
    """
    send = make_send([EARLIER_REFUSALS["other id"]], [refusal])
    assert not send(b"one").may_have_run
    attempt = send(b"two", timeout=0.3)
    assert attempt.outcome is placement.AttemptOutcome.RESPONSE_LOST
    assert attempt.may_have_run and attempt.response is None


@pytest.mark.parametrize("refusal", EARLIER_REFUSALS.values())
def test_refusal_written_again_is_not_that_of_a_request_without_id(
    make_send, refusal
):
    """Guards against a request that no id tells from earlier ones."""
    send = make_send([_response(b"one")], [refusal])
    assert send(b"one").may_have_run
    assert send(b"", timeout=0.3).may_have_run


def test_attempt_says_what_its_connection_carried(make_send):
    """Guards against a log that cannot tell a copy from an answer."""
    send = make_send([_response(b"one")], [_response(b"one"), _response(b"2")])
    first, second = send(b"one"), send(b"2")
    assert first.connection == second.connection == 1
    assert (first.connection_requests, first.stray_ids) == (1, ())
    assert (second.connection_requests, second.stray_ids) == (2, ("one",))


def test_lost_response_shows_the_copies_that_came_in_its_place(make_send):
    """Guards against a lost response whose log line hides what arrived."""
    send = make_send(
        [_response(b"one")], [_response(b"one") + EARLIER_REFUSALS["no id"]]
    )
    send(b"one")
    attempt = send(b"two", timeout=0.3)
    assert attempt.outcome is placement.AttemptOutcome.RESPONSE_LOST
    assert attempt.stray_ids == ("one", "")


def _refusals():
    """Return refusals of request "one", with its id first, last or absent."""
    request_id, statement = b"Request-Id: one\r\n", b"Not-Executed: 1\r\n"
    headers = (request_id + statement, statement + request_id, statement)
    return [
        b"HTTP/1.1 %d Refused\r\n%bServer-Load: 2,3,2,100\r\n"
        b"Content-Length: 0\r\n\r\n" % (status, lines)
        for status in (503, 429, 421)
        for lines in headers
    ]


@pytest.mark.parametrize("refusal", _refusals())
@pytest.mark.parametrize("status", [200, 500])
def test_refusal_that_was_cut_short_does_not_change_the_next_response(
    refusal, status
):
    """Guards against "has not run" for a request that a server runs.

    The head of the next response continued that of the surplus one, so that
    the id of the one came with the status and statement of the other.
    """
    own = _response(b"two").replace(b"200 OK", b"%d X" % status)
    for end in range(1, len(refusal)):
        chunks = [refusal[:end], own, b""]
        reader = http1.ResponseReader(
            receive=lambda chunks=chunks: chunks.pop(0), max_bytes=1 << 16
        )
        try:
            response, metadata, _ = _stray_responses.read_own(
                reader,
                method=b"POST",
                codec=_http.HttpCodec(),
                is_own=lambda metadata, _: metadata.request_id == "two",
                on_stray=lambda metadata: None,
            )
        except http1.MalformedMessage:
            continue
        assert response.status == status and not metadata.not_executed
