"""Tests of servers that say that they leave, or ask for a pause."""

import time

import gevent
import pytest

from wigeonrouter.platform import conftest

start_ready = conftest.start_ready
wait_until = conftest.wait_until
# Requests in flight may still reach a server for this time.
_IN_FLIGHT_S = 0.3
_PAUSE_S = 1.5
# Nodes exchange what servers have said several times a second.
_REGION_TOLD_S = 1.0
_AMPLE_SLOTS = 8


def _send(caller, *, count=20, path="/read/a", pause=0.02):
    """Send requests in turn; return their responses."""
    responses = []
    for _ in range(count):
        responses.append(caller.send(path))
        gevent.sleep(pause)
    return responses


def _arrivals_since(server, since):
    return sum(arrived > since for arrived, _ in server.arrivals)


def test_server_that_says_that_it_leaves_gets_no_more_requests(
    backend, node, caller
):
    """Guards against requests to a server that leaves while the store is out.

    Its registration says that it is ready.
    """
    leaving, *_ = start_ready(backend, node, "i-1", "i-2", "i-3")
    _send(caller)
    leaving.leaving = True
    wait_until(lambda: caller.send("/read/a") and node.counts["server-leaves"])
    since = time.monotonic() + _IN_FLIGHT_S
    gevent.sleep(_IN_FLIGHT_S)
    responses = _send(caller, count=40)
    assert _arrivals_since(leaving, since) == 0
    assert {response.status for response in responses} == {200}


def test_leaving_server_is_not_used_when_it_stops_to_say_so(
    backend, node, caller
):
    """Guards against a health check that brings back a server that leaves."""
    leaving, other = start_ready(backend, node, "i-1", "i-2")
    leaving.leaving = True
    wait_until(lambda: caller.send("/read/a") and node.counts["server-leaves"])
    leaving.leaving = False
    since = time.monotonic()
    _send(caller)
    assert _arrivals_since(leaving, since) == 0
    assert len(other.runs) >= 20


def test_leaving_server_whose_entry_comes_back_is_left_out(
    store, backend, node, caller
):
    """Guards against a lapsed entry that makes the node forget."""
    leaving, _ = start_ready(backend, node, "i-1", "i-2")
    leaving.leaving = True
    wait_until(lambda: caller.send("/read/a") and node.counts["server-leaves"])
    store.remove("servers/i-1")
    wait_until(lambda: node.servers == {"i-2"})
    store.put("servers/i-1", leaving.registration(sequence=2))
    wait_until(lambda: len(node.servers) == 2)
    since = time.monotonic()
    _send(caller)
    assert _arrivals_since(leaving, since) == 0


def test_restarted_server_is_used_again(store, backend, node, caller):
    """Guards against a new process that pays for what the old one said."""
    server, _ = start_ready(backend, node, "i-1", "i-2")
    server.leaving = True
    wait_until(lambda: caller.send("/read/a") and node.counts["server-leaves"])
    server.leaving = False
    store.put("servers/i-1", server.registration(sequence=1, born=123456789))
    wait_until(lambda: len(node.servers) == 2)
    since = time.monotonic()
    wait_until(
        lambda: caller.send("/read/a") and _arrivals_since(server, since),
        timeout=3,
    )


@pytest.mark.parametrize("method", ["GET", "POST"])
def test_server_that_asks_for_a_pause_gets_no_requests(
    backend, node, caller, method
):
    """Guards against a server that rejects fast and attracts requests."""
    resting, *others = start_ready(
        backend, node, "i-1", "i-2", "i-3", slots=_AMPLE_SLOTS
    )
    # The others are slower, so the node prefers this one.
    for server in others:
        server.slowdown = 4.0
    path = "/read/a" if method == "GET" else "/write/a"
    resting.fault, resting.pause = "shed", _PAUSE_S
    wait_until(lambda: caller.send(path, method=method) and resting.arrivals)
    (first_arrived, _), *_ = resting.arrivals
    end = first_arrived + _PAUSE_S
    statuses = []
    while time.monotonic() < end:
        statuses.append(caller.send(path, method=method).status)
    in_pause = [
        arrived
        for arrived, _ in resting.arrivals
        if first_arrived + _IN_FLIGHT_S < arrived < end
    ]
    assert not in_pause
    assert set(statuses) == {200}
    # The last request may have got a pause of its own.
    resting.fault = ""
    wait_until(
        lambda: caller.send(path, method=method) and resting.runs,
        timeout=2 * _PAUSE_S,
    )


def test_callers_are_told_at_once_when_all_servers_pause(
    backend, node, caller
):
    """Guards against callers who wait for servers that take no requests."""
    servers = start_ready(backend, node, "i-1", "i-2")
    for server in servers:
        server.fault, server.pause = "shed", 20
    _send(caller, count=3)
    responses = _send(caller)
    assert {response.status for response in responses} == {503}
    address = node.settings.control_address
    metrics = conftest.Caller(address=address).send("/metrics").body.decode()
    assert 'excluded_servers{reason="paused",service="alpha"} 2.0' in metrics
    assert max(response.seconds for response in responses) < 0.2
    delays = {response.headers["retry-after"] for response in responses}
    assert len(delays) > len(responses) / 2
    assert sum(len(server.arrivals) for server in servers) <= 4


def test_absurd_statements_do_no_harm(backend, node, caller):
    """Guards against a server that is lost because of a malformed header."""
    (server,) = start_ready(backend, node, "i-1")
    server.fault = "shed"
    for value in ("-1", "nan", "1e999", "Wed, 21 Oct 2026 07:28:00 GMT"):
        server.pause = value
        caller.send("/read/a")
    server.fault = ""
    assert {response.status for response in _send(caller)} == {200}
    assert node.counts["server-statement-invalid"] == 1


def _region_servers(backend, region):
    servers = [
        backend(f"i-{number}", slots=_AMPLE_SLOTS) for number in range(4)
    ]
    wait_until(lambda: all(len(node.servers) == 4 for node in region))
    return servers


def test_region_is_told_what_a_server_has_said(backend, region):
    """Guards against a new home that has to find out for itself.

    One node learns of both servers, and the other nodes send them nothing.
    """
    leaving, resting, *slower = _region_servers(backend, region)
    for server in slower:
        server.slowdown = 4.0
    first, *others = conftest.callers_of(region)
    leaving.leaving = True
    resting.fault, resting.pause = "shed", 60
    wait_until(
        lambda: (
            first.send("/read/a")
            and region[0].counts["server-leaves"]
            and region[0].counts["server-asks-for-pause"]
        )
    )
    gevent.sleep(_REGION_TOLD_S)
    since = time.monotonic()
    for caller in others:
        responses = _send(caller)
        assert {response.status for response in responses} == {200}
    assert _arrivals_since(leaving, since) == 0
    assert _arrivals_since(resting, since) == 0
