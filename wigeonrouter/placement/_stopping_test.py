"""Tests of requests that reach a node while it stops."""

import math

from wigeonrouter import placement

STOP_AFTER_S = 1.5
LONGEST_LATENCY_S = 0.4


def _latest_start(request, now, *, longest_latency=LONGEST_LATENCY_S):
    return placement.latest_start(
        request,
        longest_latency=longest_latency,
        stop_deadline=now + STOP_AFTER_S,
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
