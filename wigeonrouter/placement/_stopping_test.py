"""Tests of requests that reach a node while it stops."""

import math

import pytest

from wigeonrouter import placement

STOP_AFTER_S = 1.5
LONGEST_LATENCY_S = 0.4
ENTRIES_EXPIRE_AFTER_S = 1.0


def _latest_start(request, now, *, longest_latency=LONGEST_LATENCY_S):
    return placement.latest_start(
        request,
        longest_latency=longest_latency,
        schedule=placement.StopSchedule(
            entries_expire=now + ENTRIES_EXPIRE_AFTER_S,
            end=now + STOP_AFTER_S,
        ),
    )


def test_request_that_ends_before_the_node_is_always_sent(make_request, now):
    """Guards against rejecting what is finished or timed out in time."""
    assert _latest_start(make_request(deadline=1.0), now) == math.inf


def test_request_is_sent_while_its_response_comes_in_time(make_request, now):
    """Guards against rejections from the beginning of a stop on."""
    latest_start = _latest_start(make_request(deadline=2.0), now)
    assert now < latest_start < now + STOP_AFTER_S - LONGEST_LATENCY_S


def test_request_of_unknown_latency_is_sent_if_it_may_run_again(
    make_request, now
):
    """Guards against cutting off a write of a rare route."""
    write = make_request(deadline=2.0, idempotent=False)
    assert _latest_start(write, now, longest_latency=None) == -math.inf
    read = make_request(deadline=2.0)
    assert _latest_start(read, now, longest_latency=None) > now


def test_request_that_may_not_run_again_is_sent_if_its_deadline_allows(
    make_request, now
):
    """Guards against writes that are cut off because they take long."""
    write = make_request(deadline=2.0, idempotent=False)
    assert _latest_start(write, now, longest_latency=0.001) == -math.inf
    write = make_request(deadline=STOP_AFTER_S, idempotent=False)
    assert _latest_start(write, now) == math.inf


def test_no_request_is_sent_on_an_estimate_once_entries_have_expired(
    make_request, now
):
    """Guards against late requests that take longer than is expected."""
    latest_start = _latest_start(make_request(), now, longest_latency=0.001)
    assert latest_start == now + ENTRIES_EXPIRE_AFTER_S


@pytest.mark.parametrize("grace", [0.5, 1.0, 6.0, 30.0])
def test_node_accepts_requests_and_exits_within_any_grace(grace, now):
    """Guards against a stop that takes no request, or outlasts the grace."""
    schedule = placement.plan_stop(
        signalled=now, now=now, grace=grace, entries_ttl=1.0
    )
    assert now < schedule.accept_until < schedule.end < schedule.exit
    assert schedule.exit < now + grace
    assert schedule.entries_expire == now + 3.0


def test_signal_that_waited_shortens_what_a_node_takes(now):
    """Guards against requests that the end of the grace cuts off.

    Those in progress are waited for as long as the process may live.
    """
    schedule = placement.plan_stop(
        signalled=now - 2.0, now=now, grace=6.0, entries_ttl=1.0
    )
    assert schedule.entries_expire == now + 1.0
    assert schedule.accept_until < schedule.end < now - 2.0 + 6.0
    assert schedule.exit > now + 5.0


def test_node_that_does_not_stop_sends_all_requests(make_request):
    """Guards against rejections without a stop."""
    write = make_request(deadline=60.0, idempotent=False)
    assert math.inf == placement.latest_start(
        write, longest_latency=None, schedule=placement.NO_STOP
    )
