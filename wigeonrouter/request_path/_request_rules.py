"""Retry decisions and the parsing of request and response headers.

The functions are pure.
"""

import functools

from wigeonrouter import core


def may_retry(*, kind, failure, attempt, max_attempts, now, deadline):
    """Return whether a failed attempt may be retried on another server.

    Args:
      kind: core.TrafficKind.
      failure: core.Problem of the failed attempt.
      attempt: number of the failed attempt, 1 for the first.
      max_attempts: largest number of attempts of a request.
      now: seconds on the monotonic clock.
      deadline: the request's deadline on the same clock.
    Returns:
      True where another attempt is safe and there is time for it. The retry
      budget is not considered here.
    """
    if attempt >= max_attempts or now >= deadline:
        return False
    if failure.problem.outcome is core.Outcome.NOT_RUN:
        return True
    return kind.idempotent


def final_failure(*, failure, unknown_failure):
    """Return the failure that is reported to the caller.

    The outcome NOT_RUN holds for the request only if no earlier attempt has
    the outcome UNKNOWN; otherwise the failure of that attempt is reported.

    Args:
      failure: core.Problem of the last attempt.
      unknown_failure: core.Problem of an earlier attempt with the outcome
        UNKNOWN, or None.
    Returns:
      A core.Problem.
    """
    if (
        unknown_failure is not None
        and failure.problem.outcome is core.Outcome.NOT_RUN
    ):
        return unknown_failure
    return failure


def parse_timeout(*, text, kind, limits):
    """Return the timeout of a request, in seconds.

    Args:
      text: value of X-Request-Timeout-Ms, possibly empty.
      kind: core.TrafficKind.
      limits: core.LimitSettings.
    Returns:
      Seconds, at most limits.max_timeout. None where the text is not a
      positive integer.
    """
    if not text:
        timeout = kind.timeout or limits.default_timeout
    elif text.isascii() and text.isdigit() and 0 < int(text[:12]):
        timeout = int(text[:12]) / 1000
    else:
        return None
    return min(timeout, limits.max_timeout)


def parse_load_report(*, text, now, own_in_flight):
    """Parse the header Backend-Load.

    Args:
      text: for instance ``in_flight=1, slots=2, state=ready``.
      now: seconds on the monotonic clock.
      own_in_flight: requests of this daemon that are in flight to the
        server, without the one that this response belongs to.
    Returns:
      A core.LoadReport, or None where the text is malformed: a bad report
      must not fail the request.
    """
    values = _load_values(text)
    if values is None:
        return None
    in_flight, slots, draining = values
    return core.LoadReport(
        in_flight=in_flight,
        slots=slots,
        draining=draining,
        received=now,
        own_in_flight=own_in_flight,
    )


# Loads are small integers, so a few texts make up nearly all headers.
@functools.lru_cache(maxsize=1024)
def _load_values(text):
    values = {}
    for part in text.split(","):
        name, separator, value = part.strip().partition("=")
        if separator:
            values[name] = value
    in_flight, slots = values.get("in_flight", ""), values.get("slots", "")
    if not (_is_number(in_flight) and _is_number(slots)):
        return None
    draining = values.get("state") == "draining"
    return int(in_flight[:9]), int(slots[:9]), draining


def _is_number(text):
    return text.isascii() and text.isdigit()
