"""Tests of which connection of a pool a request gets."""

import time
import tracemalloc

from gevent import server as gevent_server
import pytest

from wigeonrouter import core
from wigeonrouter import http1
from wigeonrouter.http1 import _pool

LIMIT = 2
MAX_IDS_BYTES = 64 << 10


@pytest.fixture
def address():
    """Run a server that accepts connections; return its core.Address."""
    server = gevent_server.StreamServer(
        ("127.0.0.1", 0), lambda sock, _: sock.recv(1)
    )
    server.start()
    yield core.Address(host="127.0.0.1", port=server.server_port)
    server.stop(timeout=0.1)


@pytest.fixture
def pool():
    """Return a pool."""
    return http1.ConnectionPool()


@pytest.fixture
def checkout(pool, address):
    """Return a function that takes a connection for a request's ID."""

    def run(request_id):
        return pool.checkout(
            address=address,
            limit=LIMIT,
            deadline=time.monotonic() + 1.0,
            request_id=request_id,
        )

    return run


@pytest.fixture
def carry(pool, address, checkout):
    """Return a function that lets a connection carry a retryable request."""

    def run(request_id):
        connection = checkout(request_id)
        connection.add_retryable(request_id)
        pool.checkin(address, connection)
        return connection

    return run


def test_connection_never_carries_a_retryable_request_again(carry, checkout):
    """Guards against a copy that nothing tells from the answer."""
    carried = carry("one")
    assert checkout("one") is not carried


def test_connection_carries_other_requests_after_a_retryable_one(
    carry, checkout
):
    """Guards against a new connection after each refusal."""
    carried = carry("one")
    assert checkout("two") is carried


def test_connections_that_are_passed_over_keep_their_order(
    pool, address, carry, checkout
):
    """Guards against using the connection that is closest to its timeout."""
    first, second = checkout("a"), checkout("b")
    for connection in (first, second):
        connection.add_retryable("one")
        pool.checkin(address, connection)
    checkout("one").close()
    assert checkout("two") is second


def test_connections_that_are_passed_over_count_for_the_limit(
    pool, address, checkout
):
    """Guards against more connections to a server than it accepts."""
    connections = [checkout(str(number)) for number in range(LIMIT)]
    for connection in connections:
        connection.add_retryable("one")
        pool.checkin(address, connection)
    checkout("one")
    assert pool.in_use + pool.idle == LIMIT


def test_older_connection_is_used_behind_those_that_are_passed_over(
    pool, address, checkout
):
    """Guards against a new connection while another one could be used."""
    first, second = checkout("a"), checkout("b")
    second.add_retryable("one")
    for connection in (first, second):
        pool.checkin(address, connection)
    assert checkout("one") is first


def test_long_ids_take_no_more_memory(checkout):
    """Guards against callers whose long IDs use up the memory."""
    connection = checkout("")
    tracemalloc.start()
    try:
        for number in range(_pool._MAX_RETRYABLE_IDS):
            connection.add_retryable(f"{number}" * 10_000)
        size, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert size < MAX_IDS_BYTES


def test_ids_of_a_connection_are_bounded(pool, address, checkout, monkeypatch):
    """Guards against memory that grows with each refusal of a server."""
    monkeypatch.setattr(_pool, "_MAX_RETRYABLE_IDS", 3)
    connections = set()
    for number in range(8):
        connection = checkout(str(number))
        connections.add(connection)
        connection.add_retryable(str(number))
        pool.checkin(address, connection)
    assert len(connections) == 2
    assert (pool.opened, pool.closed_exhausted) == (2, 2)


def test_only_new_connections_count_as_opened(pool, address, checkout):
    """Guards against a metric that hides what new connections cost."""
    pool.checkin(address, checkout("one"))
    connection = checkout("two")
    assert pool.opened == 1
    pool.discard(address, connection)
    checkout("three")
    assert (pool.opened, pool.closed_exhausted) == (2, 0)


def test_connections_differ_in_their_numbers(pool, address, checkout):
    """Guards against a log that mistakes one connection for another."""
    first = checkout("one")
    pool.discard(address, first)
    second = checkout("one")
    assert (first.number, second.number) == (1, 2)
    pool.checkin(address, second)
    assert checkout("two").number == 2


def test_failed_connect_does_not_count_as_opened(pool):
    """Guards against counting connections that a server did not get."""
    with pytest.raises(http1.ConnectFailed):
        pool.checkout(
            address=core.Address(host="127.0.0.1", port=1),
            limit=LIMIT,
            deadline=time.monotonic() + 1.0,
        )
    assert pool.opened == 0
