"""Tests of attempts at servers and other nodes that end a connection early."""

import time

from gevent import server as gevent_server
import pytest

from wigeonrouter import core
from wigeonrouter import http1
from wigeonrouter import placement
from wigeonrouter.node import _sender
from wigeonrouter.platform import _http

_REQUEST = b"GET /a HTTP/1.1\r\nRequest-Id: r\r\n\r\n"
_RESPONSE = b"HTTP/1.1 200 OK\r\nRequest-Id: r\r\n\r\nhalf of a"


@pytest.fixture
def closing_address():
    """Run a server whose response has no length; return its address."""

    def respond(sock, _):
        sock.recv(65536)
        sock.sendall(_RESPONSE)
        sock.close()

    server = gevent_server.StreamServer(("127.0.0.1", 0), respond)
    server.start()
    yield core.Address(host="127.0.0.1", port=server.server_port)
    server.stop(timeout=0.1)


@pytest.fixture
def send(closing_address):
    """Return a function that sends a request there; returns an Attempt."""
    sender = _sender.Sender(
        pool=http1.ConnectionPool(), codec=_http.HttpCodec()
    )

    def send(**options):
        with http1.BufferBudget(limit=1 << 20).reserve() as reservation:
            request = http1.HttpRequest(
                method=b"GET",
                target=b"/a",
                headers=(),
                body=b"",
                keep_alive=True,
                reservation=reservation,
            )
            return sender.send_to(
                closing_address,
                render=lambda remaining: _REQUEST,
                request=request,
                request_id="r",
                idempotent=True,
                response_deadline=time.monotonic() + 2.0,
                **options,
            )

    return send


def test_response_of_another_node_without_a_length_is_incomplete(send):
    """Guards against half a response from a node that ends meanwhile.

    Nodes always send a length, so only a lost connection ends a body here.
    """
    attempt = send()
    assert attempt.outcome is placement.AttemptOutcome.RESPONSE_LOST
    assert attempt.response is None


def test_response_of_a_server_may_end_with_its_connection(send):
    """Guards against refusing whole responses of servers."""
    assert send(allow_close_delimited=True).response.body == b"half of a"
