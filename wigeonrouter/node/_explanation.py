"""Records that say where a request would go now on this node, and why.

Nothing here has an API key. Times are in seconds.
"""

import collections
import dataclasses

from wigeonrouter import placement

QUOTA_REJECTED = "rejected"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RejectionExplanation:
    """A rejection that the request would get.

    Attributes:
      problem: name of the problem type.
      retry_after: one possible Retry-After, None without one.
    """

    status: int
    problem: str
    retry_after: float | None
    detail: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RouteExplanation:
    """The route of the request."""

    name: str
    host: str
    prefix: str
    idempotent: bool
    priority: int
    timeout: float
    target_latency: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TenantExplanation:
    """The tenant of the request.

    Attributes:
      rejection: what a request with its key gets, None if it is accepted.
    """

    name: str
    priority: int
    rejection: RejectionExplanation | None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class QuotaExplanation:
    """The quota of the tenant; see _quota_client.QuotaState.

    Attributes:
      outcome: "token held", "waits for the hub", "no hub to ask" or
        QUOTA_REJECTED.
      retry_after: least Retry-After of a rejection.
    """

    rate: float
    burst: float
    tokens: int
    refused: bool
    region_total: int | None
    outcome: str
    retry_after: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class DomainExplanation:
    """The backend servers of a service in one failure domain.

    Attributes:
      allowed: whether the home regions of the request include its region.
      cold: servers in their slow start, usable or not.
      excluded: dict from the reason to the number of servers.
    """

    region: str
    failure_domain: str
    allowed: bool
    usable: int
    cold: int
    excluded: dict[str, int]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ChoiceExplanation:
    """The server that would be chosen.

    Attributes:
      locality: "domain", "region" or "remote", as seen from this node.
    """

    instance: str
    region: str
    failure_domain: str
    locality: str
    expected_latency: float
    expected_utility: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ServiceExplanation:
    """What one service of the route would do with the request.

    Attributes:
      share: share of the route's requests, from 0 to 1.
      queue_length: requests that wait at this node.
      ahead: those of them that are served before this one.
      rejection: None if the request is admitted.
      choice: None if it is rejected or waits.
      unprobed: servers whose load would be probed first.
      wait_reason: why it waits, "" if it does not.
      spill_over: dict from locality to the share of requests that may leave.
    """

    name: str
    share: float
    queue_length: int
    ahead: int
    rejection: RejectionExplanation | None
    choice: ChoiceExplanation | None
    unprobed: int
    wait_reason: str
    utility_of_waiting: float
    spill_over: dict[str, float]
    domains: tuple[DomainExplanation, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Explanation:
    """Where a request would go.

    Attributes:
      rejection: what the request would get before any service is asked. The
        services then say what they would do with it otherwise.
      without_key: what it would get without a key; None if none is needed.
      home_regions: those that route and tenant leave, None for all.
      forwarded_to: addresses of the nodes that it would be passed on to.
    """

    node: str
    host: str
    path: str
    rejection: RejectionExplanation | None = None
    route: RouteExplanation | None = None
    key_needed: bool = False
    without_key: RejectionExplanation | None = None
    tenant: TenantExplanation | None = None
    quota: QuotaExplanation | None = None
    home_regions: tuple[str, ...] | None = None
    forwarded_to: tuple[str, ...] = ()
    services: tuple[ServiceExplanation, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ServiceState:
    """What a node knows of one service; the input of explain_service().

    Attributes:
      weight, total_weight: of the share of the route.
      decision: _balancer_preview.Decision.
      views: ServerViews, also of excluded servers.
      draining: places of the draining servers, which have no view.
      spill_over: dict from locality to share.
    """

    name: str
    weight: int
    total_weight: int
    decision: object
    views: tuple[placement.ServerView, ...]
    draining: tuple
    queue_length: int
    spill_over: dict[str, float]


def explain_rejection(rejection):
    """Return the RejectionExplanation of a messages.Rejection, or None."""
    if rejection is None:
        return None
    return RejectionExplanation(
        status=rejection.problem.status,
        problem=rejection.problem.name,
        retry_after=rejection.retry_after,
        detail=rejection.detail,
    )


def explain_route(route):
    """Return the RouteExplanation of a topology.Route."""
    return RouteExplanation(
        name=route.name,
        host=route.host,
        prefix=route.prefix,
        idempotent=route.idempotent,
        priority=route.priority,
        timeout=route.timeout,
        target_latency=route.target_latency,
    )


def explain_quota(state):
    """Return the QuotaExplanation of a QuotaState; None without limit."""
    if state is None:
        return None
    outcome = "waits for the hub"
    if state.tokens:
        outcome = "token held"
    elif state.refused:
        outcome = QUOTA_REJECTED
    elif not state.has_hub:
        outcome = "no hub to ask"
    return QuotaExplanation(
        rate=state.rate,
        burst=state.burst,
        tokens=state.tokens,
        refused=state.refused,
        region_total=state.region_total,
        outcome=outcome,
        retry_after=state.retry_after,
    )


def explain_service(state, *, home_regions, now):
    """Return the ServiceExplanation of a ServiceState.

    Args:
      home_regions: frozenset of regions, None for all.
      now: seconds on the monotonic clock.
    """
    decision = state.decision
    return ServiceExplanation(
        name=state.name,
        share=state.weight / state.total_weight,
        queue_length=state.queue_length,
        ahead=decision.ahead,
        rejection=explain_rejection(decision.rejection),
        choice=_explain_choice(state, now),
        unprobed=decision.unprobed,
        wait_reason=_find_wait_reason(decision),
        utility_of_waiting=decision.utility_of_waiting,
        spill_over=state.spill_over,
        domains=_explain_domains(state, home_regions, now),
    )


def _explain_choice(state, now):
    decision = state.decision
    if decision.pick is None:
        return None
    # The view of a home region's server counts as local for the choice.
    chosen = decision.pick.view
    view = next(
        (view for view in state.views if view.instance == chosen.instance),
        chosen,
    )
    return ChoiceExplanation(
        instance=view.instance,
        region=view.place.region,
        failure_domain=view.place.failure_domain,
        locality=view.locality.name.lower(),
        expected_latency=placement.expected_latency(
            view,
            service_time=decision.service_time,
            mean_slowdown=decision.mean_slowdown,
            now=now,
        ),
        expected_utility=decision.pick.expected_utility,
    )


def _find_wait_reason(decision):
    if decision.rejection is not None or decision.pick is not None:
        return ""
    if decision.behind:
        return f"{decision.ahead} requests are ahead in the queue"
    if decision.unprobed:
        return "no server can be chosen before some are probed"
    return "no free slot is better than waiting for another one"


def _explain_domains(state, home_regions, now):
    views, draining = collections.defaultdict(list), collections.Counter()
    for view in state.views:
        views[view.place].append(view)
    draining.update(state.draining)
    places = sorted(
        views.keys() | draining.keys(),
        key=lambda place: (place.region, place.failure_domain),
    )
    return tuple(
        _explain_domain(
            place, views[place], draining[place], home_regions, now
        )
        for place in places
    )


def _explain_domain(place, views, draining, home_regions, now):
    exclusions = [placement.find_exclusion(view, now) for view in views]
    excluded = collections.Counter(
        exclusion.value for exclusion in exclusions if exclusion is not None
    )
    if draining:
        excluded["draining"] = draining
    return DomainExplanation(
        region=place.region,
        failure_domain=place.failure_domain,
        allowed=placement.allows_region(home_regions, place.region),
        usable=exclusions.count(None),
        cold=sum(view.slow_start_until > now for view in views),
        excluded=dict(sorted(excluded.items())),
    )
