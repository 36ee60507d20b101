"""What attempts and probes say of a backend server.

Load pattern: servers fail a part of their requests while their health check
is good, or the reverse; some fall silent, some flap. Requests count more
than health checks: a share of failures lowers a server's worth, fades
within seconds, and so lets it be tried again with few requests.
"""

import dataclasses
import enum
import math

_FAILURE_WEIGHT = 0.3
# Time in which the memory of failures fades to a third.
_FAILURE_FADING_S = 3.0
# After this many failures in a row a server is left alone for a time, which
# doubles; it would attract requests, since failing is fast.
_FAILURES_TO_PAUSE = 2
_FIRST_PAUSE_S = 0.5
_FIRST_BACKOFF_S = 0.25
_MAX_BACKOFF_S = 4.0
# A health check that fails counts this much.
_ILL_HEALTH_FAILURE = 0.3
_ROUND_TRIP_WEIGHT = 0.2


class Ended(enum.Enum):
    """How an attempt ended, as far as it concerns the server."""

    ANSWERED = "answered"
    FAILED = "failed"
    # The server states that it did not run the request.
    REFUSED = "refused"
    # The connection broke or the answer was unusable.
    LOST = "lost"
    UNREACHABLE = "unreachable"
    CANCELLED = "cancelled"
    # There was less time left than the server needs.
    LATE = "late"


def failure_now(view, now):
    """Return the recent share of failures, faded by time."""
    age = max(0.0, now - view.failure_at)
    return view.failure * math.exp(-age / _FAILURE_FADING_S)


def may_use(view, now):
    """Return whether a server may get work."""
    return now >= view.retry_at


def after_answer(view, *, ended, now):
    """Return the view after an attempt."""
    if ended in (Ended.CANCELLED, Ended.LATE):
        return view
    if ended is Ended.UNREACHABLE:
        return after_silence(view, now=now)
    failed = ended in (Ended.FAILED, Ended.LOST)
    before = failure_now(view, now)
    if ended is Ended.REFUSED:
        return dataclasses.replace(view, silent=0)
    failures = view.failures + 1 if failed else 0
    retry_at = view.retry_at
    if failures >= _FAILURES_TO_PAUSE:
        retry_at = now + min(
            _MAX_BACKOFF_S,
            _FIRST_PAUSE_S * 2 ** min(8, failures - _FAILURES_TO_PAUSE),
        )
    return dataclasses.replace(
        view,
        failure=before + _FAILURE_WEIGHT * (float(failed) - before),
        failure_at=now,
        failures=failures,
        silent=0,
        retry_at=retry_at,
    )


def after_probe(view, *, report, healthy, round_trip, now):
    """Return the view after a health check that was answered."""
    failure = failure_now(view, now)
    if not healthy:
        failure = max(failure, _ILL_HEALTH_FAILURE)
    return dataclasses.replace(
        view,
        report=report or view.report,
        failure=failure,
        failure_at=now,
        silent=0,
        retry_at=view.retry_at if view.failures else float("-inf"),
        round_trip=view.round_trip
        + _ROUND_TRIP_WEIGHT * (round_trip - view.round_trip),
    )


def after_silence(view, *, now):
    """Return the view after no answer to a connection or a probe."""
    silent = view.silent + 1
    if silent < 2:
        return dataclasses.replace(view, silent=silent)
    backoff = min(_MAX_BACKOFF_S, _FIRST_BACKOFF_S * 2 ** min(8, silent - 2))
    return dataclasses.replace(view, silent=silent, retry_at=now + backoff)
