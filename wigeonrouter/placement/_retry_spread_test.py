"""Replays when the callers of a rejected burst return."""

import collections
import random

import pytest

from wigeonrouter import placement

CALLERS = 60


@pytest.fixture
def spread():
    """Return a RetrySpread with a fixed seed."""
    return placement.RetrySpread(rng=random.Random(1))


@pytest.mark.parametrize("tenant", ["", "a"])
@pytest.mark.parametrize("wait", [0.0, 0.2, 0.8, 5.0, float("inf")])
@pytest.mark.parametrize("time_left", [0.01, 0.6, 1.5, 60.0])
def test_callers_are_told_a_time_that_they_can_wait(
    spread, tenant, wait, time_left
):
    """Guards against callers that all return at the end of their patience."""
    times = [
        spread.retry_after(tenant=tenant, wait=wait, time_left=time_left)
        for _ in range(CALLERS)
    ]
    assert min(times) >= placement.MIN_RETRY_AFTER_S
    assert max(times) <= max(
        placement.MIN_RETRY_AFTER_S,
        min(placement.MAX_RETRY_AFTER_S, 1.5 * wait, time_left / 3),
    )
    if min(wait, time_left) >= 0.5:
        assert len({round(time, 4) for time in times}) > CALLERS / 2


def test_callers_of_a_tenant_return_evenly(spread):
    """Guards against callers of one tenant that are rejected together again.

    The tenant's callers are rejected in between those of others.
    """
    wait, buckets = 1.0, collections.Counter()
    for number in range(3 * CALLERS):
        tenant = ("a", "b", "")[number % 3]
        time = spread.retry_after(tenant=tenant, wait=wait, time_left=9.0)
        if tenant == "a":
            buckets[int((time - 0.5 * wait) / (wait / 10))] += 1
    assert max(buckets.values()) - min(buckets.values()) <= 2
    assert len(buckets) == 10


def test_forgotten_tenants_cost_no_memory(spread):
    """Guards against memory that grows with each tenant's name."""
    for number in range(5000):
        spread.retry_after(tenant=f"t{number}", wait=1.0, time_left=9.0)
    assert len(spread._positions) <= 1000
