"""Guards against retries that multiply along the call tree."""

import random

import pytest

from wigeonrouter import limits


@pytest.mark.parametrize(
    ("text", "max_attempts", "expected"),
    [
        ("", 3, 2),
        (b"", 1, 0),
        (b"0", 3, 0),
        (b"1", 3, 1),
        (b"99", 3, 2),
        (b"-1", 3, 0),
        (b"1e9", 3, 0),
        ("\u0661", 3, 0),
    ],
)
def test_a_caller_cannot_raise_its_allowance(text, max_attempts, expected):
    assert (
        limits.parse_retry_allowance(text=text, max_attempts=max_attempts)
        == expected
    )


def _call(depth, text, passes_header_up, count):
    """Count the calls of a leaf that rejects each of them."""
    if depth == 0:
        count[0] += 1
        return "0"
    allowance = limits.parse_retry_allowance(text=text, max_attempts=3)
    attempt = 0
    while True:
        attempt += 1
        downstream = limits.downstream_retry_allowance(
            allowance=allowance, attempt=attempt
        )
        response = _call(depth - 1, str(downstream), passes_header_up, count)
        if passes_header_up and depth > 1:
            allowance = limits.retry_allowance_after_rejection(
                allowance=allowance, text=response
            )
        if allowance <= 0:
            return "0"
        allowance -= 1


@pytest.mark.parametrize(
    ("passes_header_up", "max_runs"), [(True, 3), (False, 1 + 2 * 15)]
)
def test_retries_do_not_multiply_over_15_levels(passes_header_up, max_runs):
    """Without the header a rejecting leaf would be called 3 ** 15 times."""
    count = [0]
    _call(15, "", passes_header_up, count)
    assert 1 < count[0] <= max_runs


def test_the_budget_allows_what_a_naive_count_allows():
    """Differential test: tokens against sums over the whole history."""
    rng = random.Random(5)
    budget = limits.RetryBudget(ratio=0.1)
    requests = retries = 0
    for _ in range(5000):
        if rng.random() < 0.8:
            budget.on_request()
            requests += 1
        elif budget.try_spend():
            retries += 1
        assert retries <= 3 + 0.1 * requests + 1e-6
    assert retries >= 0.1 * requests


def test_a_ratio_of_zero_allows_no_retry():
    assert not limits.RetryBudget(ratio=0.0).try_spend()
