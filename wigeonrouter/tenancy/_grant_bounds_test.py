"""Tests of the bounds on what ledgers grant within any time."""

import math

import hypothesis
from hypothesis import strategies
import pytest

from wigeonrouter import tenancy
from wigeonrouter.tenancy import _grant_bounds

WINDOW_S = 5.0
QUOTA = 100
_COUNTED_S = WINDOW_S + tenancy.TOKEN_LIFETIME_S


def _bound(level, quota=QUOTA):
    return _grant_bounds.make_bound(
        quota=quota, level=level, seconds=_COUNTED_S
    )


def _levels(level=100, prior=0):
    return tenancy.GrantLevels(quota=QUOTA, level=level, prior=prior)


@hypothesis.given(
    steps=strategies.lists(
        strategies.tuples(strategies.floats(0, 3), strategies.integers(0, 40)),
        max_size=30,
    ),
    level=strategies.sampled_from([100, 200, 640]),
)
def test_grants_in_any_time_keep_to_the_bound(steps, level):
    """Guards against more grants than the next ledger takes as granted.

    A new ledger takes over in the middle.
    """
    bound, now, granted, grants = _bound(level), 0.0, [], None
    for number, (pause, wanted) in enumerate(steps):
        now += pause
        if number % 7 == 0:
            grants = _grant_bounds.BoundedGrants(seconds=_COUNTED_S, since=now)
        grants.apply(_levels(level), now)
        count = grants.allow(wanted, now)
        grants.take(count, now)
        granted.append((now, count))
    for first, (began, _) in enumerate(granted):
        total = 0
        for at, count in granted[first:]:
            total += count
            assert total <= bound.within(at - began) + 1e-6


@pytest.mark.parametrize("quota", [1, 7, 25, 300])
def test_default_bound_leaves_a_part_of_the_quota(quota):
    """Guards against a quota that is not usable after a loss of all nodes."""
    bound = _bound(tenancy.DEFAULT_LEVEL, quota)
    assert bound.within(_COUNTED_S) <= 0.75 * quota + 1e-9
    assert bound.within(1e9) == math.inf or bound.rate > 0


def test_higher_level_is_wanted_before_the_demand_is_refused():
    """Guards against callers that wait for the store at each rise."""
    grants = _grant_bounds.BoundedGrants(seconds=_COUNTED_S, since=-math.inf)
    grants.apply(_levels(), 0.0)
    assert grants.allow(8, 0.0) == 8
    grants.take(8, 0.0)
    assert grants.wanted_level(0.0) > 100
    grants.apply(_levels(level=grants.wanted_level(0.0)), 0.0)
    assert grants.allow(4, 0.0) == 4


def test_level_falls_when_the_demand_has_been_low_for_long():
    """Guards against a quota that counts as used long after a rush."""
    grants = _grant_bounds.BoundedGrants(seconds=_COUNTED_S, since=-math.inf)
    grants.apply(_levels(level=200), 0.0)
    grants.take(grants.allow(20, 0.0), 0.0)
    assert grants.wanted_level(9.0) == 200
    assert grants.wanted_level(30.0) == 160
    grants.apply(_levels(level=160), 30.0)
    assert grants.allow(10, 30.0) == 10


def test_demand_that_has_ended_wants_no_higher_level():
    """Guards against an idle tenant whose level rises to the top."""
    grants = _grant_bounds.BoundedGrants(seconds=_COUNTED_S, since=-math.inf)
    grants.apply(_levels(), 0.0)
    assert grants.allow(60, 0.0) < 60
    assert grants.wanted_level(0.5) > 100
    assert grants.wanted_level(5.0) == 100


def test_changed_limit_leaves_what_is_unused():
    """Guards against refusals after a change of a tenant's limit."""
    grants = _grant_bounds.BoundedGrants(seconds=_COUNTED_S, since=-math.inf)
    grants.apply(_levels(), 0.0)
    raised = tenancy.GrantLevels(quota=2 * QUOTA, level=100, prior=0)
    grants.apply(raised, 0.0)
    assert grants.allow(20, 0.0) == 20
