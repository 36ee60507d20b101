"""Health of a backend server, from attempts and health checks.

Load pattern: servers fail a part of their requests while their health check
succeeds, or the reverse; some stop responding, some flap. Attempts have more
weight than health checks. Failures lower the utility of a server; their effect
decays within seconds, so that the server is tried again with a few requests.
"""

import dataclasses
import enum
import math

# Weight of an attempt in the moving average of failures.
_FAILURE_WEIGHT = 0.3
# Time constant of the exponential decay of the failure ratio.
_FAILURE_RATIO_DECAY_S = 3.0
# A server is ejected after this many consecutive failures, for a time that
# doubles with each further one. A server that fails fast always has free slots
# and would attract requests.
_FAILURES_TO_EJECT = 2
_FIRST_EJECTION_S = 0.5
# First ejection after consecutive probes or connection attempts without a
# response.
_FIRST_NO_RESPONSE_EJECTION_S = 0.25
_MAX_EJECTION_S = 4.0
# Lower bound of the failure ratio after a failed health check.
_UNHEALTHY_FAILURE_RATIO = 0.3
_ROUND_TRIP_WEIGHT = 0.2


class AttemptOutcome(enum.Enum):
    """How an attempt ended, as far as it concerns the server."""

    SUCCEEDED = "answered"
    FAILED = "failed"
    # The server states that it did not run the request.
    REJECTED = "refused"
    # The connection broke or the response was invalid.
    RESPONSE_LOST = "lost"
    UNREACHABLE = "unreachable"
    CANCELLED = "cancelled"
    # The time left was shorter than what the server needs.
    TIMED_OUT = "late"


def current_failure_ratio(view, now):
    """Return the recent share of failed attempts, decayed up to `now`."""
    age = max(0.0, now - view.failure_ratio_at)
    return view.failure_ratio * math.exp(-age / _FAILURE_RATIO_DECAY_S)


def is_available(view, now):
    """Return whether a server may get requests, that is, is not ejected."""
    return now >= view.ejected_until


def after_attempt(view, *, outcome, now):
    """Return the view after an attempt.

    An attempt that was cancelled or timed out says nothing about the server. A
    rejection only shows that the server responds.

    Args:
      view: ServerView.
      outcome: AttemptOutcome.
      now: seconds on the monotonic clock.
    """
    if outcome in (AttemptOutcome.CANCELLED, AttemptOutcome.TIMED_OUT):
        return view
    if outcome is AttemptOutcome.UNREACHABLE:
        return after_no_response(view, now=now)
    failed = outcome in (AttemptOutcome.FAILED, AttemptOutcome.RESPONSE_LOST)
    previous_ratio = current_failure_ratio(view, now)
    if outcome is AttemptOutcome.REJECTED:
        return dataclasses.replace(view, consecutive_no_response=0)
    consecutive_failures = view.consecutive_failures + 1 if failed else 0
    ejected_until = view.ejected_until
    if consecutive_failures >= _FAILURES_TO_EJECT:
        ejected_until = now + min(
            _MAX_EJECTION_S,
            _FIRST_EJECTION_S
            * 2 ** min(8, consecutive_failures - _FAILURES_TO_EJECT),
        )
    return dataclasses.replace(
        view,
        failure_ratio=previous_ratio
        + _FAILURE_WEIGHT * (float(failed) - previous_ratio),
        failure_ratio_at=now,
        consecutive_failures=consecutive_failures,
        consecutive_no_response=0,
        ejected_until=ejected_until,
        responded_at=now
        if outcome is AttemptOutcome.SUCCEEDED
        else view.responded_at,
    )


def after_probe(view, *, report, healthy, round_trip, now):
    """Return the view after a health check that got a response.

    Ends an ejection for missing responses, but not one for failed attempts.

    Args:
      view: ServerView.
      report: LoadReport of the response, None if it had none.
      healthy: whether the server reported itself healthy.
      round_trip: seconds from the probe to the response.
      now: seconds on the monotonic clock.
    """
    failure_ratio = current_failure_ratio(view, now)
    if not healthy:
        failure_ratio = max(failure_ratio, _UNHEALTHY_FAILURE_RATIO)
    return dataclasses.replace(
        view,
        report=report or view.report,
        failure_ratio=failure_ratio,
        failure_ratio_at=now,
        consecutive_no_response=0,
        ejected_until=view.ejected_until
        if view.consecutive_failures
        else float("-inf"),
        round_trip=view.round_trip
        + _ROUND_TRIP_WEIGHT * (round_trip - view.round_trip),
    )


def after_cut(view):
    """Return the view without failures, once a cut of the node has ended.

    What happened while the node was cut off from all servers says nothing
    about any of them.
    """
    return dataclasses.replace(
        view,
        failure_ratio=0.0,
        consecutive_failures=0,
        consecutive_no_response=0,
        ejected_until=float("-inf"),
    )


def after_no_response(view, *, now):
    """Return the view after a connection attempt or probe without a response.

    The server is ejected from the second consecutive one on, for a time that
    doubles with each further one.
    """
    consecutive_no_response = view.consecutive_no_response + 1
    if consecutive_no_response < 2:
        return dataclasses.replace(
            view, consecutive_no_response=consecutive_no_response
        )
    ejection = min(
        _MAX_EJECTION_S,
        _FIRST_NO_RESPONSE_EJECTION_S
        * 2 ** min(8, consecutive_no_response - 2),
    )
    return dataclasses.replace(
        view,
        consecutive_no_response=consecutive_no_response,
        ejected_until=now + ejection,
    )
