"""Tests of how long pipelined requests wait at a node for their servers."""

import time

import gevent
from gevent import socket
import pytest

from wigeonrouter import http1
from wigeonrouter.platform import conftest
from wigeonrouter.platform import testing

REQUESTS = 4
SERVICE_TIME_S = 0.1
# The target latency of the route.
TARGET_S = 0.2


@pytest.fixture
def connection(node):
    """Return a caller's connection to the node."""
    address = node.settings.caller_address
    sock = socket.create_connection((address.host, address.port))
    yield sock
    sock.close()


def _render(request_id):
    return testing.render_request(
        method="GET",
        target="/read/a",
        host=conftest.HOST,
        request_id=request_id,
        remaining=1.0,
    )


def _receive_ids(sock, count):
    """Return the request IDs of the responses in order."""
    reader = http1.ResponseReader(
        receive=lambda: sock.recv(65536), max_bytes=1 << 16
    )
    return [
        reader.read(b"GET").header(b"request-id").decode()
        for _ in range(count)
    ]


@pytest.mark.parametrize("gap", [0.0, 0.02])
def test_pipelined_reads_reach_servers_within_half_of_their_target(
    backend, node, connection, gap
):
    """Guards against requests that spend their target latency unread.

    Each was read only after the response to the one before it.
    """
    servers = conftest.start_ready(
        backend, node, "i-1", "i-2", slots=4, service_time=SERVICE_TIME_S
    )
    sent = {}
    for number in range(REQUESTS):
        sent[f"id-{number}"] = time.monotonic()
        connection.sendall(_render(f"id-{number}"))
        gevent.sleep(gap)
    assert _receive_ids(connection, REQUESTS) == list(sent)
    delays = [
        run.started - sent[run.request_id]
        for server in servers
        for run in server.runs
    ]
    assert len(delays) == REQUESTS
    assert max(delays) < TARGET_S / 2
