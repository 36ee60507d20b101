"""Handles one caller request from its route to the final answer."""

import dataclasses
import time
from urllib import parse

from wigeonrouter import core
from wigeonrouter import http1
from wigeonrouter import placement
from wigeonrouter import topology
from wigeonrouter.node import dialect

# Servers that were never reached by a request do not use up its attempts.
_MAX_UNREACHED = 3
# Callers return to a node without a configuration after this time.
_NOT_READY_RETRY_S = 0.3
# A node that has just started knows its configuration within this time; until
# then requests are held instead of being refused.
_START_S = 0.5
_RETRY_AFTER_REFUSAL_S = 0.1
# Usual waits are written again when they have changed by this part.
_WAIT_CHANGE = 0.2
# Time that an answer takes to the caller.
_ANSWER_TRAVEL_S = 0.003


@dataclasses.dataclass(kw_only=True, slots=True)
class _Call:
    """A request on its way. Times on the monotonic clock."""

    request: http1.HttpRequest
    request_id: str
    route: topology.Route
    service: str
    job: placement.PendingRequest
    attempts: int = 0
    unreached: int = 0
    may_have_run: bool = False


class Proxy:
    """Routes requests, sends them to backend servers, repeats where allowed.

    Args:
      world: World.
      balancers: function from a service's name to its Balancer, or None.
      sender: Sender.
      wire: adapter's dialect.
      metrics: RequestMetrics.
    """

    def __init__(
        self,
        *,
        world,
        balancers,
        sender,
        wire,
        splitter,
        events,
        metrics,
        clock=time.monotonic,
    ):
        self._metrics = metrics
        self._world = world
        self._balancers = balancers
        self._sender = sender
        self._wire = wire
        self._splitter = splitter
        self._events = events
        self._clock = clock
        self._usual_waits = {}

    def new_waits(self):
        """Return usual waits that differ from those kept, by route."""
        found = {}
        for route, usual in self._usual_waits.items():
            kept = self._world.waits.get(route)
            learned = usual.learned_timeout
            if learned is not None and (
                kept is None or abs(learned - kept) > _WAIT_CHANGE * kept
            ):
                found[route] = learned
        return found

    def body_limit(self, request):
        """Return the largest accepted body in bytes."""
        configuration = self._world.configuration
        if configuration is None:
            return topology.CallerLimits().max_body_bytes
        return configuration.limits.max_body_bytes

    def handle(self, request, arrived):
        """Answer one request.

        Args:
          request: HttpRequest.
          arrived: earliest time at which it may have arrived.
        Returns:
          HttpResponse for the caller.
        """
        incoming = self._wire.read_request(request)
        call = self._route(request, incoming, arrived)
        if isinstance(call, dialect.Refused):
            return self._refuse(call, incoming.request_id, arrived, None)
        balancer = self._balancers(call.service)
        try:
            balancer.budget.on_request(self._clock())
            result = self._run(call, balancer)
        except http1.CallerDisconnected:
            self._log(call, "caller-gone")
            self._metrics.left(
                service=call.service,
                route=call.route,
                latency=self._clock() - arrived,
            )
            raise
        except Exception as error:
            result = _internal_error(call, error)
        if isinstance(result, dialect.Refused):
            return self._refuse(result, call.request_id, arrived, call)
        self._log(call, "answered", status=result.status)
        self._metrics.answered(
            service=call.service,
            route=call.route,
            status=result.status,
            latency=self._clock() - arrived,
        )
        return result

    def _route(self, request, incoming, arrived):
        if self._world.configuration is None:
            self._world.wait_configured(_START_S)
        if self._world.configuration is None:
            return dialect.Refused(
                problem=core.problems.NOT_READY,
                retry_after=_NOT_READY_RETRY_S,
            )
        path = request.target.decode("latin-1").partition("?")[0]
        if "%" in path:
            path = parse.unquote(path, "latin-1")
        host = request.header(b"host").decode("latin-1").partition(":")[0]
        route = self._world.routes.find(host=host.lower(), path=path)
        if route is None:
            return dialect.Refused(
                problem=core.problems.NO_ROUTE, detail=f"{host}{path}"
            )
        return _Call(
            request=request,
            request_id=incoming.request_id,
            route=route,
            service=self._splitter.choose(route),
            job=self._job(route, incoming, arrived),
        )

    def _job(self, route, incoming, arrived):
        remaining = incoming.remaining
        if remaining is None:
            remaining = route.timeout
        usual = self._usual_waits.get(route.name)
        if usual is None:
            usual = placement.CallerTimeoutEstimate(
                stored=self._world.waits.get(route.name)
            )
            self._usual_waits[route.name] = usual
        spent = usual.estimate_age(remaining)
        return placement.PendingRequest(
            priority=route.priority,
            idempotent=route.idempotent,
            arrived=arrived,
            target_time=arrived
            + route.target_latency
            - spent
            - _ANSWER_TRAVEL_S,
            deadline=arrived + min(remaining, route.timeout),
        )

    def _run(self, call, balancer):
        while True:
            grant = balancer.acquire(call.job, call.route)
            if isinstance(grant, dialect.Refused):
                if call.may_have_run:
                    return dialect.Refused(problem=core.problems.ANSWER_LOST)
                return grant
            attempt = self._attempt(call, balancer, grant)
            result = self._conclude(call, balancer, grant, attempt)
            if result is not None:
                return result

    def _attempt(self, call, balancer, grant):
        started = self._clock()
        attempt = None
        try:
            attempt = self._sender.send(
                request=call.request,
                request_id=call.request_id,
                registration=grant.registration,
                idempotent=call.route.idempotent,
                give_up=call.job.deadline,
            )
            return attempt
        finally:
            ended = placement.AttemptOutcome.CANCELLED
            load = None
            if attempt is None:
                # Stopped or failed on the way; the request may be there.
                call.may_have_run = True
            else:
                ended = attempt.ended
                load = attempt.answer.load if attempt.answer else None
            latency = self._clock() - started
            balancer.release(
                grant,
                route=call.route,
                ended=ended,
                load=load,
                latency=latency,
                late=attempt is not None and attempt.late,
            )
            self._log_attempt(call, grant, attempt, ended, latency)

    def _conclude(self, call, balancer, grant, attempt):
        """Return the final result after an attempt, None to try again."""
        instance = grant.registration.instance
        if attempt.ended is placement.AttemptOutcome.UNREACHABLE:
            call.unreached += 1
            call.job = _exclude(call.job, instance)
            if call.unreached <= _MAX_UNREACHED:
                return None
            return dialect.Refused(
                problem=core.problems.CONNECT_FAILED,
                retry_after=_RETRY_AFTER_REFUSAL_S,
                detail=attempt.detail,
            )
        call.attempts += 1
        if attempt.may_have_run:
            call.may_have_run = True
        if attempt.answer is not None and attempt.answer.misdirected:
            balancer.misdirected(instance)
        if attempt.ended is placement.AttemptOutcome.SUCCEEDED:
            return attempt.response
        if self._may_repeat(call, balancer, attempt):
            call.job = _exclude(call.job, instance)
            return None
        return _final(attempt, call)

    def _may_repeat(self, call, balancer, attempt):
        if attempt.may_have_run and not call.route.idempotent:
            return False
        if call.attempts >= call.route.max_attempts:
            return False
        now = self._clock()
        if now >= call.job.deadline:
            return False
        return balancer.budget.try_spend(now)

    def _refuse(self, refused, request_id, arrived, call):
        latency = self._clock() - arrived
        self._metrics.refused(
            service=call.service if call else "",
            route=call.route if call else None,
            problem=refused.problem,
            latency=latency,
        )
        self._events.event(
            "refused",
            id=request_id,
            problem=refused.problem.name,
            retry_after=refused.retry_after,
            detail=refused.detail,
            attempts=call.attempts if call else 0,
            route=call.route.name if call else "",
            held_ms=_ms(latency),
        )
        return self._wire.refusal(refusal=refused, request_id=request_id)

    def _log(self, call, event, **fields):
        now = self._clock()
        self._events.event(
            event,
            id=call.request_id,
            route=call.route.name,
            service=call.service,
            version=self._world.configuration.version,
            attempts=call.attempts,
            took_ms=_ms(now - call.job.arrived),
            left_to_target_ms=_ms(call.job.target_time - now),
            **fields,
        )

    def _log_attempt(self, call, grant, attempt, ended, latency):
        self._events.event(
            "attempt",
            id=call.request_id,
            instance=grant.registration.instance,
            waited_ms=_ms(grant.at - call.job.arrived),
            load=round(grant.load, 1),
            slowness=round(grant.slowness, 2),
            report_age_ms=(
                None if grant.report_age is None else _ms(grant.report_age)
            ),
            worth=round(grant.worth, 2),
            ended=ended.value,
            latency_ms=_ms(latency),
            detail=attempt.detail if attempt else "",
        )


def _exclude(job, instance):
    return dataclasses.replace(job, excluded=job.excluded | {instance})


def _final(attempt, call):
    if attempt.response is not None and not attempt.answer.not_run:
        return attempt.response
    if call.may_have_run:
        return dialect.Refused(
            problem=core.problems.ANSWER_LOST, detail=attempt.detail
        )
    return dialect.Refused(
        problem=core.problems.REFUSED_BY_SERVER,
        retry_after=_RETRY_AFTER_REFUSAL_S,
        detail=attempt.detail,
    )


def _internal_error(call, error):
    problem = core.problems.INTERNAL
    if not call.may_have_run:
        problem = core.problems.NO_SERVER
    return dialect.Refused(
        problem=problem, detail=f"{type(error).__name__}: {error}"
    )


def _ms(seconds):
    return round(seconds * 1000, 1)
