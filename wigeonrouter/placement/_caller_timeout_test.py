"""Tests of the age of a request as estimated from its timeout."""

import random

from wigeonrouter import placement


def test_a_few_long_timeouts_do_not_age_first_attempts():
    """Guards against treating first attempts as late.

    Most callers state 0.85 to 1.0 of the usual timeout, a few state three
    times the usual timeout.
    """
    rng = random.Random(2)
    estimate = placement.CallerTimeoutEstimate()
    ages = []
    for index in range(400):
        stated = 12.0 if index % 25 == 0 else 4.0 * rng.uniform(0.85, 1.0)
        ages.append(estimate.estimate_age(stated))
    assert max(ages[20:]) < 0.1


def test_retries_are_recognized_after_a_restart():
    """Guards against treating retries as first attempts.

    After all nodes were restarted, the callers of the first requests have
    already waited for seconds.
    """
    estimate = placement.CallerTimeoutEstimate(stored=4.0)
    assert estimate.estimate_age(1.5) > 1.5
    assert estimate.estimate_age(3.8) == 0.0
    assert estimate.learned_timeout is None


def test_timeout_is_learned_from_many_samples():
    """Guards against storing a timeout that only a few callers stated."""
    estimate = placement.CallerTimeoutEstimate()
    for _ in range(99):
        estimate.estimate_age(4.0)
    assert estimate.learned_timeout is None
    estimate.estimate_age(4.0)
    assert estimate.learned_timeout == 4.0


def test_retry_is_recognized_by_its_short_timeout():
    """Guards against serving late requests before first attempts."""
    rng = random.Random(3)
    estimate = placement.CallerTimeoutEstimate()
    for _ in range(100):
        estimate.estimate_age(4.0 * rng.uniform(0.85, 1.0))
    assert 1.2 < estimate.estimate_age(2.0) < 1.5
