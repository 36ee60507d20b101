"""Handles a caller request from routing to the final response."""

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
from wigeonrouter.request_path import _deduplicator
from wigeonrouter.request_path import _forwarder
from wigeonrouter.request_path import _request_rules

# Limits the size of keys: each tenant has its own queue and histogram.
_MAX_TENANT_LENGTH = 100
_log = logbook.Logger("request-path")


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RequestRecord:
    """Data of a finished request for logs and metrics. Latency in seconds."""

    request_id: str
    service: str
    kind: str
    tenant: str
    server: str
    problem: str
    outcome: core.Outcome
    latency: float


class RequestHandler:
    """Owns the dispatchers, the connection pool and the deduplicator.

    Args:
      place: core.Place of this daemon.
      own_member: function that returns the core.Member of this daemon.
      claim_from_peer: function that claims a request id from the daemon that
        it names; see Deduplicator.
      observe: function that is called with the RequestRecord of each finished
        request.
      announce: function that is called with a core.Address and True or False
        when that backend server announces a drain or has ended it.
      rng: random.Random, or None for a new one.
      clock: monotonic clock, seconds.
      wall_clock: Unix time, seconds.
    """

    def __init__(
        self,
        *,
        place,
        own_member,
        claim_from_peer,
        observe,
        announce=lambda address, draining: None,
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
        self._deduplicator = _deduplicator.Deduplicator(
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
        """Dict from service name to Dispatcher, of services with requests."""
        return self._dispatchers

    @property
    def deduplicator(self):
        """The Deduplicator of this daemon."""
        return self._deduplicator

    @property
    def connections_in_use(self):
        """Number of connections to backend servers that are checked out."""
        return self._pool.in_use

    def reconfigure(self, services):
        """Apply a dict from service name to core.EffectiveService."""
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
        """Apply the set of addresses of draining backend servers, as text."""
        self._draining = frozenset(addresses)
        for dispatcher in self._dispatchers.values():
            dispatcher.set_draining(self._draining)

    def close_idle_connections(self):
        """Close the pooled connections that exceed the idle limit."""
        self._pool.close_idle()

    def body_limit(self, request):
        """Return the body limit, in bytes, for the head of a request.

        Raises:
          MalformedMessage: no service matches the request.
        """
        service, _ = self._route(request)
        if service is None:
            raise _messages.MalformedMessage(core.problems.NO_ROUTE)
        return service.limits.max_body_bytes

    def handle(self, request, arrived):
        """Handle one request.

        Args:
          request: HttpRequest.
          arrived: earliest time at which it may have arrived, seconds on
            the monotonic clock.
        Returns:
          HttpResponse for the caller. Internal errors become responses too.
        Raises:
          CallerDisconnected: the caller has closed its connection.
        """
        context = _RequestContext(
            request=request,
            request_id=request.header(b"x-request-id").decode("latin-1"),
            tenant=request.header(b"x-tenant").decode("latin-1") or "default",
            arrived=arrived,
        )
        try:
            result = self._validate_and_forward(context)
        except _caller_connection.CallerDisconnected:
            self._record(
                context, core.problems.CALLER_GONE.name, core.Outcome.UNKNOWN
            )
            raise
        except Exception:
            _log.exception(
                "internal error while handling request {}", context.request_id
            )
            result = core.Problem(problem=core.problems.INTERNAL)
        return self._finish_request(context, result)

    def _route(self, request):
        path = request.target.decode("latin-1").partition("?")[0]
        if "%" in path:
            # Backend servers decode the path, so the traffic kind must be
            # that of the decoded path.
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

    def _validate_and_forward(self, context):
        context.service, context.kind = self._route(context.request)
        if context.service is None:
            return core.Problem(problem=core.problems.NO_ROUTE)
        service_limits = context.service.limits
        if len(context.request.body) > service_limits.max_body_bytes:
            return core.Problem(problem=core.problems.BODY_TOO_LARGE)
        if len(context.tenant) > _MAX_TENANT_LENGTH:
            return core.Problem(
                problem=core.problems.BAD_REQUEST,
                detail="X-Tenant is too long",
            )
        timeout = _request_rules.parse_timeout(
            text=context.request.header(b"x-request-timeout-ms").decode(
                "latin-1"
            ),
            kind=context.kind,
            limits=service_limits,
        )
        if timeout is None:
            return core.Problem(
                problem=core.problems.BAD_REQUEST,
                detail="X-Request-Timeout-Ms is not a positive integer",
            )
        context.forwarding = _forwarder.ForwardingState(
            request=context.request,
            kind=context.kind,
            tenant=context.tenant,
            deadline=context.arrived + timeout,
            dispatcher=self._dispatcher(context.service),
            budget=self._budgets[context.service.name],
        )
        if context.request_id and not context.kind.idempotent:
            return self._forward_once(context)
        return self._forwarder.forward(context.forwarding)

    def _forward_once(self, context):
        failure = self._deduplicator.begin(context.request_id)
        if failure is not None:
            return failure
        outcome = None
        try:
            result = self._forwarder.forward(context.forwarding)
            outcome = _outcome_of(result)
            return result
        finally:
            if outcome is None:
                # The caller disconnected, or an internal error occurred.
                in_doubt = context.forwarding.in_doubt
                outcome = (
                    core.Outcome.UNKNOWN if in_doubt else core.Outcome.NOT_RUN
                )
            self._deduplicator.finish(context.request_id, outcome)

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

    def _finish_request(self, context, result):
        outcome = _outcome_of(result)
        if outcome is core.Outcome.NOT_RUN:
            result = self._deduplicator.verify_not_run(
                context.request_id, result
            )
            outcome = _outcome_of(result)
        problem = ""
        if isinstance(result, core.Problem):
            problem = result.problem.name
            result = _render.problem_response(
                failure=result,
                request_id=context.request_id,
                retry_budget=(
                    context.forwarding.retry_allowance
                    if context.forwarding
                    else None
                ),
            )
        elif outcome is core.Outcome.FAILED:
            result = dataclasses.replace(result, outcome=b"failed")
        self._record(context, problem, outcome)
        return result

    def _record(self, context, problem, outcome):
        # Deferred to the event loop, so that the response is sent first.
        self._loop.run_callback(
            self._observe,
            RequestRecord(
                request_id=context.request_id,
                service=context.service.name if context.service else "",
                kind=context.kind.name,
                tenant=context.tenant[:_MAX_TENANT_LENGTH],
                server=context.forwarding.server if context.forwarding else "",
                problem=problem,
                outcome=outcome,
                latency=self._clock() - context.arrived,
            ),
        )


@dataclasses.dataclass(kw_only=True, slots=True)
class _RequestContext:
    """A request and what was derived from it. Arrival time in seconds."""

    request: _messages.HttpRequest
    request_id: str
    tenant: str
    arrived: float
    service: core.EffectiveService | None = None
    kind: core.TrafficKind = dispatch.DEFAULT_KIND
    forwarding: _forwarder.ForwardingState | None = None


def _outcome_of(result):
    if isinstance(result, core.Problem):
        return result.problem.outcome
    return _attempt.outcome_of(result)
