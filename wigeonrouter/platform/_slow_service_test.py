"""Tests of a service whose servers are all slower than usual."""

import gevent
import pytest

from wigeonrouter.platform import conftest

SERVICE_TIME_S = 0.02
_RATE_PER_S = 16.0
_REQUESTS = 48
# Requests before the servers get slower, from which the node learns how long
# the work takes on an undisturbed server.
_USUAL_REQUESTS = 32
MIN_SERVED_SHARE = 0.97
# Time beyond the work itself, with nearly all slots free.
MAX_ADDED_S = 0.06


@pytest.fixture
def servers(backend, node):
    """Run six backend servers, of whose slots few will be in use."""
    names = [f"i-{number}" for number in range(6)]
    return conftest.start_ready(
        backend, node, *names, service_time=SERVICE_TIME_S, slots=6
    )


def _send_at_rate(caller, count, path, **options):
    """Send requests at a constant rate; return the TimedResponses."""
    tasks = []
    for _ in range(count):
        tasks.append(gevent.spawn(caller.send, path, **options))
        gevent.sleep(1.0 / _RATE_PER_S)
    return [task.get(timeout=5) for task in tasks]


@pytest.mark.parametrize("slowdown", [2.0, 4.0, 8.0, 12.0])
@pytest.mark.parametrize("method", ["GET", "POST"])
def test_service_whose_servers_are_all_slow_is_served(
    caller, servers, slowdown, method
):
    """Guards against requests that wait for an undisturbed server in vain.

    Every server stands idle meanwhile, and the requests were rejected just
    before their deadline.
    """
    options = {"method": method, "remaining": 1000}
    path = "/read/a" if method == "GET" else "/write/a"
    _send_at_rate(caller, _USUAL_REQUESTS, path, **options)
    for server in servers:
        server.slowdown = slowdown
    responses = _send_at_rate(caller, _REQUESTS, path, **options)
    served = [response for response in responses if response.status == 200]
    assert len(served) >= MIN_SERVED_SHARE * len(responses)
    median = sorted(response.seconds for response in served)[len(served) // 2]
    assert median <= SERVICE_TIME_S * slowdown + MAX_ADDED_S


def test_service_is_as_before_when_its_servers_are_fast_again(caller, servers):
    """Guards against what a slow time leaves behind."""
    for server in servers:
        server.slowdown = 8.0
    _send_at_rate(caller, _REQUESTS, "/read/a")
    for server in servers:
        server.slowdown = 1.0
    gevent.sleep(1.0)
    responses = _send_at_rate(caller, _REQUESTS, "/read/a")
    assert all(response.status == 200 for response in responses)
    median = sorted(r.seconds for r in responses)[len(responses) // 2]
    assert median <= SERVICE_TIME_S + MAX_ADDED_S


def test_timeout_below_the_latency_of_slow_servers_is_kept(
    store, backend, node, caller
):
    """Guards against an estimate that refuses all requests for good.

    Servers were slow, the operator lowered the timeout of the route, and the
    servers are quick again. Without responses nothing corrects the estimate.
    """
    servers = conftest.start_ready(
        backend, node, "i-1", "i-2", service_time=0.8
    )
    for number in range(6):
        assert caller.send(f"/read/{number}").status == 200
    route = conftest.configuration()["routes"]["r-read"]
    store.put(
        "op/config",
        conftest.configuration(
            2, routes={"r-read": {**route, "timeout": "250ms"}}
        ),
    )
    for server in servers:
        server.stop()
    conftest.start_ready(backend, node, "i-3", "i-4", service_time=0.02)
    gevent.sleep(1.0)
    statuses = []
    for number in range(40):
        statuses.append(caller.send(f"/read/late-{number}").status)
        gevent.sleep(0.05)
    assert statuses[-1] == 200
