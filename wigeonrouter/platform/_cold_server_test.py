"""Tests of the requests that several nodes send to a cold server."""

import dataclasses
import time

import gevent
import pytest

from wigeonrouter import topology
from wigeonrouter.platform import conftest

wait_until = conftest.wait_until
_RATE_PER_S = 7.6
_OVERAGE = 1.5
_SLACK = 8.0
_BOUND = _RATE_PER_S * _OVERAGE + _SLACK
_SLOW_START_S = 1.0
_COLD_S = 4.0
_REQUEST_INTERVAL_S = 0.04
_BURST = 40


@pytest.fixture
def server(store, backend, region, free_port):
    """Run the only server of a service that limits its cold servers."""
    document = conftest.configuration(2)
    document["services"]["alpha"].update(
        warmup=f"{_SLOW_START_S * 1000:.0f}ms", warmup_per_s=_RATE_PER_S
    )
    store.put("op/config", document)
    server = backend("i-1", slots=8)
    wait_until(lambda: all(node.servers == {"i-1"} for node in region))
    bounds = topology.Bounds(
        slow_start_overage=_OVERAGE, slow_start_slack=_SLACK
    )
    wait_until(
        lambda: all(
            node.counts["configuration-in-force"] == 2 for node in region
        )
    )
    for node in region:
        node.reload(dataclasses.replace(node.settings, bounds=bounds))
    return server


@pytest.fixture
def send():
    """Return a function that sends a request without waiting for it."""
    tasks = []

    def run(caller):
        try:
            caller.send("/read/a", remaining=900)
        except OSError:
            # The node was killed.
            return

    yield lambda caller: tasks.append(gevent.spawn(run, caller))
    gevent.killall(tasks)


def _send_for(callers, send, seconds):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        for caller in callers:
            send(caller)
        gevent.sleep(_REQUEST_INTERVAL_S)


def _busiest_second(server, since):
    times = [at for at, _ in server.arrivals if at >= since]
    return max(
        (sum(end - 1.0 < at <= end for at in times) for end in times),
        default=0,
    )


@pytest.mark.parametrize("kills", [True, False], ids=["killed", "alive"])
def test_nodes_together_keep_the_bound_of_a_busy_server(
    region, server, send, kills
):
    """Guards against a server that crashes when it becomes cold again.

    All nodes have used it until then. Its home may be killed meanwhile.
    """
    callers = conftest.callers_of(region)
    _send_for(callers, send, 1.5)
    assert _busiest_second(server, 0.0) > _BOUND
    since = time.monotonic()
    server.cold_until = since + _COLD_S
    _send_for(callers, send, 1.0)
    if kills:
        conftest.home_of(region).kill()
    _send_for(callers, send, _COLD_S - 1.0 - 0.2)
    assert 0 < _busiest_second(server, since) <= _BOUND
    if not kills:
        used = sum(at >= since for at, _ in server.arrivals)
        assert used >= 0.7 * _RATE_PER_S * (_COLD_S - 0.2)


def test_nodes_that_have_not_heard_of_a_server_do_not_overload_it(
    region, server, send
):
    """Guards against a burst of nodes that take a cold server for warm.

    It was idle for longer than a slow start takes, and has become cold again.
    """
    callers = conftest.callers_of(region)
    _send_for(callers, send, 0.5)
    gevent.sleep(_SLOW_START_S + 0.5)
    since = time.monotonic()
    server.cold_until = since + _COLD_S
    for _ in range(_BURST):
        for caller in callers:
            send(caller)
    _send_for(callers, send, 1.5)
    assert 0 < _busiest_second(server, since) <= _BOUND
