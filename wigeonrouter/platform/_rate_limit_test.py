"""Tests of servers that name a limit for the requests of all nodes."""

import time

import gevent
import pytest

from wigeonrouter.platform import conftest

wait_until = conftest.wait_until
_LIMIT_PER_S = 1.5
# The limit holds in any window of this length, up to a factor and a number of
# requests. It holds from the settling time after it was first named on.
_WINDOW_S = 4.0
_TOLERANCE_FACTOR = 1.5
_TOLERANCE_REQUESTS = 5
_SETTLING_S = 3.0
# Pause between two requests of the callers of one node.
_REQUEST_INTERVAL_S = 0.1
# Longest wait for a rejection of a request that cannot be served.
_IMMEDIATE_S = 0.25


def allowed_requests(limit):
    """Return the number of requests that a window may have."""
    return _TOLERANCE_FACTOR * limit * _WINDOW_S + _TOLERANCE_REQUESTS


def busiest_window(server, named_at):
    """Return the most requests in a window that ends after the settling."""
    times = [at for at, _ in server.arrivals]
    return max(
        (
            sum(end - _WINDOW_S < at <= end for at in times)
            for end in times
            if end >= named_at + _SETTLING_S
        ),
        default=0,
    )


@pytest.fixture
def traffic():
    """Return a function that starts callers of several nodes.

    Args:
      callers: a Caller of each node.
    Returns:
      List of the TimedResponses so far. Each caller sends a request at fixed
      intervals, without waiting for the response.
    """
    tasks, responses = [], []

    def send(caller):
        try:
            responses.append(caller.send("/read/a", remaining=900))
        except OSError:
            # The node was killed.
            return

    def run(caller):
        while True:
            tasks.append(gevent.spawn(send, caller))
            gevent.sleep(_REQUEST_INTERVAL_S)

    def start(callers):
        tasks.extend(gevent.spawn(run, caller) for caller in callers)
        return responses

    yield start
    gevent.killall(tasks)


@pytest.fixture
def limited_server(backend, region):
    """Run three servers; return the one that all nodes prefer.

    It names no limit yet.
    """
    (server,) = conftest.start_ready(backend, region[0], "i-limited")
    conftest.start_ready(backend, region[0], "i-1", "i-2", zone="zb")
    wait_until(lambda: all(len(node.servers) == 3 for node in region))
    return server


def test_all_nodes_together_keep_the_limit_of_a_server(
    region, limited_server, traffic
):
    """Guards against a limit that is ignored, or kept by each node alone."""
    traffic(conftest.callers_of(region))
    gevent.sleep(1.0)
    named_at = time.monotonic()
    limited_server.rate_limit = _LIMIT_PER_S
    gevent.sleep(8.0)
    assert busiest_window(limited_server, named_at) <= allowed_requests(
        _LIMIT_PER_S
    )


def test_requests_beyond_the_limits_of_all_servers_are_rejected_at_once(
    backend, region, traffic
):
    """Guards against a queue that waits for slots which may not be used."""
    (server,) = conftest.start_ready(backend, region[0], "i-limited")
    server.rate_limit = _LIMIT_PER_S
    wait_until(lambda: all(len(node.servers) == 1 for node in region))
    responses = traffic(conftest.callers_of(region))
    named_at = time.monotonic()
    gevent.sleep(8.0)
    assert busiest_window(server, named_at) <= allowed_requests(_LIMIT_PER_S)
    rejected = [r for r in responses if r.status == 503]
    assert len(rejected) > len(responses) / 2
    assert all("retry-after" in r.headers for r in rejected)
    rejected.sort(key=lambda response: response.seconds)
    assert rejected[len(rejected) // 2].seconds < _IMMEDIATE_S


def test_limit_holds_while_its_home_is_killed_and_replaced(
    region, limited_server, traffic
):
    """Guards against two homes that each use a limit, and against none."""
    traffic(conftest.callers_of(region))
    named_at = time.monotonic()
    limited_server.rate_limit = _LIMIT_PER_S
    gevent.sleep(5.0)
    conftest.home_of(region).kill()
    killed_at = time.monotonic()
    gevent.sleep(9.0)
    assert busiest_window(limited_server, named_at) <= allowed_requests(
        _LIMIT_PER_S
    )
    assert any(at > killed_at for at, _ in limited_server.arrivals)


def test_all_nodes_use_a_server_again_after_its_limit(
    backend, region, traffic
):
    """Guards against nodes that reject requests while a server is free."""
    (server,) = conftest.start_ready(backend, region[0], "i-limited", slots=30)
    wait_until(lambda: all(len(node.servers) == 1 for node in region))
    responses = traffic(conftest.callers_of(region))
    gevent.sleep(1.0)
    server.rate_limit = _LIMIT_PER_S
    gevent.sleep(5.0)
    assert any(response.status == 503 for response in responses)
    server.rate_limit = None
    gevent.sleep(_SETTLING_S)
    del responses[:]
    gevent.sleep(1.0)
    assert {response.status for response in responses} == {200}


def test_second_service_of_a_host_uses_its_servers_within_their_limit(
    store, backend, region
):
    """Guards against a limit that is kept by a home without requests.

    Callers of a host go to the home of its first service.
    """
    document = conftest.configuration(2)
    for prefix in ("/a/", "/b/"):
        document["routes"][prefix] = dict(
            document["routes"]["r-read"], prefix=prefix
        )
    document["routes"]["r-beta"] = dict(
        document["routes"]["r-read"], prefix="/beta/", service="beta"
    )
    store.put("op/config", document)
    backend("i-alpha")
    (server,) = conftest.start_ready(
        backend, region[0], "i-beta", service="beta"
    )
    server.rate_limit = _LIMIT_PER_S
    home = conftest.home_of(region)
    caller = conftest.Caller(address=home.settings.caller_address)
    wait_until(lambda: caller.send("/beta/a").status == 200)
    gevent.sleep(_WINDOW_S)
    statuses = []
    for _ in range(10):
        statuses.append(caller.send("/beta/a").status)
        gevent.sleep(1 / _LIMIT_PER_S)
    assert statuses.count(200) >= 8
    server.rate_limit = None
    wait_until(
        lambda: {caller.send("/beta/a").status for _ in range(5)} == {200},
        timeout=_SETTLING_S,
    )
