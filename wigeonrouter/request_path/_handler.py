"""Handles one caller request from routing to the final answer."""

import dataclasses
import random
import time

from wigeonrouter import core
from wigeonrouter import dispatch
from wigeonrouter import limits
from wigeonrouter.request_path import _decisions
from wigeonrouter.request_path import _forwarder
from wigeonrouter.request_path import _http
from wigeonrouter.request_path import _pool
from wigeonrouter.request_path import _request_ids


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RequestRecord:
    """What logs and metrics get to know of a request. Latency in seconds."""

    request_id: str
    service: str
    kind: str
    tenant: str
    server: str
    problem: str
    outcome: core.Outcome
    latency: float


class RequestHandler:
    """Owns the dispatchers, the pool and the request id table."""

    def __init__(
        self,
        *,
        place,
        own_member,
        claim_from_peer,
        observe,
        rng=None,
        clock=time.monotonic,
        wall_clock=time.time,
    ):
        self._place = place
        self._own_member = own_member
        self._claim_from_peer = claim_from_peer
        self._observe = observe
        self._rng = rng or random.Random()
        self._clock = clock
        self._wall_clock = wall_clock
        self._pool = _pool.ConnectionPool(clock=clock)
        self._forwarder = _forwarder.Forwarder(pool=self._pool, clock=clock)
        self._ids = _request_ids.RequestIdTable(clock=clock)
        self._services = {}
        self._table = dispatch.build_routing_table({})
        self._dispatchers = {}
        self._budgets = {}
        self._draining = frozenset()

    @property
    def dispatchers(self):
        """Dict from service name to its Dispatcher, those in use only."""
        return self._dispatchers

    @property
    def ids(self):
        """The RequestIdTable."""
        return self._ids

    def reconfigure(self, services):
        """Take over a dict of core.EffectiveService."""
        self._services = services
        self._table = dispatch.build_routing_table(services)
        for name in list(self._dispatchers):
            if name not in services:
                del self._dispatchers[name]
                del self._budgets[name]
            elif services[name] is not self._dispatchers[name].service:
                self._dispatchers[name].reconfigure(services[name])
                self._budgets[name] = limits.RetryBudget(
                    ratio=services[name].retries.budget_ratio
                )

    def set_draining(self, addresses):
        """Take over the backend server addresses known to be leaving."""
        self._draining = frozenset(addresses)
        for dispatcher in self._dispatchers.values():
            dispatcher.set_draining(self._draining)

    def close_idle_connections(self):
        """Close pooled connections that were idle for too long."""
        self._pool.close_idle()

    def handle(self, request):
        """Answer one request.

        Args:
          request: HttpRequest.
        Returns:
          HttpResponse for the caller.
        """
        started = self._clock()
        request_id = request.header(b"x-request-id").decode("latin-1")
        tenant = request.header(b"x-tenant").decode("latin-1") or "default"
        service, kind = self._route(request)
        server = ""
        if service is None:
            answer = core.Refusal(problem=core.problems.NO_ROUTE)
        else:
            answer, server = self._run(
                request, request_id, tenant, service, kind, started
            )
        return self._finish(
            answer, request_id, tenant, service, kind, server, started
        )

    def _route(self, request):
        path = request.target.decode("latin-1").partition("?")[0]
        host = request.header(b"host").decode("latin-1").partition(":")[0]
        name = dispatch.find_service(
            table=self._table,
            header=request.header(b"x-service").decode("latin-1"),
            host=host.lower(),
            path=path,
        )
        if name is None:
            return None, dispatch.DEFAULT_KIND
        service = self._services[name]
        kind = dispatch.find_kind(
            service=service, method=request.method.decode(), path=path
        )
        return service, kind

    def _run(self, request, request_id, tenant, service, kind, started):
        if len(request.body) > service.limits.max_body_bytes:
            return core.Refusal(problem=core.problems.BODY_TOO_LARGE), ""
        timeout = _decisions.parse_timeout(
            text=request.header(b"x-request-timeout-ms").decode("latin-1"),
            kind=kind,
            limits=service.limits,
        )
        if timeout is None:
            return (
                core.Refusal(
                    problem=core.problems.BAD_REQUEST,
                    detail="X-Request-Timeout-Ms is no positive number",
                ),
                "",
            )
        remembered = bool(request_id) and not kind.idempotent
        if remembered:
            refusal = self._begin(request_id)
            if refusal is not None:
                return refusal, ""
        outcome = core.Outcome.UNKNOWN
        try:
            answer, server = self._forwarder.forward(
                request=request,
                kind=kind,
                tenant=tenant,
                deadline=started + timeout,
                dispatcher=self._dispatcher(service),
                budget=self._budgets[service.name],
            )
            outcome = _outcome_of(answer)
            return answer, server
        finally:
            if remembered:
                self._ids.finish(request_id, outcome)

    def _begin(self, request_id):
        parsed = _request_ids.parse_request_id(request_id)
        if parsed is not None:
            refusal = self._check_owner(request_id, parsed)
            if refusal is not None:
                return refusal
        return self._ids.begin(request_id)

    def _check_owner(self, request_id, parsed):
        age = self._wall_clock() - parsed.time_ms / 1000
        if age > _request_ids.RETENTION_S - _request_ids.CLOCK_TOLERANCE_S:
            return core.Refusal(problem=core.problems.ID_EXPIRED)
        if age < -_request_ids.CLOCK_TOLERANCE_S:
            return core.Refusal(
                problem=core.problems.BAD_REQUEST,
                detail="the request id is from the future",
            )
        own = self._own_member()
        if parsed.daemon_id == own.daemon_id:
            if parsed.instance == own.instance:
                return None
            return core.Refusal(problem=core.problems.ID_OWNER_UNREACHABLE)
        reply = self._claim_from_peer(parsed, request_id)
        if reply is None:
            return core.Refusal(problem=core.problems.ID_OWNER_UNREACHABLE)
        if reply.seen:
            return core.Refusal(
                problem=core.problems.DUPLICATE,
                detail=f"first outcome: {reply.outcome}",
            )
        return None

    def _dispatcher(self, service):
        dispatcher = self._dispatchers.get(service.name)
        if dispatcher is None:
            dispatcher = dispatch.Dispatcher(
                service=service,
                place=self._place,
                rng=self._rng,
                clock=self._clock,
            )
            dispatcher.set_draining(self._draining)
            self._dispatchers[service.name] = dispatcher
            self._budgets[service.name] = limits.RetryBudget(
                ratio=service.retries.budget_ratio
            )
        return dispatcher

    def _finish(
        self, answer, request_id, tenant, service, kind, server, started
    ):
        outcome = _outcome_of(answer)
        problem = ""
        if isinstance(answer, core.Refusal):
            problem = answer.problem.name
            answer = _http.problem_response(
                refusal=answer, request_id=request_id
            )
        elif outcome is core.Outcome.FAILED:
            answer = dataclasses.replace(
                answer, headers=(*answer.headers, (b"x-outcome", b"failed"))
            )
        self._observe(
            RequestRecord(
                request_id=request_id,
                service=service.name if service else "",
                kind=kind.name,
                tenant=tenant,
                server=server,
                problem=problem,
                outcome=outcome,
                latency=self._clock() - started,
            )
        )
        return answer


def _outcome_of(answer):
    if isinstance(answer, core.Refusal):
        return answer.problem.outcome
    return core.Outcome.FAILED if answer.status >= 500 else core.Outcome.OK
