"""Tests of the servers that stand still during a soak run."""

import random
import time
import types

import gevent
from gevent import socket
import pytest

from wigeonrouter.platform import _emulator
from wigeonrouter.platform import testing
from wigeonrouter.soak import _environment
from wigeonrouter.soak import _standstills

_SILENCE_S = 0.3
_READ_TIMEOUT_S = 10.0


class StandInBackend:
    """The attributes of a Backend that standstills read and change."""

    def __init__(self, service):
        self.service = service
        self.draining = False
        self.removed = False
        self.server = types.SimpleNamespace(standing_still=False)


@pytest.fixture
def emulated_server():
    """A running backend server."""
    server = _emulator.EmulatedBackend(instance="i-1", service="gamma")
    yield server
    server.stop()


def test_server_that_stands_still_answers_once_it_moves(emulated_server):
    """Guards against standstills that close connections or lose requests."""
    emulated_server.standing_still = True
    with socket.create_connection(
        ("127.0.0.1", emulated_server.port), timeout=_READ_TIMEOUT_S
    ) as sock:
        sock.sendall(
            testing.render_request(
                method="GET",
                target="/browse/1",
                host="shop.example",
                request_id="r1",
                remaining=1.0,
            )
        )
        gevent.sleep(_SILENCE_S)
        assert not emulated_server.arrivals
        moves_at = time.monotonic()
        emulated_server.standing_still = False
        response = testing.read_response(
            lambda: sock.recv(65536), method=b"GET"
        )
    assert response.status == 200
    assert emulated_server.arrivals[0][0] >= moves_at


def test_two_in_seven_servers_of_the_pooled_service_stand_still():
    """Guards against standstills of servers that other checks rely on."""
    pooled = [StandInBackend(_environment.POOLED_SERVICE) for _ in range(14)]
    others = [StandInBackend(service) for service in _environment.SERVICES]
    task = gevent.spawn(
        _standstills.let_servers_stand_still,
        types.SimpleNamespace(active=[*pooled, *others]),
        random.Random(1),
    )
    gevent.sleep(_SILENCE_S)
    assert sum(backend.server.standing_still for backend in pooled) == 4
    assert not any(backend.server.standing_still for backend in others)
    task.kill()
    assert not any(backend.server.standing_still for backend in pooled)
