"""Tests of the retry budget."""

import hypothesis
from hypothesis import strategies

from wigeonrouter import placement


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.floats(min_value=0, max_value=0.5),
            strategies.booleans(),
        ),
        max_size=200,
    )
)
def test_no_window_exceeds_the_ratio(steps):
    """Guards against a window with more retries than its requests allow."""
    budget = placement.RetryBudget(ratio=0.2, window=10.0)
    now, requests, retries = 0.0, [], []
    for pause, is_request in steps:
        now += pause
        if is_request:
            budget.on_request(now)
            requests.append(now)
        elif budget.try_spend(now):
            retries.append(now)
            oldest = now - 10.0
            in_window = sum(time >= oldest for time in retries)
            allowed = 0.2 * sum(time >= oldest for time in requests) + 1
            assert in_window <= allowed


def test_requests_refill_the_budget():
    """Guards against a service that never retries again after a burst."""
    budget = placement.RetryBudget(ratio=0.2, window=10.0)
    assert budget.try_spend(0.0)
    assert not budget.try_spend(0.0)
    for _ in range(5):
        budget.on_request(1.0)
    assert budget.try_spend(1.0)
