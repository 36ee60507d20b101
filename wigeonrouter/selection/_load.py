"""Load and price of a backend server as seen by one daemon."""

from wigeonrouter import core

# The older a load report, the less it says about the current load. The
# reported load of other daemons is halved after this multiple of the server's
# average response time, when half of the requests in the report have
# completed.
FOREIGN_LOAD_HALF_LIFE_RATIO = 0.7
# Assumed response time before the first response.
_INITIAL_LATENCY_S = 0.01
# A server that rejects or fails at once always looks idle. It is skipped for
# this time, which doubles with each consecutive failure.
FIRST_BACKOFF_S = 0.05
MAX_BACKOFF_S = 1.0
_MAX_DOUBLINGS = 5


def is_backed_off(view, now):
    """Return whether a server is skipped after consecutive failures.

    A single failed response may be due to the request and is ignored; a
    rejection is always due to the server.
    """
    consecutive_failures = max(view.refusals_in_row, view.failures_in_row - 1)
    if consecutive_failures <= 0:
        return False
    backoff = FIRST_BACKOFF_S * 2 ** min(
        consecutive_failures - 1, _MAX_DOUBLINGS
    )
    return now - view.last_used < min(MAX_BACKOFF_S, backoff)


def without_backed_off(views, now):
    """Return the views that are not skipped, or all if none is left."""
    usable = [
        view
        for view in views
        # This runs for each request, and most servers have no consecutive
        # failure.
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

    The reported load of other daemons decays with the age of the report. Less
    than half a request of theirs counts as none.
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
    """Return the price of leaving the own failure domain, in milliseconds.

    The price is the number of milliseconds of latency that it is worth.
    """
    place, routing = view.server.place, context.routing
    if place.region != context.place.region:
        return region_price(request, routing)
    if place.failure_domain != context.place.failure_domain:
        return routing.price_failure_domain_ms
    return 0.0


def region_price(request, routing):
    """Return the price of leaving the own region, in milliseconds.

    It grows with the size of the request body.
    """
    kilobytes = request.body_bytes / 1024
    return (
        routing.price_region_ms
        + routing.price_per_kilobyte_region_ms * kilobytes
    )
