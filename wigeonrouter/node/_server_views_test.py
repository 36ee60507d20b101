"""Tests of the servers that a node may use when they name rate limits."""

import pytest

from wigeonrouter import core
from wigeonrouter import placement
from wigeonrouter.node import _prober
from wigeonrouter.node import conftest

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


@pytest.fixture
def probe_server(make_server_pool, make_known_server, make_metadata):
    """Return a function that probes a server that names a limit.

    Args:
      instance_matches: whether the probed server responds, and not another
        one at its address.
    Returns:
      The ServerPool.
    """

    def probe(*, instance_matches):
        result = _prober.ProbeResult(
            healthy=True,
            instance_matches=instance_matches,
            metadata=make_metadata(rate_limit=LIMIT_PER_S),
            round_trip=0.001,
        )
        pool = make_server_pool(prober=conftest.AnsweringProber(result))
        pool.configure(
            health_path="/health", registered=[make_known_server("near")]
        )
        pool.probe(pool.views.local, remote=False)
        return pool

    return probe


@pytest.fixture
def name_limit(server_pool, make_metadata):
    """Return a function by which a server names a limit, None for none."""

    def name(instance, limit=LIMIT_PER_S):
        server_pool.views.record_rate_limit(
            instance, make_metadata(rate_limit=limit), from_probe=False
        )

    return name


def _pick(server_pool, instance):
    return placement.Pick(view=server_pool.views.get(instance))


def test_home_uses_a_limited_server_at_its_rate(server_pool, name_limit):
    """Guards against a home that does not use a server with a limit."""
    name_limit("near")
    view = server_pool.views.get("near")
    assert [view] == server_pool.views.local
    assert view.rate_limit == LIMIT_PER_S
    # This node has just become the sender, so it waits at first.
    assert server_pool.grant(_pick(server_pool, "near"), 0.1) is None


def test_other_nodes_do_not_use_a_limited_server(
    server_pool, share, name_limit
):
    """Guards against a limit that each node keeps for itself."""
    share[0] = 0.0
    name_limit("near")
    assert server_pool.views.local == []
    name_limit("far")
    assert not server_pool.views.has_usable


def test_home_rarely_uses_a_limited_server_of_another_region(
    server_pool, now, name_limit
):
    """Guards against a home in each region that uses the whole limit."""
    name_limit("far")
    grants = 0
    for _ in range(30):
        now[0] += 1.0
        if server_pool.grant(_pick(server_pool, "far"), 0.1) is not None:
            grants += 1
    assert 2 <= grants <= 3


def test_former_home_stops_when_another_node_is_the_home(
    server_pool, share, name_limit
):
    """Guards against two homes around a hand-over."""
    name_limit("near")
    share[0] = 0.0
    assert server_pool.grant(_pick(server_pool, "near"), 0.1) is None
    server_pool.views.refresh_rate_limits({})
    assert server_pool.views.local == []


def test_new_home_waits_also_if_it_was_the_home_before(
    server_pool, share, now, name_limit
):
    """Guards against a home that does not know who was it meanwhile."""
    name_limit("near")
    now[0] += 10.0
    name_limit("near", None)
    share[0] = 0.0
    server_pool.views.refresh_rate_limits({})
    share[0] = 1.0
    now[0] += 10.0
    name_limit("near")
    assert server_pool.grant(_pick(server_pool, "near"), 0.1) is None


def test_limit_that_a_peer_was_told_is_known(server_pool, share):
    """Guards against a new home that learns limits by exceeding them."""
    share[0] = 0.0
    assert server_pool.views.refresh_rate_limits({"near": LIMIT_PER_S})
    assert server_pool.views.local == []
    assert not server_pool.views.rate_limit_statements


def test_server_pool_keeps_a_limit_that_a_probe_named(probe_server):
    """Guards against an update by a probe that undoes the limit it named."""
    pool = probe_server(instance_matches=True)
    assert pool.views.get("near").rate_limit == LIMIT_PER_S


def test_limit_of_a_server_at_a_reused_address_is_not_taken(probe_server):
    """Guards against the limit of another server at the same address."""
    pool = probe_server(instance_matches=False)
    assert pool.views.rate_limit_statements == {}


def test_rejection_without_a_limit_does_not_end_it(
    server_pool, name_limit, make_metadata, now
):
    """Guards against a full server that loses its limit by rejecting."""
    name_limit("near")
    now[0] += 10.0
    for not_executed, limit in ((True, LIMIT_PER_S), (False, None)):
        server_pool.views.record_rate_limit(
            "near", make_metadata(not_executed=not_executed), from_probe=False
        )
        assert server_pool.views.rate_limit_statements == {"near": limit}


def test_limit_in_a_misdirected_response_is_not_taken(
    server_pool, route, make_metadata
):
    """Guards against the limit of another server at the same address."""
    grant = server_pool.grant(_pick(server_pool, "near"), 0.1)
    server_pool.release(
        grant,
        route=route,
        outcome=placement.AttemptOutcome.REJECTED,
        metadata=make_metadata(
            not_executed=True, misdirected=True, rate_limit=LIMIT_PER_S
        ),
        latency=0.01,
        timed_out=False,
    )
    assert server_pool.views.rate_limit_statements == {}


def test_remote_servers_count_if_all_local_ones_have_limits(
    server_pool, name_limit
):
    """Guards against rejections while servers of other regions are free."""
    name_limit("near")
    far = server_pool.views.get("far")
    assert server_pool.usable_slots(0.1) > far.slots


def test_share_is_not_computed_without_limits(
    make_server_pool, make_known_server
):
    """Guards against work for each service that grows with the region."""
    calls = []
    pool = make_server_pool(limit_share=lambda: calls.append(1) or 1.0)
    pool.configure(health_path="/health", registered=[make_known_server("a")])
    pool.views.refresh_rate_limits({})
    assert pool.views.rate_limit_statements == {}
    assert not calls
