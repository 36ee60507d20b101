"""Tests of the quota rule for all nodes together, while parts fail.

Each looks at every window of a simulation: what all nodes, connected or not,
sent and had executed stays within the limit of each tenant.
"""

import random

import pytest

from wigeonrouter import topology
from wigeonrouter.node import testing

_SEEDS = range(40)
_FAULTS = ("kill", "kill hub", "freeze", "freeze hub", "split", "split hub")
_FAULTS_OF_ALL = ("kill all", "stop in turn")


def _tenant(name, rate, burst):
    return topology.Tenant(name=name, api_keys=(), rate=rate, burst=burst)


STEADY = _tenant("steady", 40, 10)
HEAVY = _tenant("heavy", 40, 10)
SMALL = _tenant("small", 1, 0)
_TENANTS = (STEADY, HEAVY, SMALL)
# Requests per second: usual, at seven times the limit, and few.
_DEMAND = {"steady": 25, "heavy": 280, "small": 0.6}


def _world(seed=1, **changes):
    return testing.World(
        **{
            "seed": seed,
            "tenants": _TENANTS,
            "demand": dict(_DEMAND),
            "delays": (0.0,),
        }
        | changes
    )


def _assert_rule(world):
    for tenant in _TENANTS:
        assert world.largest_excess(tenant) <= 0, tenant.name


def _sent_per_second(world, tenant, start):
    count = sum(time >= start for time in world.sent[tenant.name])
    return count / (world.now - start)


@pytest.mark.parametrize("regions", [("r1",), ("r1", "r2", "r3")])
@pytest.mark.parametrize("homes", [1, 3])
def test_limit_is_used_and_not_exceeded(regions, homes):
    """Guards against utility that is lost below the limit.

    The nodes differ in their part of the demand. One in ten requests is
    rejected by its server and does not count.
    """
    world = _world(regions=regions, homes=homes)
    world.run(10)
    world.rejected.clear()
    start = world.now
    world.run(20)
    _assert_rule(world)
    assert _sent_per_second(world, HEAVY, start) >= 0.95 * HEAVY.rate
    assert world.rejected["steady"] <= 0.02 * 25 * 20
    assert world.rejected["small"] <= 2


def _kill_hub(world):
    world.kill(world.hub_of("r1"))


def _pause_hub(world):
    world.freeze(world.hub_of("r1"), 6.0)


def _pause_hub_shortly(world):
    world.freeze(world.hub_of("r1"), 1.1)


def _suspend_node(world):
    hub = world.hub_of("r1")
    world.freeze(next(n for n in world.nodes if n is not hub), 4.0)


def _partition_node(world):
    hub = world.hub_of("r1")
    world.split({next(n for n in world.nodes if n is not hub).host})


def _partition_hub(world):
    """Let two hubs grant at once."""
    world.split({world.hub_of("r1").host})


def _halve_region(world):
    world.split({node.host for node in world.nodes[:2]})


@pytest.mark.parametrize(
    "fault",
    [
        _kill_hub,
        _pause_hub,
        _pause_hub_shortly,
        _suspend_node,
        _partition_node,
        _partition_hub,
        _halve_region,
    ],
)
@pytest.mark.parametrize("seed", range(5))
def test_limit_holds_through_a_fault_and_its_end(fault, seed):
    """Guards against tokens that count twice, or no more, after a fault."""
    world = _world(seed)
    world.run(8)
    fault(world)
    world.run(7)
    world.split(())
    world.run(8)
    world.rejected.clear()
    world.run(8)
    _assert_rule(world)
    assert world.rejected["steady"] <= 0.02 * 25 * 8


def _kill_all(world):
    for node in world.nodes:
        world.kill(node, seconds=0.5)


def _stop_in_turn(world):
    """Stop all nodes, the hubs last, before the first one is back."""
    for node in sorted(world.nodes, key=lambda node: node.is_hub):
        world.stop(node)
        world.run(0.6)


@pytest.mark.parametrize("end_all", [_kill_all, _stop_in_turn])
@pytest.mark.parametrize("regions", [("r1",), ("r1", "r2", "r3")])
@pytest.mark.parametrize("rush", [0.5, 2.5, 8.0])
def test_limit_holds_after_all_nodes_that_knew_have_ended(
    end_all, regions, rush
):
    """Guards against a quota that is granted again by the next ledger.

    A tenant has been idle, sends several times its limit, and then no node
    is left that knows what was granted.
    """
    world = _world(regions=regions, nodes=3)
    world.demand["heavy"] = 0
    world.run(12)
    world.demand["heavy"] = 280
    world.run(rush)
    end_all(world)
    world.run(8)
    _assert_rule(world)


@pytest.mark.parametrize("seed", range(3))
def test_limit_holds_when_the_last_node_has_granted_alone(seed):
    """Guards against a rolling stop whose last hub hands over to nobody.

    A tenant begins to send when only that node is left.
    """
    world = _world(seed, nodes=3)
    world.demand["heavy"] = 0
    world.run(12)
    *first, last = sorted(world.nodes, key=lambda node: node.is_hub)
    for node in first:
        world.stop(node)
        world.run(1.0)
    world.callers = {"r1": 3.0}
    world.demand["heavy"] = 280
    world.run(0.3)
    world.stop(last)
    world.run(10)
    _assert_rule(world)


def test_even_demand_is_served_after_all_nodes_have_ended():
    """Guards against tenants that are refused for a window after a loss."""
    world = _world(nodes=3)
    world.run(20)
    _kill_all(world)
    world.run(1.0)
    world.rejected.clear()
    world.run(10)
    _assert_rule(world)
    assert world.rejected["steady"] <= 0.1 * 25 * 10


def test_other_regions_keep_to_their_shares_when_one_is_lost():
    """Guards against a lost region whose share others take while it sends."""
    world = _world(regions=("r1", "r2"))
    world.run(8)
    world.split({node.host for node in world.nodes if node.region == "r1"})
    world.run(10)
    _assert_rule(world)


@pytest.mark.parametrize("loss_ratio", [0.0, 0.2])
@pytest.mark.parametrize("seed", range(4))
def test_quota_follows_the_callers_to_another_region(seed, loss_ratio):
    """Guards against callers that are rejected while the limit is unused.

    Also after lost writes and replies of the store, no part counts twice.
    """
    world = _world(seed, regions=("r1", "r2", "r3"), nodes=3)
    world.store.loss_ratio = loss_ratio
    world.run(6)
    for region in ("r1", "r2"):
        world.callers = {"r1": 0.05, "r2": 0.05, "r3": 0.05, region: 0.9}
        world.run(30)
        world.rejected.clear()
        world.run(8)
        assert world.rejected["steady"] <= 0.06 * 25 * 8
    _assert_rule(world)


@pytest.mark.parametrize("seed", range(10))
def test_transfers_and_faults_together_keep_to_the_limit(seed):
    """Guards against a share that counts twice when its hub is lost."""
    rng = random.Random(seed)
    regions = ("r1", "r2")
    world = _world(seed, regions=regions, nodes=3)
    world.store.loss_ratio = 0.2
    for _ in range(8):
        first = rng.random()
        world.callers = {"r1": first, "r2": 1 - first}
        hub = world.hub_of(rng.choice(regions)) or world.nodes[0]
        rng.choice((world.kill, lambda node: world.freeze(node, 4.0)))(hub)
        world.run(rng.uniform(2.0, 6.0))
    _assert_rule(world)


@pytest.mark.parametrize("seed", _SEEDS)
def test_limit_holds_in_any_order_of_faults_and_messages(seed):
    """Guards against requests beyond the limit in orders not thought of.

    Messages are late, in half of the runs, or arrive twice; links, nodes
    and hubs fail for a while, also several at once, all nodes are killed or
    stop in turn, and the demand of a tenant begins and ends.
    """
    rng = random.Random(seed)
    delays = (0.0, 0.0, 0.0, 0.02, 0.3) if seed % 2 else (0.0,)
    world = _world(seed, delays=delays)
    world.run(4)
    for _ in range(10):
        fault = rng.choice(_FAULTS + _FAULTS_OF_ALL)
        node = rng.choice(world.nodes)
        if "hub" in fault:
            node = world.hub_of("r1") or node
        if fault == "kill all":
            _kill_all(world)
        elif fault == "stop in turn":
            _stop_in_turn(world)
        elif "kill" in fault:
            world.kill(node)
        elif "freeze" in fault:
            world.freeze(node, rng.uniform(0.3, 8.0))
        else:
            world.split({node.host, rng.choice(world.nodes).host})
        world.demand["heavy"] = rng.choice((0, 60, 280))
        world.run(rng.uniform(0.2, 4.0))
        if rng.random() < 0.5:
            world.split(())
    world.run(3)
    _assert_rule(world)
