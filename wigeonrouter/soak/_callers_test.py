"""Tests of the callers of a soak run."""

import random
import types

import gevent
from gevent import event
from gevent import server as gevent_server
import pytest

from wigeonrouter import topology
from wigeonrouter.soak import _callers
from wigeonrouter.soak import _records

_ROUTE_TIMEOUT_S = 1.5
_CLOSE_TIME_S = 0.1


@pytest.fixture
def silent_address():
    """Address of a server that accepts connections and never responds."""
    server = gevent_server.StreamServer(
        ("127.0.0.1", 0), lambda sock, address: gevent.sleep(60)
    )
    server.start()
    yield "127.0.0.1", server.server_port
    server.stop(timeout=0)


def test_caller_waits_for_a_response_as_long_as_it_says(silent_address):
    """Guards against callers that leave before their recorded timeout.

    Checks of late or missing responses would then find nothing.
    """
    observations = _records.Observations()
    route = topology.Route(
        name="read",
        host="shop.example",
        prefix="/read/",
        shares=(),
        idempotent=True,
        timeout=_ROUTE_TIMEOUT_S,
        target_latency=0.1,
        priority=1,
        max_attempts=1,
    )
    sender = _callers.Sender(
        routes=lambda: (route,),
        observations=observations,
        rng=random.Random(1),
    )
    connection = _callers.Connection(
        node=types.SimpleNamespace(name="node-1"), address=silent_address
    )
    assert not sender.send(connection)
    connection.close()
    (request,) = observations.requests
    assert request.end is _records.End.TIMEOUT
    assert request.ended - request.sent >= request.patience


def test_connection_that_its_node_closed_is_recognized():
    """Guards against pools that use connections which they know are closed."""
    closing = event.Event()
    server = gevent_server.StreamServer(
        ("127.0.0.1", 0), lambda sock, address: closing.wait()
    )
    server.start()
    connection = _callers.Connection(
        node=None, address=("127.0.0.1", server.server_port)
    )
    gevent.sleep(_CLOSE_TIME_S)
    assert not connection.was_closed
    closing.set()
    gevent.sleep(_CLOSE_TIME_S)
    assert connection.was_closed
    connection.close()
    server.stop(timeout=0)
