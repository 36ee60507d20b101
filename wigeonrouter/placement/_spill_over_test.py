"""Tests of which requests leave a place, by replayed loads."""

import pytest

from wigeonrouter import placement
from wigeonrouter.placement import _spill_over
from wigeonrouter.placement import testing

REMOTE = placement.Locality.REMOTE
REGION = placement.Locality.REGION
ROUND_TRIPS_S = {REMOTE: 0.04, REGION: 0.0028}
# Spread of the share of requests in time between two runs of one load.
_NOISE = 0.015


@pytest.fixture
def replay():
    """Return a function that replays a load with spill-over off and on."""

    def run(*, locality, **load):
        load = testing.Load(
            locality=locality, round_trip=ROUND_TRIPS_S[locality], **load
        )
        return [
            testing.Replay(load=load, spills_over=on).run()
            for on in (False, True)
        ]

    return run


def _ratio(result):
    return result.in_time / result.requests


@pytest.mark.parametrize("locality", [REMOTE, REGION])
@pytest.mark.parametrize(
    "load",
    [
        {"rates": (60, 60)},
        {"rates": (85, 85), "swing": 0.6},
        {"rates": (70, 70), "noisy": True},
        {"rates": (60, 60), "noisy": True, "swing": 0.6},
        {"rates": (150, 150)},
        {"rates": (200, 0.01)},
    ],
    ids=["quiet", "swing", "noisy", "noisy-swing", "both-full", "one-home"],
)
def test_requests_meet_their_target_as_often_as_without(
    replay, locality, load
):
    """Guards against a load for which spill-over does harm."""
    off, on = replay(locality=locality, **load)
    assert _ratio(on) > _ratio(off) - _NOISE


@pytest.mark.parametrize("noisy", [False, True])
def test_requests_leave_a_full_region_for_a_free_one(replay, noisy):
    """Guards against callers that wait while the next region has free slots.

    Without spill-over waiting for 40 ms always seems better than a link.
    """
    rates = (100, 30) if noisy else (150, 40)
    off, on = replay(locality=REMOTE, rates=rates, noisy=noisy)
    assert off.left == (0, 0)
    assert _ratio(on) > _ratio(off) + 0.05
    assert on.left[0] > 50
    assert on.left[1] == 0


@pytest.mark.parametrize(
    ("locality", "most"), [(REMOTE, 0.01), (REGION, 0.12)]
)
def test_full_places_do_not_swap_their_requests(replay, locality, most):
    """Guards against requests that cross each other for nothing.

    Within a region, a third of them did without spill-over: each went to the
    slot that had just become free in the other failure domain.
    """
    _, on = replay(locality=locality, rates=(150, 150))
    assert sum(on.left) < most * on.requests


def test_requests_stay_while_their_place_is_good_enough(replay):
    """Guards against bytes that are billed for nothing."""
    for locality in (REMOTE, REGION):
        _, on = replay(locality=locality, rates=(60, 60))
        assert on.left == (0, 0)


@pytest.mark.parametrize("locality", [REMOTE, REGION])
def test_a_place_without_servers_is_left_at_once(replay, locality):
    """Guards against a share that has to grow while requests wait."""
    _, on = replay(
        locality=locality, rates=(40, 40), servers=(0, 20), seconds=2.0
    )
    assert _ratio(on) > 0.95


def test_share_follows_the_gain_gradually_and_with_hysteresis():
    """Guards against a share that flaps, or moves all requests together."""
    throttle = _spill_over.SpillOverThrottle(cost=0.05)
    demand = _spill_over.Demand(
        arrival_rate=100.0, busy_time=0.1, free_slots=6.0
    )

    def run(gain, start, seconds):
        left = 0
        for step in range(int(seconds * 100)):
            left += throttle.may_leave(
                gain=gain,
                has_free_slot=True,
                demand=demand,
                now=start + step / 100,
            )
        return left

    assert run(0.3, 0.0, 0.5) < 25
    assert run(0.3, 0.5, 4.5) > 100
    assert throttle.share == pytest.approx(0.6)  # 6 slots of 10 needed
    assert run(0.04, 5.0, 3.0) == 0
    assert throttle.share == pytest.approx(0.6)
    assert run(0.0, 8.0, 5.0) == 0
    assert throttle.share == 0.0


def test_nothing_leaves_without_a_free_slot_elsewhere():
    """Guards against requests that are sent to servers that reject them."""
    throttle = _spill_over.SpillOverThrottle(cost=0.05)
    full = _spill_over.Demand(
        arrival_rate=100.0, busy_time=0.1, free_slots=0.4
    )
    for has_free_slot in (False, True):
        assert not throttle.may_leave(
            gain=0.9, has_free_slot=has_free_slot, demand=full, now=1.0
        )
