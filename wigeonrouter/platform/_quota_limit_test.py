"""Tests of a tenant's limit over the nodes of a region, on real connections.

The tenant of each request is set by the test.
"""

import gevent
import pytest

from wigeonrouter.node import _proxy
from wigeonrouter.platform import conftest

callers_of = conftest.callers_of
hubs = conftest.hubs
start_ready = conftest.start_ready
wait_until = conftest.wait_until
_RATE = 40
_WINDOW_S = 5
_ROUNDS = 10
# The other region of the settings has the other half.
_REGION_LIMIT = _RATE * _WINDOW_S // 2


@pytest.fixture
def limited_region(store, backend, region, monkeypatch):
    """Run a region whose requests belong to a tenant with a limit."""
    route = _proxy.Proxy._route

    def route_with_tenant(proxy, *args):
        context = route(proxy, *args)
        tenants = proxy._cluster_state.configuration.tenants
        context.tenant = tenants.get("acme")
        return context

    monkeypatch.setattr(_proxy.Proxy, "_route", route_with_tenant)
    tenant = {"api_keys": ["key-1"], "rate_per_s": _RATE}
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
        gevent.spawn(caller.send, f"/read/{number}", request_id=f"r-{number}")
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
