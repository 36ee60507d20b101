"""Tests of the surplus responses that an emulated backend server writes."""

import random

import gevent
from gevent import socket
import pytest

from wigeonrouter import http1
from wigeonrouter.platform import _emulator
from wigeonrouter.platform import testing

READ_TIMEOUT_S = 5.0
# Longer than the latest copy on an idle connection takes.
SILENCE_S = 0.3
Moment = _emulator.SurplusMoment


@pytest.fixture
def server():
    """A running backend server."""
    backend = _emulator.EmulatedBackend(instance="i-1", service="alpha")
    yield backend
    backend.stop()


class Connection:
    """A connection to a server that shows every response on it."""

    def __init__(self, server):
        self._sock = socket.create_connection(
            ("127.0.0.1", server.port), timeout=READ_TIMEOUT_S
        )
        self._reader = http1.ResponseReader(
            receive=lambda: self._sock.recv(65536), max_bytes=1 << 20
        )

    def send(self, request_id):
        """Send a request, "" for a health check."""
        self._sock.sendall(
            testing.render_request(
                method="GET",
                target=f"/{request_id}" if request_id else "/health",
                host="shop.example",
                request_id=request_id,
                remaining=READ_TIMEOUT_S,
            )
        )

    def read(self):
        """Return status and ID of the next response."""
        response = self._reader.read(b"GET")
        return response.status, response.header(b"request-id").decode()

    def exchange(self, request_id):
        """Send a request and return status and ID of the next response."""
        self.send(request_id)
        return self.read()

    def is_silent(self):
        """Return whether nothing arrives for a while."""
        with gevent.Timeout(SILENCE_S, False):
            self.read()
            return False
        return True

    def close(self):
        """Close the connection."""
        self._sock.close()


@pytest.fixture
def connection(server):
    """A connection to the server."""
    opened = Connection(server)
    yield opened
    opened.close()


def set_surplus(server, **probabilities):
    """Let a server write copies with these probabilities by moment."""
    server.surplus.option = _emulator.SurplusResponses(
        probabilities={Moment[k]: v for k, v in probabilities.items()},
        rng=random.Random(1),
    )


def test_server_writes_no_copies_by_default(connection):
    """Guards against surplus responses in tests that want none."""
    assert connection.exchange("one") == (200, "one")
    assert connection.exchange("one") == (200, "one")
    assert connection.is_silent()


@pytest.mark.parametrize("moment", ["AT_ONCE", "IDLE"])
def test_copy_is_written_without_a_further_request(server, connection, moment):
    """Guards against an option that writes nothing on idle connections."""
    set_surplus(server, **{moment: 1.0})
    assert connection.exchange("one") == (200, "one")
    assert connection.read() == (200, "one")
    assert connection.is_silent()
    assert server.surplus.written == [(Moment[moment], "one")]


@pytest.mark.parametrize("resting", [False, True])
def test_copy_comes_where_the_next_response_is_due(
    server, connection, resting
):
    """Guards against copies that come before the next request was read."""
    set_surplus(server, NEXT_REQUEST=1.0)
    server.resting = resting
    status = 503 if resting else 200
    assert connection.exchange("one") == (status, "one")
    assert connection.is_silent()
    server.resting = False
    server.surplus.option = None
    assert connection.exchange("two") == (status, "one")
    assert connection.read() == (200, "two")
    assert connection.is_silent()


def test_copy_of_a_refusal_comes_before_the_same_request_runs(
    server, connection
):
    """Guards against an emulator without the fault of the incident.

    Another request and a health check between the two do not end it.
    """
    set_surplus(server, SAME_REQUEST=1.0)
    server.resting = True
    assert connection.exchange("one") == (503, "one")
    server.resting = False
    assert connection.exchange("two") == (200, "two")
    assert connection.exchange("") == (200, "")
    assert connection.exchange("one") == (503, "one")
    assert "one" not in server.ended
    assert connection.read() == (200, "one")
    assert "one" in server.ended


def test_copy_of_a_refusal_stays_on_its_connection(server, connection):
    """Guards against copies that the protocol does not permit."""
    set_surplus(server, SAME_REQUEST=1.0, NEXT_REQUEST=1.0)
    server.resting = True
    assert connection.exchange("one") == (503, "one")
    server.resting = False
    other = Connection(server)
    assert other.exchange("one") == (200, "one")
    other.close()


def test_health_checks_are_not_copied(server, connection):
    """Guards against copies that nothing tells from the next response."""
    set_surplus(server, **{moment.name: 1.0 for moment in Moment})
    assert connection.exchange("") == (200, "")
    assert connection.exchange("") == (200, "")
    assert connection.is_silent()


def test_same_seed_draws_the_same_copies():
    """Guards against copies that a seed does not determine."""
    drawn = []
    for _ in range(2):
        option = _emulator.SurplusResponses(
            probabilities={Moment.AT_ONCE: 0.5}, rng=random.Random(7)
        )
        drawn.append([option.draw(Moment.AT_ONCE) for _ in range(20)])
    assert drawn[0] == drawn[1]
    assert set(drawn[0]) == {False, True}
