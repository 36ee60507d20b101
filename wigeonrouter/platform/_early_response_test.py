"""Tests of servers that respond before they have read a long body."""

import time

import gevent
from gevent import event
from gevent import server as gevent_server
import pytest

from wigeonrouter import core
from wigeonrouter import http1
from wigeonrouter import placement
from wigeonrouter import topology
from wigeonrouter.node import _sender
from wigeonrouter.platform import _http
from wigeonrouter.platform import conftest

# More than the buffers of a connection on loopback hold.
BODY_BYTES = 24 << 20
READ_DELAY_S = 0.3
DEADLINE_S = 20.0
SHORT_DEADLINE_S = 0.5

OWN_ID = b"Request-Id: long\r\n"
RUN = b"HTTP/1.1 200 OK\r\n%bContent-Length: 2\r\n\r\nhi"
REFUSED = (
    b"HTTP/1.1 503 Busy\r\n%bNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
)


class EarlyServer:
    """Responds to the head of a request, and reads its body after a delay.

    Attributes:
      connections: what each connection has received, bytearrays.
      ended: those of them that have ended.
      reads_on: event.Event that lets it read bodies.

    Args:
      response: bytes of the early response.
    """

    def __init__(self, *, response):
        self.connections = []
        self.ended = []
        self.reads_on = event.Event()
        self._response = response
        self._server = gevent_server.StreamServer(
            ("127.0.0.1", 0), self._serve
        )
        self._server.start()

    @property
    def address(self):
        """core.Address of the server."""
        return core.Address(host="127.0.0.1", port=self._server.server_port)

    def stop(self):
        """Stop the server."""
        self._server.stop(timeout=0.1)

    def _serve(self, sock, _):
        received = bytearray()
        self.connections.append(received)
        while b"\r\n\r\n" not in received:
            received += sock.recv(4096)
        sock.sendall(self._response)
        self.reads_on.wait()
        try:
            while data := sock.recv(1 << 20):
                received += data
                if received.endswith(b"\r\n\r\nnext"):
                    sock.sendall(RUN % b"Request-Id: next\r\n")
        except ConnectionResetError:
            # The sender has left the response unread.
            pass
        finally:
            self.ended.append(received)


@pytest.fixture
def early_server():
    """Return a function that runs an EarlyServer."""
    servers = []

    def start(**options):
        servers.append(EarlyServer(**options))
        return servers[-1]

    yield start
    for server in servers:
        server.stop()


@pytest.fixture
def make_send():
    """Return a function that makes a function which sends a POST request."""

    def make(server):
        sender = _sender.Sender(
            pool=http1.ConnectionPool(), codec=_http.HttpCodec()
        )

        def send(request_id, body, deadline=DEADLINE_S):
            return sender.send(
                request=http1.HttpRequest(
                    method=b"POST",
                    target=b"/",
                    headers=((b"request-id", request_id),),
                    body=body,
                    keep_alive=True,
                    reservation=http1.BufferBudget(limit=1 << 26).reserve(),
                ),
                request_id=request_id.decode(),
                registration=topology.Registration(
                    instance="server-1",
                    service="alpha",
                    address=server.address,
                    place=core.Place(region="r1", failure_domain="za"),
                    slots=2,
                    state=topology.RegistrationState.READY,
                ),
                idempotent=False,
                response_deadline=time.monotonic() + deadline,
            )

        return send

    return make


def _body_of(received):
    return bytes(received).partition(b"\r\n\r\n")[2]


@pytest.mark.parametrize("request_id", [OWN_ID, b""], ids=["id", "no id"])
@pytest.mark.parametrize("response", [RUN, REFUSED], ids=["run", "refused"])
def test_rest_of_a_body_follows_an_early_response(
    early_server, make_send, response, request_id
):
    """Guards against other bytes where the rest of a body is due.

    The connection is kept, and the next request could be written too soon.
    """
    server = early_server(response=response % request_id)
    gevent.spawn_later(READ_DELAY_S, server.reads_on.set)
    send = make_send(server)
    body = b"x" * BODY_BYTES
    if response is RUN and not request_id:
        # A success without an id is no answer.
        assert send(b"long", body, deadline=2.0).may_have_run
        assert _body_of(server.connections[0]) == body
        return
    attempt = send(b"long", body)
    assert attempt.may_have_run == (response is RUN)
    if not request_id:
        # No further request follows on this connection.
        send(b"next", b"next")
        assert len(server.connections) == 2
        assert _body_of(server.connections[0]) == body
        return
    assert send(b"next", b"next").response.body == b"hi"
    assert len(server.connections) == 1
    requests = bytes(server.connections[0]).split(b"POST / HTTP/1.1")
    _, first, second = requests
    assert _body_of(first) == body
    assert _body_of(second) == b"next"


@pytest.mark.parametrize("response", [RUN, REFUSED], ids=["run", "refused"])
def test_body_that_is_not_read_ends_with_its_connection(
    early_server, make_send, response
):
    """Guards against a promise, or a further request, amid a body.

    The response is not read before the whole request is sent, so even a
    refusal is not known.
    """
    server = early_server(response=response % OWN_ID)
    send = make_send(server)
    attempt = send(b"long", b"x" * BODY_BYTES, deadline=SHORT_DEADLINE_S)
    assert attempt.outcome is placement.AttemptOutcome.RESPONSE_LOST
    assert attempt.may_have_run and attempt.timed_out
    send(b"next", b"next", deadline=SHORT_DEADLINE_S)
    server.reads_on.set()
    conftest.wait_until(lambda: server.connections[0] in server.ended)
    assert not _body_of(server.connections[0]).strip(b"x")
