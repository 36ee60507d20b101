"""Handles one caller request from routing to the final answer."""

import dataclasses
import random
import time
from urllib import parse

import gevent
import logbook

from wigeonrouter import core
from wigeonrouter import dispatch
from wigeonrouter import limits
from wigeonrouter.http1 import _caller_connection
from wigeonrouter.http1 import _messages
from wigeonrouter.http1 import _pool
from wigeonrouter.http1 import _render
from wigeonrouter.request_path import _attempt
from wigeonrouter.request_path import _decisions
from wigeonrouter.request_path import _forwarder
from wigeonrouter.request_path import _owned_ids

# Tenant names become keys of queues and histograms.
_MAX_TENANT_LENGTH = 100
_log = logbook.Logger("request-path")


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
        announce=lambda address, leaving: None,
        rng=None,
        clock=time.monotonic,
        wall_clock=time.time,
    ):
        self._place = place
        self._loop = gevent.get_hub().loop
        self._observe = observe
        self._announce = announce
        self._rng = rng or random.Random()
        self._clock = clock
        self._pool = _pool.ConnectionPool(clock=clock)
        self._forwarder = _forwarder.Forwarder(pool=self._pool, clock=clock)
        self._ids = _owned_ids.OwnedIds(
            own_member=own_member,
            claim_from_peer=claim_from_peer,
            clock=clock,
            wall_clock=wall_clock,
        )
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
        """The OwnedIds."""
        return self._ids

    @property
    def connections_in_use(self):
        """Number of connections to backend servers with a request."""
        return self._pool.in_use

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

    def body_limit(self, request):
        """Return the largest body of a request whose head has arrived.

        Raises:
          MalformedMessage: no service matches the request.
        """
        service, _ = self._route(request)
        if service is None:
            raise _messages.MalformedMessage(core.problems.NO_ROUTE)
        return service.limits.max_body_bytes

    def handle(self, request, arrived):
        """Answer one request.

        Args:
          request: HttpRequest.
          arrived: earliest time at which it may have arrived, seconds on
            the monotonic clock.
        Returns:
          HttpResponse for the caller.
        """
        call = _Call(
            request=request,
            request_id=request.header(b"x-request-id").decode("latin-1"),
            tenant=request.header(b"x-tenant").decode("latin-1") or "default",
            arrived=arrived,
        )
        try:
            answer = self._run(call)
        except _caller_connection.CallerGone:
            self._record(
                call, core.problems.CALLER_GONE.name, core.Outcome.UNKNOWN
            )
            raise
        except Exception:
            _log.exception("request {} failed", call.request_id)
            answer = core.Problem(problem=core.problems.INTERNAL)
        return self._finish(call, answer)

    def _route(self, request):
        path = request.target.decode("latin-1").partition("?")[0]
        if "%" in path:
            # A backend server decodes the path; the kind of traffic must be
            # that of the path which it acts on.
            path = parse.unquote(path, "latin-1")
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

    def _run(self, call):
        call.service, call.kind = self._route(call.request)
        if call.service is None:
            return core.Problem(problem=core.problems.NO_ROUTE)
        limits_of = call.service.limits
        if len(call.request.body) > limits_of.max_body_bytes:
            return core.Problem(problem=core.problems.BODY_TOO_LARGE)
        if len(call.tenant) > _MAX_TENANT_LENGTH:
            return core.Problem(
                problem=core.problems.BAD_REQUEST,
                detail="X-Tenant is too long",
            )
        timeout = _decisions.parse_timeout(
            text=call.request.header(b"x-request-timeout-ms").decode(
                "latin-1"
            ),
            kind=call.kind,
            limits=limits_of,
        )
        if timeout is None:
            return core.Problem(
                problem=core.problems.BAD_REQUEST,
                detail="X-Request-Timeout-Ms is no positive number",
            )
        call.forwarding = _forwarder.Forwarding(
            request=call.request,
            kind=call.kind,
            tenant=call.tenant,
            deadline=call.arrived + timeout,
            dispatcher=self._dispatcher(call.service),
            budget=self._budgets[call.service.name],
        )
        if call.request_id and not call.kind.idempotent:
            return self._run_once(call)
        return self._forwarder.forward(call.forwarding)

    def _run_once(self, call):
        refusal = self._ids.begin(call.request_id)
        if refusal is not None:
            return refusal
        outcome = None
        try:
            answer = self._forwarder.forward(call.forwarding)
            outcome = _outcome_of(answer)
            return answer
        finally:
            if outcome is None:
                # The caller has gone, or the daemon failed.
                in_doubt = call.forwarding.in_doubt
                outcome = (
                    core.Outcome.UNKNOWN if in_doubt else core.Outcome.NOT_RUN
                )
            self._ids.finish(call.request_id, outcome)

    def _dispatcher(self, service):
        dispatcher = self._dispatchers.get(service.name)
        if dispatcher is None:
            dispatcher = dispatch.Dispatcher(
                service=service,
                place=self._place,
                rng=self._rng,
                clock=self._clock,
                announce=self._announce,
            )
            dispatcher.set_draining(self._draining)
            self._dispatchers[service.name] = dispatcher
            self._budgets[service.name] = limits.RetryBudget(
                ratio=service.retries.budget_ratio
            )
        return dispatcher

    def _finish(self, call, answer):
        outcome = _outcome_of(answer)
        if outcome is core.Outcome.NOT_RUN:
            answer = self._ids.check_not_run(call.request_id, answer)
            outcome = _outcome_of(answer)
        problem = ""
        if isinstance(answer, core.Problem):
            problem = answer.problem.name
            answer = _render.problem_response(
                refusal=answer,
                request_id=call.request_id,
                retry_budget=(
                    call.forwarding.allowance if call.forwarding else None
                ),
            )
        elif outcome is core.Outcome.FAILED:
            answer = dataclasses.replace(answer, outcome=b"failed")
        self._record(call, problem, outcome)
        return answer

    def _record(self, call, problem, outcome):
        # Runs when this task next waits, so that the response goes out first.
        self._loop.run_callback(
            self._observe,
            RequestRecord(
                request_id=call.request_id,
                service=call.service.name if call.service else "",
                kind=call.kind.name,
                tenant=call.tenant[:_MAX_TENANT_LENGTH],
                server=call.forwarding.server if call.forwarding else "",
                problem=problem,
                outcome=outcome,
                latency=self._clock() - call.arrived,
            ),
        )


@dataclasses.dataclass(kw_only=True, slots=True)
class _Call:
    """What is known of a request so far. Arrival time in seconds."""

    request: _messages.HttpRequest
    request_id: str
    tenant: str
    arrived: float
    service: core.EffectiveService | None = None
    kind: core.TrafficKind = dispatch.DEFAULT_KIND
    forwarding: _forwarder.Forwarding | None = None


def _outcome_of(answer):
    if isinstance(answer, core.Problem):
        return answer.problem.outcome
    return _attempt.outcome_of(answer)
