"""Tests of the selection of the hub and of home nodes."""

import collections
import dataclasses
import itertools
import random

import pytest

from wigeonrouter import topology
from wigeonrouter.topology import conftest

Kind = topology.RoleKind
HubAction = topology.HubAction
ORDER = ["a", "b", "c"]
peer = conftest.peer


def role(kind, hub="", store_reachable=True):
    return topology.Role(kind=kind, hub=hub, store_reachable=store_reachable)


def decide(own_host, roles, *, excluded_hosts=(), reaches_store=True):
    return topology.decide_role(
        own_host=own_host,
        order=ORDER,
        roles=roles,
        excluded_hosts=frozenset(excluded_hosts),
        reaches_store=reaches_store,
    )


def test_existing_hub_is_kept():
    """Guards against a returning node that takes over the role of the hub."""
    decision = decide("a", {"c": role(Kind.HUB, "c")})
    assert (decision.action, decision.hub) == (HubAction.FOLLOW, "c")


def test_hub_is_found_through_its_followers():
    """Guards against a second hub if the first one was not queried."""
    decision = decide("a", {"b": role(Kind.FOLLOWER, "c")})
    assert (decision.action, decision.hub) == (HubAction.FOLLOW, "c")


def test_first_alive_node_becomes_the_hub():
    """Guards against a region without a hub, or with several."""
    roles = {"a": role(Kind.UNDECIDED), "c": role(Kind.UNDECIDED)}
    assert decide("b", roles).action is HubAction.WAIT
    roles = {"c": role(Kind.UNDECIDED)}
    assert decide("b", roles).action is HubAction.BECOME_HUB


def test_followers_of_a_hub_without_store_are_not_waited_for():
    """Guards against a node without a hub for seconds.

    A hub and its follower were cut off from the store while this node reached
    it. The node waited for the follower, which kept its role.
    """
    roles = {
        "a": role(Kind.FOLLOWER, "c", store_reachable=False),
        "c": role(Kind.HUB, "c", store_reachable=False),
    }
    decision = decide("b", roles, excluded_hosts=["c"])
    assert decision.action is HubAction.BECOME_HUB


def test_any_hub_is_accepted_while_the_store_is_down():
    """Guards against a region that splits when the store is unavailable."""
    roles = {"c": role(Kind.HUB, "c", store_reachable=False)}
    decision = decide("a", roles, reaches_store=False)
    assert (decision.action, decision.hub) == (HubAction.FOLLOW, "c")


def test_failed_hub_is_not_followed():
    """Guards against following a hub that has just failed."""
    roles = {"c": role(Kind.FOLLOWER, "a")}
    decision = decide("b", roles, excluded_hosts=["a"])
    assert decision.action is HubAction.BECOME_HUB


@pytest.mark.parametrize(
    ("own_host", "other", "expected"),
    [("b", "a", True), ("a", "b", False), ("b", "c", False)],
)
def test_of_two_hubs_the_first_in_order_stays(own_host, other, expected):
    """Guards against two hubs that both stay, or both step down."""
    roles = {other: role(Kind.HUB, other)}
    assert (
        topology.should_step_down(own_host=own_host, order=ORDER, roles=roles)
        is expected
    )


def test_homes_are_ready_and_of_large_capacity():
    """Guards against sending a region's callers to its smallest VM."""
    peers = [
        peer("a", ready=False),
        peer("b", capacity=430),
        peer("c", capacity=2150),
        peer("d", capacity=1500),
    ]
    for service in ("x", "y", "z"):
        homes = topology.home_nodes(service=service, peers=peers, count=2)
        assert {home.host for home in homes} == {"c", "d"}


def test_homes_change_only_when_their_node_fails():
    """Guards against moving all callers when another node fails."""
    peers = [peer(host) for host in "abcdef"]
    for service in ("x", "y", "z"):
        (home,) = topology.home_nodes(service=service, peers=peers, count=1)
        others = [p for p in peers if p.host != home.host]
        for failed in others:
            remaining = [p for p in peers if p != failed]
            assert topology.home_nodes(
                service=service, peers=remaining, count=1
            ) == (home,)


def test_few_followers_check_a_store_that_does_not_respond():
    """Guards against calls to the store that grow with the region.

    While the store was down for 8 s, the followers of three regions with 104
    nodes made 2,200 of 3,100 calls of a whole day. Each of them has to check
    at times, because the store may reject some nodes only.
    """
    hosts = [f"192.0.2.{number}" for number in range(104)]
    order = topology.candidate_order("north", hosts)
    rng = random.Random(1)
    rounds = 1000
    checks = collections.Counter(
        host
        for _ in range(rounds)
        for host in hosts
        if topology.should_check_store(
            own_host=host, candidates=order, rng=rng
        )
    )
    assert checks.total() / rounds < 5
    assert checks[order[0]] == rounds
    assert all(checks[host] for host in hosts)


@pytest.mark.parametrize("count", [2, 5, 16])
def test_small_region_checks_the_store_with_every_follower(count):
    """Guards against a region without a node that notices the store.

    The store rejected the hub and another node of five, and two were stopping.
    The fifth one checked at random, and a change was not in force in time.
    """
    hosts = [f"192.0.2.{number}" for number in range(count)]
    order = topology.candidate_order("north", hosts)
    rng = random.Random(1)
    for _ in range(100):
        assert all(
            topology.should_check_store(
                own_host=host, candidates=order, rng=rng
            )
            for host in order
        )


def test_end_of_a_limit_goes_before_limits_of_other_peers():
    """Guards against a limit that holds until the last node forgets it."""
    stated = [{"a": 2.0, "b": 3.0}, {"a": None}, {"a": 4.0, "b": 1.0}]
    peers = [
        dataclasses.replace(peer(f"host-{number}"), rate_limits=limits)
        for number, limits in enumerate(stated)
    ]
    for order in itertools.permutations(peers):
        merged = topology.merge_rate_limits(order)
        assert merged == {"a": None, "b": 1.0}


def _hosts(peers):
    return {peer.host for peer in peers}


def test_home_is_no_node_without_servers():
    """Guards against callers that are sent to a node which is cut off."""
    peers = [peer("a", reaches_servers=False), peer("b")]
    for service in ("one", "two", "three", "four"):
        homes = topology.home_nodes(service=service, peers=peers, count=2)
        assert _hosts(homes) == {"b"}
    all_cut = [peer("a", reaches_servers=False)]
    assert topology.home_nodes(service="one", peers=all_cut, count=1)


def test_requests_are_passed_on_to_nodes_that_take_them():
    """Guards against requests that go to a node which cannot serve them."""
    peers = [
        peer("own"),
        peer("able"),
        peer("cut", reaches_servers=False),
        peer("old", forwarding_address=""),
        peer("stopping", ready=False),
    ]
    chosen = topology.forwarding_peers(
        service="one", peers=peers, own_host="own", count=3
    )
    assert _hosts(chosen) == {"able"}


def test_home_is_asked_first():
    """Guards against queues at several nodes while some are cut off."""
    peers = [peer(host) for host in ("a", "b", "c", "own")]
    for service in ("one", "two", "three", "four"):
        (home,) = topology.home_nodes(service=service, peers=peers, count=1)
        first, *_ = topology.forwarding_peers(
            service=service, peers=peers, own_host="own", count=3
        )
        assert home.host in (first.host, "own")


@pytest.mark.parametrize("ready", [True, False])
@pytest.mark.parametrize("roster_age", [0.5, 1.5])
def test_node_with_an_old_roster_names_at_most_itself(ready, roster_age):
    """Guards against a directory that goes on to name nodes that are gone.

    The node that is asked is cut off from its hub.
    """
    own = peer("own", capacity=400, ready=ready)
    entries = topology.entry_nodes(
        service="x",
        peers=[own, peer("other", capacity=2000)],
        own_host="own",
        count=1,
        roster_age=roster_age,
        max_age=1.2,
    )
    named = [entry.host for entry in entries]
    if roster_age < 1.2:
        assert named == ["other"]
    else:
        assert named == (["own"] if ready else [])
