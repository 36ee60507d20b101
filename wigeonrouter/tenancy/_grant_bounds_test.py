"""Tests of the bounds on what ledgers grant within any time."""

import hypothesis
from hypothesis import strategies
import pytest

from wigeonrouter import tenancy
from wigeonrouter.tenancy import _grant_bounds

WINDOW_S = 5.0
QUOTA = 100
RATE = 16.0


def _bound(level, **changes):
    return _grant_bounds.make_bound(
        **{"quota": QUOTA, "rate": RATE, "level": level} | changes
    )


def _levels(level=100, **changes):
    return tenancy.GrantLevels(
        **{
            "quota": QUOTA,
            "rate": RATE,
            "level": level,
            "begun": True,
            "prior": 0,
        }
        | changes
    )


@hypothesis.given(
    steps=strategies.lists(
        strategies.tuples(strategies.floats(0, 3), strategies.integers(0, 40)),
        max_size=30,
    ),
    level=strategies.sampled_from([100, 160, 640]),
    begun=strategies.booleans(),
)
def test_grants_in_any_time_keep_to_the_bound(steps, level, begun):
    """Guards against more grants than the next ledger takes as granted.

    New ledgers take over on the way; each that has begun has its own burst.
    """
    now, granted, grants = 0.0, [], None
    starts = len(steps) // 7 if begun else 0
    bound = _bound(level, starts=starts)
    levels = _levels(level, begun=begun)
    for number, (pause, wanted) in enumerate(steps):
        now += pause
        if number % 7 == 0:
            grants = _grant_bounds.BoundedGrants(levels=levels, since=now)
        grants.apply(levels)
        count = grants.allow(wanted, now)
        grants.take(count, now)
        granted.append((now, count))
    for first, (began, _) in enumerate(granted):
        total = 0
        for at, count in granted[first:]:
            total += count
            assert total <= bound.within(at - began) + 1e-6


@pytest.mark.parametrize(("quota", "rate"), [(7.3, 0.33), (91, 13), (314, 48)])
def test_default_bound_allows_the_usual_demand_after_a_loss(quota, rate):
    """Guards against tenants that are refused for a window after a loss.

    They use 0.6 of their rate. What was granted before fades as fast.
    """
    bound = _bound(tenancy.DEFAULT_LEVEL, quota=quota, rate=rate)
    counted = WINDOW_S + tenancy.TOKEN_LIFETIME_S
    assert bound.within(counted - 0.5) <= quota
    assert bound.rate >= 0.6 * rate


@pytest.fixture
def grants():
    """Return the BoundedGrants of a tenant with the default level."""
    return _grant_bounds.BoundedGrants(levels=_levels(), since=0.0)


def test_higher_level_is_wanted_for_what_is_refused(grants):
    """Guards against callers that are refused while the quota is unused."""
    assert grants.allow(20, 0.0) == 20
    grants.take(20, 0.0)
    assert grants.wanted_level(0.0) == 100
    assert grants.allow(10, 0.0) == 5
    grants.take(5, 0.0)
    level = grants.wanted_level(0.0)
    grants.apply(_levels(level))
    assert level > 100 and grants.allow(5, 0.0) == 5


def test_new_ledger_has_no_burst_until_the_store_has_it(grants):
    """Guards against two bursts where the next ledger counts one."""
    unwritten = _levels(begun=False)
    grants = _grant_bounds.BoundedGrants(levels=unwritten, since=0.0)
    assert grants.allow(20, 0.0) == 0
    assert grants.wanted_level(0.0) == 100
    grants.apply(_levels())
    assert grants.allow(20, 0.0) == 20


def test_level_falls_when_the_demand_has_been_low_for_long(grants):
    """Guards against a quota that counts as used long after a rush."""
    grants.apply(_levels(250))
    grants.take(grants.allow(40, 0.0), 0.0)
    assert grants.wanted_level(9.0) == 250
    grants.take(grants.allow(5, 11.0), 11.0)
    level = grants.wanted_level(12.0)
    assert level < 100
    grants.apply(_levels(level))
    assert grants.allow(3, 12.0) == 3


def test_demand_that_has_ended_wants_no_higher_level(grants):
    """Guards against an idle tenant whose level rises to the top."""
    assert grants.allow(60, 0.0) < 60
    assert grants.wanted_level(0.5) > 100
    assert grants.wanted_level(5.0) <= 100


def test_changed_limit_leaves_what_is_unused(grants):
    """Guards against refusals after a change of a tenant's limit."""
    grants.apply(_levels(quota=2 * QUOTA))
    assert grants.allow(40, 0.0) == 40
