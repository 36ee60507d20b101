"""Tests of what a request meets that needs a quota token."""

import dataclasses
import random
import time
import types

import gevent
import pytest

from wigeonrouter import core
from wigeonrouter import tenancy
from wigeonrouter import topology
from wigeonrouter.node import _hub
from wigeonrouter.node import _quota_client
from wigeonrouter.node import _quota_hub
from wigeonrouter.node import _quota_levels
from wigeonrouter.node import _quota_messages
from wigeonrouter.node import conftest

_ACME = topology.Tenant(name="acme", api_keys=(), rate=10.0, burst=0.0)
_FREE = topology.Tenant(name="free", api_keys=())
_TENANTS = {tenant.name: tenant for tenant in (_ACME, _FREE)}
WINDOW_S = 5.0


class _NoEarlierUse(_quota_levels.FallbackLevels):
    """Levels of the first ledger of all."""

    def levels(self, tenant, **basis):
        return dataclasses.replace(super().levels(tenant, **basis), prior=0)


class _Clock:
    """Clock of gevent's time, to which a suspension can be added."""

    def __init__(self):
        self.suspended = 0.0

    def __call__(self):
        return _quota_client.boot_clock() + self.suspended


@pytest.fixture
def clock():
    """Return the clock that counts while the machine is suspended."""
    return _Clock()


@pytest.fixture
def events():
    """Return the event log of the node."""
    return conftest.SilentEvents()


@pytest.fixture
def make_hub(clock, events):
    """Return a function that makes a QuotaHub with a capacity."""

    def make(capacity, /, **changes):
        return _quota_hub.QuotaHub(
            **{
                "tenants": lambda: _TENANTS,
                "capacity": lambda tenant: capacity,
                "share": lambda tenant: capacity,
                "basis": lambda tenant: (capacity, tenant.rate),
                "levels": _NoEarlierUse(),
                "window": WINDOW_S,
                "ledger_id": 7,
                "events": events,
                "clock": clock,
            }
            | changes
        )

    return make


@pytest.fixture
def client(clock, events, make_hub):
    """Run a QuotaClient that knows no hub yet."""
    client = _quota_client.QuotaClient(
        tenants=lambda: _TENANTS,
        window=WINDOW_S,
        make_fallback=lambda: make_hub(3),
        events=events,
        rng=random.Random(1),
        boot_clock=clock,
    )
    client.configure()
    task = gevent.spawn(client.run)
    yield client
    task.kill()


def _request(tenant=_ACME, time_to_target=0.3):
    now = time.monotonic()
    return types.SimpleNamespace(
        tenant=tenant,
        token=None,
        pending=types.SimpleNamespace(
            target_time=now + time_to_target, deadline=now + 1.0
        ),
    )


def _reserve_all(client, count):
    return [client.reserve(_request()) for _ in range(count)]


def test_tenant_without_a_limit_needs_no_token(client):
    """Guards against requests that wait for a hub without need."""
    request = _request(_FREE)
    assert client.reserve(request) is None
    assert client.reserve(_request(tenant=None)) is None
    assert request.token is None


def test_node_without_limits_sends_no_orders(events, clock):
    """Guards against messages in deployments without tenants."""
    sent = []
    client = _quota_client.QuotaClient(
        tenants=dict,
        window=WINDOW_S,
        make_fallback=None,
        events=events,
        rng=random.Random(1),
        boot_clock=clock,
    )
    client.configure()
    client.join_remote(sent.append)
    task = gevent.spawn(client.run)
    gevent.sleep(0.3)
    task.kill()
    assert not sent


def test_requests_beyond_the_limit_get_429_and_a_time(
    client, make_hub, events
):
    """Guards against requests beyond the limit, or callers without a time."""
    client.join_local(make_hub(5))
    results = _reserve_all(client, 8)
    assert results[:5] == [None] * 5
    for rejection in results[5:]:
        assert rejection.problem is core.problems.OVER_QUOTA
        assert 1.0 <= rejection.retry_after <= 6.5
    # One line, although three were rejected.
    assert events.names.count("over-quota") == 1


def test_request_waits_for_a_hub_and_gets_503_without_one(client):
    """Guards against 429 for a tenant that is below its limit."""
    started = time.monotonic()
    rejection = client.reserve(_request(time_to_target=0.3))
    assert rejection.problem is core.problems.NO_SERVER
    assert time.monotonic() - started >= 0.15


def test_request_that_waits_is_sent_when_a_hub_is_found(client, make_hub):
    """Guards against requests that are lost in a change of the hub."""
    request = _request(time_to_target=2.0)
    waiting = gevent.spawn(client.reserve, request)
    gevent.sleep(0.1)
    client.join_local(make_hub(5))
    assert waiting.get(timeout=2.0) is None
    assert request.token is not None


def test_hub_of_an_earlier_build_does_not_starve_tenants(client, events):
    """Guards against a region without tokens while versions are mixed.

    A hub that ignores the requests responds to nothing. The node then has
    its own part of the quota.
    """
    client.join_remote(lambda message: None)
    assert client.reserve(_request(time_to_target=0.2)) is not None
    gevent.sleep(1.8)
    results = _reserve_all(client, 4)
    assert results[:3] == [None] * 3
    assert results[3].problem is core.problems.OVER_QUOTA
    assert events.names.count("quota-hub-without-quotas") == 1


def test_hub_may_be_slow_to_respond_to_the_first_order(
    client, events, make_hub
):
    """Guards against an own part of the quota beside that of the hub.

    A node without callers sends its first order long after it has joined.
    """

    def respond(message):
        response = hub.serve_message("192.0.2.1", message.quota_request)
        gevent.spawn_later(0.3, client.on_grant, response.quota_grant)

    client.join_remote(respond)
    gevent.sleep(1.2)
    hub = make_hub(1)
    results = [client.reserve(_request(time_to_target=0.8)) for _ in range(3)]
    assert results[0] is None
    assert None not in results[1:]
    assert "quota-hub-without-quotas" not in events.names


def test_suspended_hub_is_not_taken_for_one_of_an_earlier_build(
    client, events
):
    """Guards against an own part of the quota beside that of the next hub.

    The node learns that the hub is suspended when no heartbeat comes.
    """
    client.join_remote(lambda message: None)
    assert client.reserve(_request(time_to_target=0.2)) is not None
    gevent.sleep(_hub.PEER_TIMEOUT_S)
    assert "quota-hub-without-quotas" not in events.names


def test_late_response_gives_up_the_own_part(client, make_hub):
    """Guards against tokens of the hub besides those of the own part.

    The hub learns what was sent with the own part.
    """
    messages = []
    client.join_remote(messages.append)
    assert client.reserve(_request(time_to_target=0.2)) is not None
    gevent.sleep(1.8)
    request = _request()
    assert client.reserve(request) is None
    client.on_sent(request)
    hub = make_hub(10, ledger_id=8)
    hub.on_join("192.0.2.1")

    def exchange():
        pending, messages[:] = messages[:], []
        for message in pending:
            response = hub.serve_message("192.0.2.1", message.quota_request)
            client.on_grant(response.quota_grant)

    exchange()
    exchange()
    granted = hub.counts["granted"]
    # The one that was sent counts as sent, and as one that may still be sent.
    assert hub.total("acme") >= granted + 2
    # The hub's tokens of the first order have expired.
    assert client.reserve(_request()) is not None


def test_suspended_node_does_not_send_with_an_old_token(
    client, make_hub, clock
):
    """Guards against tokens that are spent after the hub forgot them."""
    client.join_local(make_hub(5))
    request = _request()
    assert client.reserve(request) is None
    clock.suspended += 2.0
    assert not client.is_valid(request)
    assert not client.confirm(request)


def test_token_comes_back_once(client, make_hub):
    """Guards against two requests with the token of one that did not run."""
    client.join_local(make_hub(1))
    request = _request()
    assert client.reserve(request) is None
    client.on_sent(request)
    client.on_attempt_end(request, may_have_run=False)
    client.release(request)
    client.release(request)
    assert client.reserve(_request()) is None
    assert client.reserve(_request()) is not None


def test_retry_after_an_attempt_that_may_have_run_needs_a_token(
    client, make_hub
):
    """Guards against two executions that count as one."""
    client.join_local(make_hub(1))
    request = _request()
    assert client.reserve(request) is None
    client.on_attempt_end(request, may_have_run=True)
    assert client.reserve(request) is not None


def test_request_that_arrives_twice_is_granted_once(make_hub):
    """Guards against capacity that a repeated return frees again."""
    hub = make_hub(10)
    hub.on_join("192.0.2.1")
    orders = (tenancy.TenantOrder(tenant="acme", wanted=4),)
    message = _quota_messages.encode_request(
        sequence=1, orders=orders, ledger=0
    )
    assert hub.serve_message("192.0.2.1", message) is not None
    assert hub.serve_message("192.0.2.1", message) is None
    assert hub.counts["granted"] == 4


def test_suspended_hub_grants_nothing_at_first(make_hub, clock):
    """Guards against two hubs that grant, after one was paused."""
    hub = make_hub(10)
    clock.suspended += 5.0
    orders = (tenancy.TenantOrder(tenant="acme", wanted=4, returned=4),)
    (grant,) = hub.serve(orders, ledger=7)
    assert grant.granted == 0
    assert hub.counts["returned"] == 0
    clock.suspended += 0.9
    hub.check_suspended(clock())
    clock.suspended += 0.9
    (grant,) = hub.serve(orders, ledger=7)
    assert grant.granted == 4


def test_only_tenants_with_tokens_are_near_their_limit(make_hub):
    """Guards against a hub that stands still over thousands of tenants.

    The capacity of a tenant depends on all nodes of the region.
    """
    asked = []

    def capacity(tenant):
        asked.append(tenant.name)
        return 4

    tenants = {
        f"t{i}": topology.Tenant(name=f"t{i}", api_keys=(), rate=1.0, burst=0)
        for i in range(100)
    }
    hub = make_hub(4, capacity=capacity, tenants=lambda: tenants)
    hub.serve(
        tuple(
            tenancy.TenantOrder(tenant=name, wanted=wanted)
            for name, wanted in (("t1", 4), ("t2", 1))
        ),
        ledger=7,
    )
    asked.clear()
    assert hub.count_near_limit() == 1
    assert sorted(asked) == ["t1", "t2"]


@pytest.mark.parametrize("fraction", [0.2, 0.5, 0.51, 1.0])
def test_parts_of_a_region_keep_to_the_limit_together(fraction):
    """Guards against two sides of a partition that both grant it all."""
    rules = tenancy.QuotaRules(
        window=WINDOW_S, overage=0.1, slack=20.0, regions=("r",), region="r"
    )
    both = [
        _quota_hub.allowed_capacity(rules, _ACME, part)
        for part in (fraction, 1 - fraction)
    ]
    assert sum(both) <= 10 * 5 * 1.1 + 20
