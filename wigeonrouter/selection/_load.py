"""Load and price of a backend server as one daemon sees it."""

from wigeonrouter import core

# A report says less about the present the older it is. Foreign load halves
# in this part of the server's own time to answer: by then half of the
# requests that the report counted have ended.
FOREIGN_LOAD_HALF_LIFE_RATIO = 0.7
# Taken for the time to answer until the first answer.
_INITIAL_LATENCY_S = 0.01
# A server that refuses or fails at once always looks idle. It is passed over
# for this time, which doubles with each failure in a row.
FIRST_BACKOFF_S = 0.05
MAX_BACKOFF_S = 1.0
_MAX_DOUBLINGS = 5


def is_backed_off(view, now):
    """Return whether a server is passed over after failures in a row.

    One failed answer may be the request's fault; a refusal is the server's.
    """
    consecutive = max(view.refusals_in_row, view.failures_in_row - 1)
    if consecutive <= 0:
        return False
    backoff = FIRST_BACKOFF_S * 2 ** min(consecutive - 1, _MAX_DOUBLINGS)
    return now - view.last_used < min(MAX_BACKOFF_S, backoff)


def without_backed_off(views, now):
    """Return the views that are not passed over; all where none is left."""
    usable = [
        view
        for view in views
        # Most servers have no failure in a row, and this runs per request.
        if not (view.refusals_in_row or view.failures_in_row)
        or not is_backed_off(view, now)
    ]
    return usable or views


def concurrency_limit(view):
    """Return how many requests a server should run at once."""
    if view.state is core.ServerState.COLD:
        return 1
    return min(view.server.slots, view.limit)


def expected_busy_slots(view, now):
    """Return the expected number of busy slots of a server, a float.

    Less than half a request of others counts as none.
    """
    report = view.report
    if report is None or report.in_flight <= report.own_in_flight:
        return view.in_flight
    age = max(0.0, now - report.received)
    latency = view.latency or _INITIAL_LATENCY_S
    foreign = report.in_flight - report.own_in_flight
    foreign *= 0.5 ** (age / (FOREIGN_LOAD_HALF_LIFE_RATIO * latency))
    return view.in_flight + (foreign if foreign >= 0.5 else 0)


def locality_price(view, request, context):
    """Return the price of leaving the own place, ms-equivalents."""
    place, routing = view.server.place, context.routing
    if place.region != context.place.region:
        return region_price(request, routing)
    if place.failure_domain != context.place.failure_domain:
        return routing.price_failure_domain_ms
    return 0.0


def region_price(request, routing):
    """Return the price of leaving the region, ms-equivalents."""
    kilobytes = request.body_bytes / 1024
    return (
        routing.price_region_ms
        + routing.price_per_kilobyte_region_ms * kilobytes
    )
