"""Tests of what callers receive before the server closes a connection."""

import gevent
from gevent import monkey
import pytest

from wigeonrouter import core
from wigeonrouter import http1

WAIT_S = 3.0
HANDLING_S = 0.05
# More than the kernel sends before the caller reads.
LARGE_BODY_BYTES = 3_000_000
BlockingSocket = monkey.get_original("socket", "socket")


class _Handler:
    """Responds with a large body after a while.

    Attributes:
      handled: targets of the requests.
      error: exception that it raises instead, None for none.
    """

    def __init__(self):
        self.handled = []
        self.error = None

    def body_limit(self, request):
        return 0

    def handle(self, request, arrived):
        self.handled.append(request.target)
        gevent.sleep(HANDLING_S)
        if self.error is not None:
            raise self.error
        return http1.HttpResponse(
            status=200, headers=(), body=b"x" * LARGE_BODY_BYTES
        )


@pytest.fixture
def handler():
    """Return the handler of the server."""
    return _Handler()


@pytest.fixture
def connection(handler):
    """Run a CallerServer; return a connection to it that does not block."""
    server = http1.CallerServer(
        address=core.Address(host="127.0.0.1", port=0), handler=handler
    )
    server.start()
    sock = BlockingSocket()
    sock.connect(("127.0.0.1", server.port))
    sock.setblocking(False)
    yield sock
    sock.close()
    server.kill()


def _receive(sock):
    """Return the next bytes, b"" at the end."""
    with gevent.Timeout(WAIT_S):
        while True:
            try:
                return sock.recv(65536)
            except BlockingIOError:
                gevent.sleep(0.002)


def _read_response(sock):
    reader = http1.ResponseReader(
        receive=lambda: _receive(sock), max_bytes=2 * LARGE_BODY_BYTES
    )
    return reader.read(b"GET")


@pytest.mark.parametrize("surplus", [b"\r\n", b"GET /2 HTTP/1.0\r\n\r\n"])
def test_response_is_whole_if_bytes_follow_the_last_request(
    connection, handler, surplus
):
    """Guards against a reset that takes back what the caller has not read.

    The kernel resets a connection that is closed with unread bytes. Some
    callers send a line end behind the body of a request.
    """
    connection.sendall(b"GET /1 HTTP/1.0\r\nHost: a\r\n\r\n")
    with gevent.Timeout(WAIT_S):
        while not handler.handled:
            gevent.sleep(0.001)
    connection.sendall(surplus)
    gevent.sleep(5 * HANDLING_S)
    assert len(_read_response(connection).body) == LARGE_BODY_BYTES
    assert _receive(connection) == b""
    assert handler.handled == [b"/1"]


@pytest.mark.parametrize(
    "request_bytes",
    [
        b"GET /1 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n",
        b"GET /1 HTTP/1.1\r\nHost: a\r\nConnection: x, Close\r\n\r\n",
        b"POST /1 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
        b"Content-Length: 1\r\n\r\nx",
        b"GET /1 HTTP/1.0\r\nHost: a\r\n\r\n",
        b"POST /1 HTTP/1.0\r\nHost: a\r\nConnection: keep-alive\r\n"
        b"Content-Length: 1\r\n\r\nx",
    ],
)
def test_connection_ends_after_the_last_response(
    connection, handler, request_bytes
):
    """Guards against callers that wait for an end which does not come.

    They said that they close. Those of HTTP/1.0 expect the end unless the
    response says that the connection is kept, which it never does.
    """
    connection.sendall(request_bytes + b"GET /2 HTTP/1.1\r\nHost: a\r\n\r\n")
    assert len(_read_response(connection).body) == LARGE_BODY_BYTES
    assert _receive(connection) == b""
    assert handler.handled == [b"/1"]


def test_request_whose_handler_fails_is_answered(connection, handler):
    """Guards against a connection that ends without any response.

    The caller cannot tell that from a lost connection, and the log has no
    line of its request.
    """
    handler.error = ValueError("unexpected")
    connection.sendall(b"GET /1 HTTP/1.1\r\nHost: a\r\n\r\n")
    assert _read_response(connection).status == 500
    assert _receive(connection) == b""
