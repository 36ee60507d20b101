"""Tests of the age of a node's copy of the store."""

import random

import hypothesis
from hypothesis import strategies

from wigeonrouter import topology

_BOUNDS_S = strategies.floats(0.4, 60.0)


def test_age_counts_from_the_start_until_the_copy_is_confirmed():
    """Guards against a node that starts and reads the store needlessly."""
    freshness = topology.CopyFreshness(now=100.0)
    assert freshness.age(101.5) == 1.5
    assert freshness.proven_age(101.5) is None


def test_late_proof_of_an_earlier_time_does_not_raise_the_age():
    """Guards against a heartbeat of the last hub that comes late."""
    freshness = topology.CopyFreshness(now=100.0)
    freshness.confirm(110.0)
    freshness.confirm(109.0)
    assert freshness.age(111.0) == freshness.proven_age(111.0) == 1.0


def test_proof_of_before_the_start_counts_its_whole_age():
    """Guards against a new follower that takes an old copy for current."""
    freshness = topology.CopyFreshness(now=100.0)
    freshness.confirm(97.0)
    assert freshness.age(100.0) == 3.0


@hypothesis.given(_BOUNDS_S, _BOUNDS_S, strategies.integers())
def test_node_has_a_quarter_of_the_tightest_bound_left_for_its_read(
    config_apply, drain_apply, seed
):
    """Guards against a node that begins to read when the bound is over."""
    age = topology.catch_up_age(
        bounds=topology.Bounds(
            config_apply=config_apply, drain_apply=drain_apply
        ),
        rng=random.Random(seed),
    )
    assert 0.2 <= age <= 0.75 * min(config_apply, drain_apply)


def test_nodes_of_a_region_begin_at_different_times():
    """Guards against hundreds of reads at the same moment."""
    rng = random.Random(1)
    bounds = topology.Bounds(config_apply=2.0, drain_apply=3.0)
    ages = [topology.catch_up_age(bounds=bounds, rng=rng) for _ in range(100)]
    assert max(ages) - min(ages) > 0.25


def test_bound_of_zero_does_not_let_a_node_read_without_pause():
    """Guards against a settings file that makes a node call all the time."""
    bounds = topology.Bounds(config_apply=0.0)
    assert topology.catch_up_age(bounds=bounds, rng=random.Random(1)) > 0.1
