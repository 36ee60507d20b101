"""Servers that drop what they cannot queue, instead of rejecting it.

Load pattern: several nodes send to the same servers. A server whose slots and
queue are full resets the connection of a further request, or never responds to
it. It runs the others to their end, so that ejecting it would take capacity
from a service that has too little, and the next server would be full too.

Such a loss counts as a statement that the server is full, if the node has
reason to believe that its slots are in use. The server then gets less load
than it had, and more again with time. A server that loses requests although it
has no others is faulty; it is treated as one that fails.

A lost request may have run. Requests that are not idempotent are therefore
kept away from servers whose load is not known well, while servers drop
requests.
"""

import dataclasses

from wigeonrouter.placement import _estimate
from wigeonrouter.placement import _health
from wigeonrouter.placement import _records

# A full server resets at once. A server that ends under a request breaks the
# connection later.
_MAX_RESET_LATENCY_RATIO = 0.5
# Factor by which a loss lowers the load that the server gets.
_LOAD_LIMIT_FACTOR = 0.7
_MIN_LOAD_LIMIT = 1.0
# Rate at which a lowered limit rises again, requests per second.
_LIMIT_RECOVERY_PER_S = 1.0
# Time after a loss in which the service's servers are taken for ones that drop
# requests.
_DROP_MEMORY_S = 10.0
# Age of a load report up to which the load is known well.
_KNOWN_LOAD_AGE_S = 0.1


def load_limit(view, now):
    """Return the most requests that a server should have at a time."""
    if view.load_limit is None:
        return view.slots
    recovered = (now - view.load_limit_at) * _LIMIT_RECOVERY_PER_S
    return min(view.slots, view.load_limit + recovered)


def is_full_loss(
    view, *, outcome, disconnected, timed_out, latency, expected_latency, now
):
    """Return whether a lost request shows that its server was full.

    Args:
      view: ServerView, which still counts the request.
      outcome: AttemptOutcome.
      disconnected: whether the server broke the connection.
      timed_out: whether the deadline passed without a response.
      latency: seconds from sending the request to its end.
      expected_latency: what was expected when it was sent.
      now: seconds on the monotonic clock.
    """
    if outcome is not _health.AttemptOutcome.RESPONSE_LOST:
        return False
    others = _estimate.expected_load(view, now) - 1.0
    if others < 1.0 or load_limit(view, now) <= _MIN_LOAD_LIMIT:
        return False
    if disconnected:
        return latency < _MAX_RESET_LATENCY_RATIO * expected_latency
    # Without responses to others it stands still.
    return timed_out and view.responded_at > now - latency


def after_full_loss(view, *, now):
    """Return the view after is_full_loss(), without the lost request.

    Args:
      view: ServerView, which still counts the request.
      now: seconds on the monotonic clock.
    """
    load = min(_estimate.expected_load(view, now), load_limit(view, now))
    view = dataclasses.replace(view, in_flight=max(0, view.in_flight - 1))
    return dataclasses.replace(
        view,
        report=saturated_report(view, now),
        load_limit=max(_MIN_LOAD_LIMIT, _LOAD_LIMIT_FACTOR * load),
        load_limit_at=now,
    )


def saturated_report(view, now):
    """Return the LoadReport of a server that shows that it is full."""
    return _records.LoadReport(
        running=view.slots,
        queued=1,
        slots=view.slots,
        slowdown=view.report.slowdown if view.report else 1.0,
        received=now,
        own_in_flight=view.in_flight,
    )


def without_unknown_load(usable, *, views, request, now):
    """Return the views that a request may use without the risk of a loss.

    Args:
      usable: list of ServerViews with a free slot.
      views: ServerViews of the service.
      request: PendingRequest.
      now: seconds on the monotonic clock.
    Returns:
      All usable views if the request is idempotent, no server has dropped
      requests lately, or the load of none is known well.
    """
    if request.idempotent or not any(
        now - view.load_limit_at < _DROP_MEMORY_S for view in views
    ):
        return usable
    return [view for view in usable if _is_load_known(view, now)] or usable


def _is_load_known(view, now):
    report = view.report
    return report is not None and now - report.received <= _KNOWN_LOAD_AGE_S
