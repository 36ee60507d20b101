"""Guards admission control, concurrency limits and spill-over.

Compares them with tables of cases and with naive versions of the rules.
"""

import random

import pytest

from wigeonrouter import limits

_HOLD = limits.HoldTime(mean=0.010, deviation=0.005)


@pytest.mark.parametrize(
    ("ahead", "slots", "remaining", "admitted"),
    [
        (0, 2, 0.016, True),
        (0, 2, 0.014, False),
        (19, 2, 0.111, True),
        (19, 2, 0.109, False),
        (19, 20, 0.021, True),
        (0, 0, 0.019, False),
    ],
)
def test_requests_that_cannot_meet_the_deadline_are_rejected(
    ahead, slots, remaining, admitted
):
    wait = limits.expected_wait(ahead=ahead, slots=slots, hold_time=_HOLD)
    assert admitted == limits.can_meet_deadline(
        remaining=remaining, wait=wait, hold_time=_HOLD
    )


@pytest.mark.parametrize("slots", [1, 2, 7, 40])
@pytest.mark.parametrize("ahead", [0, 1, 5, 100])
def test_the_expected_wait_equals_that_of_simulated_slots(ahead, slots):
    """Differential test against slots that serve requests one by one."""
    free = [index * _HOLD.mean / slots for index in range(1, slots + 1)]
    for _ in range(ahead):
        free.sort()
        free[0] += _HOLD.mean
    wait = limits.expected_wait(ahead=ahead, slots=slots, hold_time=_HOLD)
    assert wait == pytest.approx(min(free))


def test_the_hold_time_follows_the_mean():
    rng = random.Random(3)
    hold_time = limits.HoldTime()
    for _ in range(2000):
        hold_time = limits.update_hold_time(hold_time, rng.uniform(0.02, 0.04))
    assert hold_time.mean == pytest.approx(0.03, rel=0.1)
    assert hold_time.deviation == pytest.approx(0.005, rel=0.2)


def test_spill_over_does_not_flap_between_the_thresholds():
    spilling_over, changes = False, 0
    for step in range(200):
        wait = 0.030 + 0.009 * (-1) ** step
        after = limits.should_spill_over(
            spilling_over=spilling_over, expected_wait=wait, price=0.040
        )
        changes += after != spilling_over
        spilling_over = after
    assert changes == 0


@pytest.mark.parametrize(
    ("waits", "expected"),
    [
        ((0.01, 0.03, 0.041), (False, False, True)),
        ((0.05, 0.03, 0.021, 0.019), (True, True, True, False)),
        ((0.05, 0.019, 0.03), (True, False, False)),
    ],
)
def test_spill_over_starts_at_the_price_and_stops_at_half(waits, expected):
    spilling_over, seen = False, []
    for wait in waits:
        spilling_over = limits.should_spill_over(
            spilling_over=spilling_over, expected_wait=wait, price=0.040
        )
        seen.append(spilling_over)
    assert tuple(seen) == expected


@pytest.mark.parametrize(
    ("slots", "regions", "expected"),
    [(14, 3, 2), (12, 3, 1), (100, 2, 30), (100, 8, 4), (2, 8, 1)],
)
def test_requests_of_other_regions_stay_within_their_share(
    slots, regions, expected
):
    """Otherwise a region that fails overloads the next one."""
    allowed = limits.remote_request_limit(slots=slots, regions=regions)
    assert allowed == expected
    assert allowed == 1 or allowed * (regions - 1) <= 0.3 * slots


@pytest.mark.parametrize(
    ("latency", "queued", "responses", "expected"),
    [
        (0.05, False, 10, 1.0),
        (0.05, True, 10, 2.0),
        (0.019, False, 10, 2.0),
        (0.05, False, 1, 1.5),
    ],
)
def test_a_slow_server_gets_a_lower_concurrency_limit(
    latency, queued, responses, expected
):
    limit = 2.0
    for _ in range(responses):
        limit = limits.next_concurrency_limit(
            limit=limit,
            slots=2,
            latency=latency,
            mean_latency=0.01,
            queued=queued,
        )
    assert limit == expected


def test_the_concurrency_limit_recovers_to_all_slots():
    limit = 1.0
    for _ in range(10):
        limit = limits.next_concurrency_limit(
            limit=limit, slots=2, latency=0.01, mean_latency=0.01, queued=False
        )
    assert limit == pytest.approx(2.0)
