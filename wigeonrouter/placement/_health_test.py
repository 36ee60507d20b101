"""Tests of server health after attempts and health checks."""

import pytest

from wigeonrouter import placement

Outcome = placement.AttemptOutcome


def record_attempts(view, *outcomes, now):
    for outcome in outcomes:
        view = placement.after_attempt(view, outcome=outcome, now=now)
    return view


def test_server_that_fails_fast_is_ejected(make_view, now):
    """Guards against a broken server that attracts requests.

    The health check of the server succeeds and it resets every request, so it
    always has a free slot.
    """
    view = record_attempts(make_view("a"), Outcome.RESPONSE_LOST, now=now)
    assert placement.is_available(view, now)
    view = record_attempts(view, Outcome.RESPONSE_LOST, now=now)
    assert not placement.is_available(view, now)
    assert placement.is_available(view, now + 0.6)


def test_ejection_grows_and_ends_with_a_success(make_view, now):
    """Guards against a server that is retried too often, or never."""
    view = record_attempts(make_view("a"), *[Outcome.FAILED] * 4, now=now)
    assert not placement.is_available(view, now + 1.9)
    assert placement.is_available(view, now + 2.1)
    view = record_attempts(view, Outcome.SUCCEEDED, now=now + 2.1)
    assert view.consecutive_failures == 0


def test_successful_health_check_does_not_end_an_ejection(make_view, now):
    """Guards against a health check that succeeds while requests fail."""
    view = record_attempts(
        make_view("a"),
        Outcome.RESPONSE_LOST,
        Outcome.RESPONSE_LOST,
        now=now,
    )
    view = placement.after_probe(
        view, report=None, healthy=True, round_trip=0.001, now=now
    )
    assert not placement.is_available(view, now)


def test_failed_health_check_alone_does_not_eject(make_view, now):
    """Guards against ejecting a working server whose health check fails."""
    view = placement.after_probe(
        make_view("a"), report=None, healthy=False, round_trip=0.001, now=now
    )
    assert placement.is_available(view, now)
    assert view.failure_ratio > 0


@pytest.mark.parametrize("outcome", [Outcome.CANCELLED, Outcome.TIMED_OUT])
def test_cancelled_and_timed_out_attempts_do_not_change_health(
    make_view, now, outcome
):
    """Guards against blaming a server for a caller that disconnected."""
    view = make_view("a")
    assert placement.after_attempt(view, outcome=outcome, now=now) == view


def test_unresponsive_server_is_ejected_and_returns_after_a_probe(
    make_view, now
):
    """Guards against a timeout at a dead server for every request."""
    view = placement.after_no_response(make_view("a"), now=now)
    assert placement.is_available(view, now)
    view = placement.after_no_response(view, now=now)
    assert not placement.is_available(view, now)
    view = placement.after_probe(
        view, report=None, healthy=True, round_trip=0.001, now=now
    )
    assert placement.is_available(view, now)


def test_failures_of_a_cut_are_forgotten(make_view, now):
    """Guards against servers that stay ejected because a node was cut off."""
    view = record_attempts(
        make_view("a"),
        *[Outcome.RESPONSE_LOST] * 3,
        *[Outcome.UNREACHABLE] * 5,
        now=now,
    )
    assert not placement.is_available(view, now)
    assert placement.after_cut(view) == make_view("a", failure_ratio_at=now)
