"""Tests of the age of a node's copy of the store."""

from wigeonrouter import topology


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
