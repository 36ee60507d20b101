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


def _call(depth, text, relays, count):
    """Count the runs of a leaf that refuses each call."""
    if depth == 0:
        count[0] += 1
        return "0"
    allowance = limits.parse_retry_allowance(text=text, max_attempts=3)
    attempt = 0
    while True:
        attempt += 1
        below = limits.downstream_retry_allowance(
            allowance=allowance, attempt=attempt
        )
        answer = _call(depth - 1, str(below), relays, count)
        if relays and depth > 1:
            allowance = limits.retry_allowance_after_rejection(
                allowance=allowance, text=answer
            )
        if allowance <= 0:
            return "0"
        allowance -= 1


@pytest.mark.parametrize(("relays", "most"), [(True, 3), (False, 1 + 2 * 15)])
def test_retries_do_not_multiply_over_15_levels(relays, most):
    """Without the header a refusing leaf would run 3 ** 15 times."""
    count = [0]
    _call(15, "", relays, count)
    assert 1 < count[0] <= most


def test_the_budget_allows_what_a_naive_count_allows():
    """Differential: tokens against sums over the whole history."""
    rng = random.Random(5)
    budget = limits.RetryBudget(ratio=0.1)
    requests = spent = 0
    for _ in range(5000):
        if rng.random() < 0.8:
            budget.on_request()
            requests += 1
        elif budget.try_spend():
            spent += 1
        assert spent <= 3 + 0.1 * requests + 1e-6
    assert spent >= 0.1 * requests


def test_no_ratio_means_no_retry():
    assert not limits.RetryBudget(ratio=0.0).try_spend()
