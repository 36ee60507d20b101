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


def test_arrivals_beyond_the_rate_limits_are_rejected_or_in_time(make_request):
    """Guards against a queue in which each request waits until it is late."""
    throughput, arrivals, latency = 8.4, 16.0, 0.28
    rng, queue = random.Random(1), placement.RequestQueue()
    requests, next_send = [], 100.0
    sent = in_time = 0
    for step in range(6000):
        now = 100.0 + step / 100
        if rng.random() < arrivals / 100:
            request = make_request(
                target_time=now - 100.0 + 0.4, deadline=now - 100.0 + 4.0
            )
            ahead = queue.count_ahead(request, SERVICE_TIME_S, now)
            if not placement.will_miss_target(
                request,
                wait=max(0.0, next_send - now) + ahead / throughput,
                latency=latency,
                now=now,
            ):
                queue.add(len(requests), request, SERVICE_TIME_S)
                requests.append(request)
        if now >= next_send and len(queue):
            entry = queue.head(now)[0]
            queue.remove(entry)
            next_send = now + 1 / throughput
            sent += 1
            in_time += now + latency <= requests[entry].target_time + 0.01
    assert sent >= 0.9 * throughput * 60
    assert in_time >= 0.95 * sent


def test_no_late_request_waits_for_throughput_that_is_not_there(make_request):
    """Guards against late requests that take the limits of on-time ones."""
    wait = placement.expected_late_wait(ahead=0, rate=0.0)
    request = make_request(target_time=-0.1)
    assert placement.should_reject_late(request, wait=wait, now=100.0)


def test_one_request_at_a_time_shows_whether_servers_are_faster():
    """Guards against sending all requests that will be late, or none."""
    trials = placement.TrialSchedule()
    admitted = [trials.admit("read", 0.01 * step) for step in range(100)]
    assert admitted[0] and sum(admitted) == 5


def test_trials_of_routes_do_not_depend_on_each_other():
    """Guards against a route that takes the trials of another one."""
    trials = placement.TrialSchedule()
    assert trials.admit("read", 0.0) and trials.admit("write", 0.0)
