"""Tests of the servers that a node may use when they name rate limits."""

import pytest

from wigeonrouter import core
from wigeonrouter import placement
from wigeonrouter.node import _prober
from wigeonrouter.node import conftest
from wigeonrouter.node import messages

LIMIT_PER_S = 1.5


@pytest.fixture
def share():
    """Return a list whose only item is this node's share of the limits."""
    return [1.0]


@pytest.fixture
def now():
    """Return a list whose only item is the time of the monotonic clock."""
    return [1000.0]


@pytest.fixture
def server_pool(make_server_pool, make_known_server, share, now):
    """Return a ServerPool of a local and a remote server."""
    pool = make_server_pool(limit_share=lambda: share[0], clock=lambda: now[0])
    remote = core.Place(region="south", failure_domain="south-a")
    pool.configure(
        health_path="/health",
        registered=[
            make_known_server("near"),
            make_known_server("far", place=remote),
        ],
    )
    return pool


def _metadata(**changes):
    return messages.ResponseMetadata(
        **{
            "request_id": "",
            "instance": "",
            "not_executed": False,
            "misdirected": False,
            "load": None,
            "rate_limit": LIMIT_PER_S,
        }
        | changes
    )


def _name_limit(server_pool, instance, **changes):
    server_pool.views.record_rate_limit(
        instance, _metadata(**changes), from_probe=False
    )


def _pick(server_pool, instance):
    return placement.Pick(view=server_pool.views.get(instance))


def test_home_uses_a_limited_server_at_its_rate(server_pool):
    """Guards against a home that does not use a server with a limit."""
    _name_limit(server_pool, "near")
    view = server_pool.views.get("near")
    assert [view] == server_pool.views.local
    assert view.rate_limit == LIMIT_PER_S
    # This node has just become the sender, so it waits at first.
    assert server_pool.grant(_pick(server_pool, "near"), 0.1) is None


def test_other_nodes_do_not_use_a_limited_server(server_pool, share):
    """Guards against a limit that each node keeps for itself."""
    share[0] = 0.0
    _name_limit(server_pool, "near")
    assert server_pool.views.local == []
    _name_limit(server_pool, "far")
    assert not server_pool.views.has_usable


def test_home_rarely_uses_a_limited_server_of_another_region(server_pool, now):
    """Guards against a home in each region that uses the whole limit."""
    _name_limit(server_pool, "far")
    grants = 0
    for _ in range(30):
        now[0] += 1.0
        if server_pool.grant(_pick(server_pool, "far"), 0.1) is not None:
            grants += 1
    assert 2 <= grants <= 3


def test_former_home_stops_when_another_node_is_the_home(server_pool, share):
    """Guards against two homes around a hand-over."""
    _name_limit(server_pool, "near")
    share[0] = 0.0
    assert server_pool.grant(_pick(server_pool, "near"), 0.1) is None
    server_pool.views.refresh_rate_limits({})
    assert server_pool.views.local == []


def test_new_home_waits_also_if_it_was_the_home_before(
    server_pool, share, now
):
    """Guards against a home that does not know who was it meanwhile."""
    _name_limit(server_pool, "near")
    now[0] += 10.0
    _name_limit(server_pool, "near", rate_limit=None)
    share[0] = 0.0
    server_pool.views.refresh_rate_limits({})
    share[0] = 1.0
    now[0] += 10.0
    _name_limit(server_pool, "near")
    assert server_pool.grant(_pick(server_pool, "near"), 0.1) is None


def test_limit_that_a_peer_was_told_is_known(server_pool, share):
    """Guards against a new home that learns limits by exceeding them."""
    share[0] = 0.0
    assert server_pool.views.refresh_rate_limits({"near": LIMIT_PER_S})
    assert server_pool.views.local == []
    assert not server_pool.views.named_rate_limits


def test_server_pool_keeps_a_limit_that_a_probe_named(
    make_server_pool, make_known_server
):
    """Guards against an update by a probe that undoes the limit it named."""
    result = _prober.ProbeResult(
        healthy=True,
        instance_matches=True,
        metadata=_metadata(),
        round_trip=0.001,
    )
    pool = make_server_pool(
        limit_share=lambda: 1.0, prober=conftest.AnsweringProber(result)
    )
    pool.configure(
        health_path="/health", registered=[make_known_server("near")]
    )
    pool.probe(pool.views.local, remote=False)
    assert pool.views.get("near").rate_limit == LIMIT_PER_S


def test_limit_of_a_server_at_a_reused_address_is_not_taken(
    make_server_pool, make_known_server
):
    """Guards against the limit of another server at the same address."""
    result = _prober.ProbeResult(
        healthy=True,
        instance_matches=False,
        metadata=_metadata(instance="other"),
        round_trip=0.001,
    )
    pool = make_server_pool(
        limit_share=lambda: 1.0, prober=conftest.AnsweringProber(result)
    )
    pool.configure(
        health_path="/health", registered=[make_known_server("near")]
    )
    pool.probe(pool.views.local, remote=False)
    assert pool.views.named_rate_limits == {}


def test_limit_in_a_misdirected_response_is_not_taken(server_pool, route):
    """Guards against the limit of another server at the same address."""
    grant = server_pool.grant(_pick(server_pool, "near"), 0.1)
    server_pool.release(
        grant,
        route=route,
        outcome=placement.AttemptOutcome.REJECTED,
        metadata=_metadata(not_executed=True, misdirected=True),
        latency=0.01,
        timed_out=False,
    )
    assert server_pool.views.named_rate_limits == {}


def test_remote_servers_count_if_all_local_ones_have_limits(server_pool):
    """Guards against rejections while servers of other regions are free."""
    _name_limit(server_pool, "near")
    far = server_pool.views.get("far")
    assert server_pool.usable_slots(0.1) > far.slots
