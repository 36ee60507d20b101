"""Says whether a backend server may get a request now, and if not, why."""

import enum

from wigeonrouter.placement import _health


class Exclusion(enum.Enum):
    """Why a server gets no request. Draining servers have no view."""

    EVACUATED = "evacuated"
    LEAVING = "leaving"
    MISDIRECTED = "misdirected"
    PAUSED = "paused"
    LIMITED = "limited"
    UNCHECKED = "unchecked"
    EJECTED = "ejected"


def find_exclusion(view, now):
    """Return the Exclusion of a server, None if it may get a request.

    Only EJECTED may be ignored, if too few other servers are available, and
    UNCHECKED for a health check.

    Args:
      view: ServerView.
      now: seconds on the monotonic clock.
    """
    if view.evacuated:
        return Exclusion.EVACUATED
    if view.leaving:
        return Exclusion.LEAVING
    if view.misdirected:
        return Exclusion.MISDIRECTED
    if view.paused_until > now:
        return Exclusion.PAUSED
    if view.rate_limit == 0.0 or view.next_send_at > now:
        return Exclusion.LIMITED
    if view.check_due <= now:
        return Exclusion.UNCHECKED
    if not _health.is_available(view, now):
        return Exclusion.EJECTED
    return None
