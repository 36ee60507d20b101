"""Tests of how one node passes a request on to another one."""

import pytest

from wigeonrouter import http1
from wigeonrouter.node import _forwarded_request

_ORIGIN = _forwarded_request.Origin(
    host="192.0.2.7",
    service="reads",
    attempts=1,
    may_have_run=True,
    time_to_target=-0.25,
    time_to_deadline=0.75,
)


def _parse(data):
    reader = http1.RequestReader(body_limit=lambda request: 1 << 20)
    chunks = iter([data])
    return reader.read(lambda: next(chunks, b""))


@pytest.fixture
def request_of_caller():
    """Return an HttpRequest with a body, and a header for the connection."""
    return _parse(
        b"POST /write/a?b=1 HTTP/1.1\r\nHost: shop.example\r\n"
        b"Request-Id: id-1\r\nDeadline-Ms: 900\r\nX-Own: 1\r\n"
        b"Connection: keep-alive\r\nContent-Length: 3\r\n\r\nabc"
    )


def test_request_arrives_as_its_caller_sent_it(request_of_caller):
    """Guards against a server that gets what the nodes tell each other."""
    data = _forwarded_request.render(request_of_caller, _ORIGIN)
    request, origin = _forwarded_request.read(_parse(data))
    assert origin == _ORIGIN
    assert request.method == b"POST"
    assert request.target == b"/write/a?b=1"
    assert request.body == b"abc"
    names = {name for name, _ in request.headers}
    assert b"wigeonrouter-origin" not in names
    for name in (b"host", b"request-id", b"deadline-ms", b"x-own"):
        assert request.header(name) == request_of_caller.header(name)


@pytest.mark.parametrize("value", [b"", b"!", b"AAAA", b"CgA="])
def test_malformed_origin_is_none(value):
    """Guards against requests of others that are taken for a node's."""
    request = _parse(
        b"GET / HTTP/1.1\r\nHost: a\r\nwigeonrouter-origin: %b\r\n\r\n" % value
    )
    assert _forwarded_request.read(request)[1] is None


def test_origin_of_a_caller_is_replaced(request_of_caller):
    """Guards against a caller that claims attempts for its request."""
    data = _forwarded_request.render(request_of_caller, _ORIGIN)
    claimed = _parse(data)
    data = _forwarded_request.render(claimed, _ORIGIN)
    assert data.count(b"wigeonrouter-origin") == 1


def test_declined_response_is_recognised():
    """Guards against a rejection by a cut node that its caller gets."""
    response = http1.HttpResponse(status=503, headers=(), body=b"")
    assert not _forwarded_request.is_declined(response)
    declined = _forwarded_request.decline(response)
    assert _forwarded_request.is_declined(declined)


@pytest.mark.parametrize("status", [200, 404, 500, 502])
def test_response_of_a_server_does_not_decline_a_request(status):
    """Guards against a request that runs again on another node.

    A backend server may send any header, and the node that got the request
    passes it on.
    """
    response = http1.HttpResponse(
        status=status, headers=((b"wigeonrouter-declined", b"1"),), body=b""
    )
    assert not _forwarded_request.is_declined(response)
