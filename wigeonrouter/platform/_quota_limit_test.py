"""Tests of a limit over the nodes of a region, on real connections."""

import dataclasses

import gevent
import pytest

from wigeonrouter.platform import conftest

callers_of = conftest.callers_of
hubs = conftest.hubs
start_ready = conftest.start_ready
wait_until = conftest.wait_until
_KEY = "key-1"
_RATE = 40
_WINDOW_S = 5
_ROUNDS = 10
# The other region of the settings has the other half.
_REGION_LIMIT = _RATE * _WINDOW_S // 2


@pytest.fixture
def limited_region(store, backend, region):
    """Run a region with a tenant that has a limit."""
    tenant = {"api_keys": [_KEY], "rate_per_s": _RATE}
    store.put("op/config", conftest.configuration(2, tenants={"acme": tenant}))
    backend("i-1", slots=16)
    wait_until(
        lambda: all(
            node.servers == {"i-1"}
            and node.region_member.quotas.client.enabled
            for node in region
        )
    )
    return region


def _send_all(nodes, count):
    """Send requests to all nodes at once; return the responses."""
    tasks = [
        gevent.spawn(
            caller.send,
            f"/read/{number}",
            request_id=f"r-{number}",
            headers=[("Key", _KEY)],
        )
        for caller in callers_of(nodes)
        for number in range(count)
    ]
    return [task.get() for task in tasks]


def test_nodes_share_the_limit(limited_region):
    """Guards against a limit that each node has for itself."""
    responses = []
    for _ in range(_ROUNDS):
        responses += _send_all(limited_region, 4)
        gevent.sleep(0.1)
    statuses = [response.status for response in responses]
    assert set(statuses) == {200, 429}
    assert 0.3 * _REGION_LIMIT <= statuses.count(200) <= _REGION_LIMIT
    rejected = [r for r in responses if r.status == 429]
    assert all("retry-after" in response.headers for response in rejected)


def test_limit_holds_when_the_hub_is_killed(limited_region):
    """Guards against a new hub that grants the whole limit again."""
    executed = 0
    for _ in range(_ROUNDS):
        responses = _send_all(limited_region, 4)
        executed += sum(response.status == 200 for response in responses)
        gevent.sleep(0.1)
    (hub,) = hubs(limited_region)
    hub.kill()
    others = [node for node in limited_region if node is not hub]
    wait_until(lambda: len(hubs(others)) == 1)
    for _ in range(_ROUNDS):
        responses = _send_all(others, 4)
        executed += sum(response.status == 200 for response in responses)
    assert executed <= _REGION_LIMIT


def test_limit_holds_when_all_nodes_are_killed(limited_region, start_node):
    """Guards against nodes that grant the whole limit again after a restart.

    Nothing but the store is left of what the nodes knew.
    """
    executed = 0
    for _ in range(_ROUNDS):
        responses = _send_all(limited_region, 4)
        executed += sum(response.status == 200 for response in responses)
        gevent.sleep(0.1)
    for node in limited_region:
        node.kill()
    started = [
        start_node(dataclasses.replace(node.settings, first_start=False))
        for node in limited_region
    ]
    wait_until(lambda: len(hubs(started)) == 1)
    for _ in range(_ROUNDS):
        responses = _send_all(started, 4)
        executed += sum(response.status == 200 for response in responses)
        gevent.sleep(0.1)
    assert executed <= _REGION_LIMIT
