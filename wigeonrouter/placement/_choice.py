"""Selects the backend server of a request, or waits for a better one.

Load pattern: servers have few slots, a quarter of the servers is several times
slower at any moment, and a response within the target time has ten times the
utility of a late one. A request is sent where the probability of a response
within the target time is highest. It waits at the node while a slot of a
suitable server may still be released, and a late request leaves capacity for
those that can meet their target time.

Utility is a share of the utility of a response within the target time.
"""

import dataclasses
import math

from wigeonrouter.placement import _admission
from wigeonrouter.placement import _estimate
from wigeonrouter.placement import _exclusion
from wigeonrouter.placement import _full_servers
from wigeonrouter.placement import _health
from wigeonrouter.placement import _records
from wigeonrouter.placement import _request_queue

# Utility of a late response.
LATE_UTILITY = 0.1
_MIN_LOGISTIC_SCALE_S = 0.0005
# Cost of a server in another failure domain or region, as utility.
LOCALITY_COST = {
    _records.Locality.DOMAIN: 0.0,
    _records.Locality.REGION: 0.01,
    _records.Locality.REMOTE: 0.15,
}
# Standard deviation of actual response times, relative to the estimate.
_LATENCY_DEVIATION_RATIO = 0.3
# Scale of a logistic distribution per standard deviation.
_LOGISTIC_SCALE_PER_DEVIATION = math.sqrt(3) / math.pi
# Expected time until a slot is released.
EXPECTED_SLOT_WAIT_S = 0.04
# A request waits only if that raises its expected utility by this much.
_WAIT_UTILITY_MARGIN = 0.2
# Servers with older load reports are probed again before a selection.
FRESH_REPORT_S = 0.04
# Number of servers that are probed before a selection: by a node with at least
# _BUSY_RATE_PER_S requests of the service, and by other nodes.
_BUSY_PROBES = 4
_IDLE_PROBES = 1
_BUSY_RATE_PER_S = 2.0
# Servers that are compared for one request. More of them hardly raise the
# expected utility of the best one, but each takes processor time.
MAX_COMPARED_SERVERS = 24
# If a smaller share of the servers is available, ejections are ignored.
_MIN_AVAILABLE_SHARE = 0.34
# Slowdown, relative to that of the fast servers, above which a server is not
# used for responses that will be late in any case, since they would hold its
# slots several times as long.
_SLOW_SERVER_SLOWDOWN = 2.0
# Share of the slots in use above which late requests get no slow servers, and
# above which they do not get the last slots of a server.
_SLOW_SERVER_UTILIZATION = 0.3
_LAST_SLOT_UTILIZATION = 0.6
# Expected utility below which a response will probably be late.
_LIKELY_LATE_UTILITY = 0.3
# Utility that one second of expected response time costs.
_UTILITY_PER_S = 0.05


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Pick:
    """The best server for a request at this time.

    Attributes:
      view: ServerView, None if no server may be used.
      expected_utility: expected utility of sending the request there now.
      should_wait: whether waiting at the node has a higher expected utility.
    """

    view: _records.ServerView | None
    expected_utility: float = 0.0
    should_wait: bool = False


def response_utility(*, seconds, request, now):
    """Return the expected utility of a response after an expected time.

    The response time is taken as logistically distributed around the estimate.

    Args:
      seconds: expected seconds from now to the response.
      request: PendingRequest.
      now: seconds on the monotonic clock.
    """
    if now + seconds > request.deadline:
        return 0.0
    slack = request.target_time - now
    if slack <= 0:
        return LATE_UTILITY
    scale = (
        _LOGISTIC_SCALE_PER_DEVIATION * _LATENCY_DEVIATION_RATIO * seconds
        + _MIN_LOGISTIC_SCALE_S
    )
    on_time_probability = 1.0 / (
        1.0 + math.exp(min(50.0, (seconds - slack) / scale))
    )
    return LATE_UTILITY + (1.0 - LATE_UTILITY) * on_time_probability


def utility_of(view, *, request, service_time, mean_slowdown, now):
    """Return the expected utility of sending a request to a server now.

    Accounts for the failure ratio, the locality and the response time of the
    server.
    """
    seconds = _estimate.expected_latency(
        view, service_time=service_time, mean_slowdown=mean_slowdown, now=now
    )
    utility = response_utility(seconds=seconds, request=request, now=now)
    success = 1.0 - _health.current_failure_ratio(view, now)
    return (
        utility * success
        - LOCALITY_COST[view.locality]
        - _UTILITY_PER_S * min(1.0, seconds)
    )


def find_usable(views, *, request, now, for_probe=False):
    """Return the views that may get a request and have a free slot.

    Ejected servers are included if too few others are available, but no
    others that are excluded.

    Args:
      for_probe: whether servers are included that only need a health response
        before they may get a request.
    """
    available, ejected, unchecked = [], [], []
    for view in views:
        if view.instance in request.excluded:
            continue
        exclusion = _exclusion.find_exclusion(view, now)
        if exclusion is None:
            available.append(view)
        elif exclusion is _exclusion.Exclusion.EJECTED:
            ejected.append(view)
        elif exclusion is _exclusion.Exclusion.UNCHECKED:
            unchecked.append(view)
    available_count = len(available) + len(unchecked)
    allowed_count = available_count + len(ejected)
    if for_probe:
        available += unchecked
    if available_count < _MIN_AVAILABLE_SHARE * allowed_count:
        available += ejected
    return [
        view
        for view in available
        if _estimate.expected_load(view, now) + 0.5
        <= _full_servers.load_limit(view, now)
    ]


def sample_views(views, *, request, now, rng):
    """Return the views that are compared for a request.

    Load pattern: a service has hundreds of servers, and comparing all of them
    for each request would take more time than forwarding it.

    Args:
      views: ServerViews of one service.
      request: PendingRequest.
      now: seconds on the monotonic clock.
      rng: random.Random.
    Returns:
      A list of at most MAX_COMPARED_SERVERS views. If there are more, they
      are random ones that are usable.
    """
    if len(views) <= MAX_COMPARED_SERVERS:
        return views
    usable = find_usable(views, request=request, now=now, for_probe=True)
    if len(usable) <= MAX_COMPARED_SERVERS:
        return usable
    return rng.sample(usable, MAX_COMPARED_SERVERS)


def probe_count(rate):
    """Return how many servers to probe before a selection.

    Load pattern: callers send the requests of a service to its home nodes, and
    single requests reach one of the many other nodes. Such a node has no load
    reports of the servers and no connections to them, and both probes and
    connections have a cost.

    Args:
      rate: requests of the service per second at this node.
    """
    return _BUSY_PROBES if rate >= _BUSY_RATE_PER_S else _IDLE_PROBES


def probe_candidates(
    views, *, request, service_time, mean_slowdown, now, max_servers
):
    """Return the servers to probe before a selection.

    Args:
      views: ServerViews of one service.
      request: PendingRequest.
      service_time: undisturbed service time in seconds.
      mean_slowdown: mean slowdown of all servers.
      now: seconds on the monotonic clock.
      max_servers: largest number of servers to consider.
    Returns:
      A list of views: those with the highest expected utility, without servers
      whose load reports are fresh and that need no health check.
    """
    ranked = sorted(
        find_usable(views, request=request, now=now, for_probe=True),
        key=lambda view: utility_of(
            view,
            request=request,
            service_time=service_time,
            mean_slowdown=mean_slowdown,
            now=now,
        ),
        reverse=True,
    )
    return [
        view
        for view in ranked[:max_servers]
        if view.report is None
        or now - view.report.received > FRESH_REPORT_S
        or view.health_due <= now
    ]


def utility_of_waiting(
    *,
    request,
    service_time,
    mean_slowdown,
    fast_slowdown,
    now,
    ahead,
    slots,
):
    """Return the expected utility of waiting for a server in the own region.

    Args:
      request: PendingRequest.
      service_time: undisturbed service time in seconds.
      mean_slowdown: mean slowdown of all servers.
      fast_slowdown: slowdown of the fast servers, for which it waits.
      now: seconds on the monotonic clock.
      ahead: number of queued requests that are served first.
      slots: sum of usable_slots() of the servers in the own region.
    """
    queue_wait = _admission.expected_wait(
        ahead=ahead,
        service_time=service_time,
        slowdown=mean_slowdown,
        slots=slots,
    )
    return response_utility(
        seconds=max(EXPECTED_SLOT_WAIT_S, queue_wait)
        + service_time * fast_slowdown,
        request=request,
        now=now,
    )


def choose(
    views,
    *,
    request,
    service_time,
    mean_slowdown,
    now,
    utilization,
    fast_slowdown=1.0,
):
    """Return the Pick for a request.

    With rising utilization, a request that will probably be late is kept away
    from slots that requests within their target time need.

    Args:
      views: ServerViews of one service that may be considered.
      request: PendingRequest.
      service_time: undisturbed service time in seconds.
      mean_slowdown: mean slowdown of all servers.
      now: seconds on the monotonic clock.
      utilization: share of the slots in use; 1 if requests are queued that can
        still meet their target time.
      fast_slowdown: slowdown of the fast servers at this time.
    """
    best, best_utility = None, float("-inf")
    late = _request_queue.is_late(request, service_time=service_time, now=now)
    usable = find_usable(views, request=request, now=now)
    for view in _full_servers.without_unknown_load(
        usable, views=views, request=request, now=now
    ):
        utility = utility_of(
            view,
            request=request,
            service_time=service_time,
            mean_slowdown=mean_slowdown,
            now=now,
        )
        likely_late = late or utility < _LIKELY_LATE_UTILITY
        if likely_late and _harms_others(
            view, mean_slowdown, fast_slowdown, now, utilization
        ):
            continue
        if utility > best_utility:
            best, best_utility = view, utility
    if best is None:
        return Pick(view=None, should_wait=True)
    utility_after_wait = response_utility(
        seconds=EXPECTED_SLOT_WAIT_S + service_time * fast_slowdown,
        request=request,
        now=now,
    )
    should_wait = (
        not late and best_utility + _WAIT_UTILITY_MARGIN < utility_after_wait
    )
    return Pick(
        view=best, expected_utility=best_utility, should_wait=should_wait
    )


def _harms_others(view, mean_slowdown, fast_slowdown, now, utilization):
    """Return whether a late request should not use a server."""
    if utilization > _LAST_SLOT_UTILIZATION:
        load = _estimate.expected_load(view, now)
        if _estimate.is_nearly_full(load, view.slots):
            return True
    if utilization <= _SLOW_SERVER_UTILIZATION:
        return False
    return (
        _estimate.expected_slowdown(view, now, mean_slowdown)
        > _SLOW_SERVER_SLOWDOWN * fast_slowdown
    )
