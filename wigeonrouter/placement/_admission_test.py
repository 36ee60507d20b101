"""Tests of expected waits and load shedding."""

import math
import random

import pytest

from wigeonrouter import placement

SERVICE_TIME_S = 0.16


def test_request_that_cannot_be_served_is_rejected_at_once(make_request, now):
    """Guards against holding a request until its deadline has passed."""
    request = make_request(deadline=1.0)
    assert placement.should_reject(
        request, wait=0.9, service_time=SERVICE_TIME_S, now=now
    )
    assert not placement.should_reject(
        request, wait=0.5, service_time=SERVICE_TIME_S, now=now
    )


def test_late_requests_wait_only_in_a_queue_that_drains(make_request, now):
    """Guards against a long queue of late requests that hardly drains."""
    rate = placement.late_dispatch_rate()
    request = make_request(target_time=-1, deadline=1.0)
    slow = placement.expected_late_wait(ahead=5, rate=rate.per_second(now))
    assert placement.should_reject_late(request, wait=slow, now=now)
    for _ in range(40):
        rate.record(now)
    quick = placement.expected_late_wait(ahead=5, rate=rate.per_second(now))
    assert not placement.should_reject_late(request, wait=quick, now=now)
    assert rate.per_second(now + 5) < 2


def test_request_that_just_became_late_is_kept_with_spare_capacity(
    make_request,
):
    """Guards against rejecting late requests while slots are released.

    When a region lost a fourth of its servers, requests that had waited 200 ms
    for the rest became late one at a time. They were told to retry after one
    or two seconds, and got their responses 1.5 s later than necessary.
    """
    request = make_request(target_time=0.1, deadline=1.7)
    spare_throughput = placement.spare_throughput(
        slots=10, service_time=SERVICE_TIME_S, slowdown=1.5, arrival_rate=15.0
    )
    wait = placement.expected_late_wait(ahead=1, rate=spare_throughput)
    assert not placement.should_reject_late(request, wait=wait, now=100.0)


def test_no_spare_throughput_under_overload():
    """Guards against queueing late requests that new ones always overtake."""
    assert not placement.spare_throughput(
        slots=10, service_time=SERVICE_TIME_S, slowdown=1.5, arrival_rate=40.0
    )


def test_callers_rejected_together_get_different_retry_delays():
    """Guards against a second burst of the same callers."""
    rng = random.Random(1)
    times = [placement.retry_after(wait=0.8, rng=rng) for _ in range(100)]
    assert max(times) - min(times) > 0.6
    assert min(times) >= 0.05


@pytest.mark.parametrize("wait", [5.0, math.inf])
def test_long_waits_give_different_retry_delays_too(wait):
    """Guards against callers that all come back after the longest delay."""
    rng = random.Random(1)
    times = [placement.retry_after(wait=wait, rng=rng) for _ in range(100)]
    assert max(times) - min(times) > 0.6
    assert max(times) <= 2.0
