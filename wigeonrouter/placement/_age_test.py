"""Tests of the age of a request."""

import random

from wigeonrouter import placement


def test_first_attempts_count_as_fresh_beside_a_patient_caller():
    """Guards against taking fresh requests for late ones.

    Replays waits of 0.85 to 1.0 of the usual time with a few callers that
    wait three times as long.
    """
    rng = random.Random(2)
    waits = placement.UsualWait()
    ages = []
    for index in range(400):
        stated = 12.0 if index % 25 == 0 else 4.0 * rng.uniform(0.85, 1.0)
        ages.append(waits.spent(stated))
    assert max(ages[20:]) < 0.1


def test_later_attempts_are_told_after_a_restart():
    """Guards against taking all waiting callers for fresh ones.

    Replays the first requests after all nodes were restarted: their callers
    have waited for seconds.
    """
    waits = placement.UsualWait(kept=4.0)
    assert waits.spent(1.5) > 1.5
    assert waits.spent(3.8) == 0.0
    assert waits.learned is None


def test_usual_time_is_learned_from_many():
    """Guards against keeping what a few callers stated."""
    waits = placement.UsualWait()
    for _ in range(99):
        waits.spent(4.0)
    assert waits.learned is None
    waits.spent(4.0)
    assert waits.learned == 4.0


def test_later_attempt_is_told_by_its_short_wait():
    """Guards against serving late requests before fresh ones."""
    rng = random.Random(3)
    waits = placement.UsualWait()
    for _ in range(100):
        waits.spent(4.0 * rng.uniform(0.85, 1.0))
    assert 1.2 < waits.spent(2.0) < 1.5
