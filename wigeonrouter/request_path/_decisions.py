"""What follows from a failed attempt: pure functions."""

import functools

from wigeonrouter import core


def may_retry(*, kind, refusal, attempt, max_attempts, now, deadline):
    """Return whether a request may be sent to another server.

    Args:
      kind: core.TrafficKind.
      refusal: core.Problem of the failed attempt.
      attempt: number of the failed attempt, 1 for the first.
      max_attempts: bound on attempts.
      now: seconds on the monotonic clock.
      deadline: the request's deadline on the same clock.
    Returns:
      True where a further attempt is safe and worth it. The retry budget is
      the caller's business.
    """
    if attempt >= max_attempts or now >= deadline:
        return False
    if refusal.problem.outcome is core.Outcome.NOT_RUN:
        return True
    return kind.idempotent


def final_refusal(*, refusal, doubtful):
    """Return the refusal that the caller gets.

    A refusal that says "not run" is true only where no earlier attempt is in
    doubt.

    Args:
      refusal: core.Problem of the last attempt.
      doubtful: core.Problem of an earlier attempt in doubt, or None.
    Returns:
      A core.Problem.
    """
    if (
        doubtful is not None
        and refusal.problem.outcome is core.Outcome.NOT_RUN
    ):
        return doubtful
    return refusal


def parse_timeout(*, text, kind, limits):
    """Return the time that a request has, in seconds.

    Args:
      text: value of X-Request-Timeout-Ms, possibly empty.
      kind: core.TrafficKind.
      limits: core.LimitSettings.
    Returns:
      Seconds, or None where the text is no positive whole number.
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
      own_in_flight: requests of this daemon that the server ran, the
        answered one not included.
    Returns:
      A core.LoadReport, or None where the text is malformed; a report is
      never worth failing a request.
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


# Loads are small numbers, so that the same texts come again and again.
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
