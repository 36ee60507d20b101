"""Tests of nodes that read the store because nobody confirms their copy."""

import random
import time

import gevent
import pytest

from wigeonrouter import store as store_api
from wigeonrouter import topology
from wigeonrouter.node import _copy_keeper
from wigeonrouter.node import _store_cache
from wigeonrouter.node import conftest

# Short, so that the tests are.
BOUND_S = 0.4
BOUNDS = topology.Bounds(config_apply=BOUND_S, drain_apply=5.0)


class _ScriptedStore:
    """Feed and StoreReader of a store that may be down.

    Attributes:
      down: fail each call.
      checks: number of checks.
      reads: times at which the changes were read.
    """

    def __init__(self, freshness):
        self._freshness = freshness
        self.down = False
        self.checks = 0
        self.reads = []

    def check(self):
        self.checks += 1
        if self.down:
            raise store_api.StoreUnavailable("down")

    def catch_up(self):
        self.reads.append(time.monotonic())
        self._freshness.confirm(time.monotonic())


@pytest.fixture
def freshness():
    """Return the CopyFreshness of a node that has just started."""
    return topology.CopyFreshness(now=time.monotonic())


@pytest.fixture
def scripted_store(freshness):
    """Return the store that the node reads."""
    return _ScriptedStore(freshness)


@pytest.fixture
def keeper(freshness, scripted_store):
    """Run a CopyKeeper of a node that has a copy."""
    cache = _store_cache.StoreCache(apply=lambda *_: None)
    cache.replace_all((), store_api.Position(era=1, revision=7))
    keeper = _copy_keeper.CopyKeeper(
        freshness=freshness,
        bounds=lambda: BOUNDS,
        feed=scripted_store,
        reader=scripted_store,
        store_cache=cache,
        role=lambda: topology.Role(kind=topology.RoleKind.UNDECIDED),
        events=conftest.SilentEvents(),
        rng=random.Random(1),
        clock=time.monotonic,
    )
    task = gevent.spawn(keeper.run)
    yield keeper
    task.kill()


def test_node_reads_the_store_before_the_tightest_bound_is_over(
    keeper, scripted_store
):
    """Guards against waits for a hub that add up to more than the bound."""
    started = time.monotonic()
    gevent.sleep(BOUND_S)
    first_read = scripted_store.reads[0]
    assert 0.6 * BOUND_S <= first_read - started < BOUND_S
    assert keeper.reaches_store


def test_node_whose_hub_confirms_its_copy_does_not_read_the_store(
    keeper, freshness, scripted_store
):
    """Guards against store calls that grow with the number of nodes."""
    for _ in range(20):
        gevent.sleep(0.1 * BOUND_S)
        freshness.confirm(time.monotonic())
    assert not scripted_store.checks
    assert not keeper.reaches_store


def test_outage_of_the_store_costs_a_node_few_checks(keeper, scripted_store):
    """Guards against hundreds of nodes that all go on to call the store."""
    scripted_store.down = True
    gevent.sleep(5 * BOUND_S)
    assert scripted_store.checks == 1 and not scripted_store.reads


def test_copy_that_is_confirmed_during_an_outage_is_kept_current_after_it(
    keeper, freshness, scripted_store
):
    """Guards against a wait for the next try that outlasts the next bound."""
    scripted_store.down = True
    gevent.sleep(1.5 * BOUND_S)
    scripted_store.down = False
    freshness.confirm(time.monotonic())
    gevent.sleep(0.75 * BOUND_S + 0.25)
    assert scripted_store.reads
