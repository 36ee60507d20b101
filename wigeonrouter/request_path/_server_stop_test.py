"""Guards against requests lost while the caller server is stopping."""

import gevent
from gevent import socket
import pytest

from wigeonrouter import core
from wigeonrouter import request_path

_REQUEST = b"GET /%d HTTP/1.1\r\nHost: a\r\n\r\n"


class _EchoHandler:
    """Handler that responds with the request target after 20 ms."""

    def body_limit(self, request):
        return 1000

    def handle(self, request, arrived):
        gevent.sleep(0.02)
        return request_path.HttpResponse(
            status=200, headers=(), fields={}, body=request.target
        )


@pytest.fixture
def server():
    """A CallerServer on a free port."""
    started = request_path.CallerServer(
        address=core.Address(host="127.0.0.1", port=0),
        handler=_EchoHandler(),
    )
    started.start()
    yield started
    started.stop()


@pytest.fixture
def connection(server):
    """A connection that has been used once."""
    sock = socket.create_connection(("127.0.0.1", server.port), timeout=10)
    sock.sendall(_REQUEST % 0)
    assert sock.recv(1000).endswith(b"/0")
    yield sock
    sock.close()


def _read_all(sock):
    data = b""
    while chunk := sock.recv(1000):
        data += chunk
    return data


def test_request_in_the_receive_buffer_is_answered(server, connection):
    """Guards against closing a connection with an unread request as idle."""
    connection.sendall(_REQUEST % 1)
    # No other task has run since, so the server has not read the request.
    server.stop()
    assert _read_all(connection).endswith(b"/1")


def test_partially_received_request_is_answered(server, connection):
    """Guards against closing a connection in the middle of a request."""
    request = _REQUEST % 1
    connection.sendall(request[:10])
    gevent.sleep(0.02)
    stopping = gevent.spawn(server.stop)
    gevent.sleep(0.02)
    connection.sendall(request[10:])
    assert _read_all(connection).endswith(b"/1")
    stopping.get()


def test_pipelined_request_is_answered_while_draining(server, connection):
    """Guards against Connection: close while a pipelined request waits."""
    server.drain()
    connection.sendall(_REQUEST % 1 + _REQUEST % 2)
    responses = _read_all(connection)
    assert b"/1" in responses and responses.endswith(b"/2")


def test_idle_connection_does_not_delay_the_stop(server, connection):
    """Guards against a stop that waits for idle connections."""
    with gevent.Timeout(10):
        server.stop()
    assert _read_all(connection) == b""
