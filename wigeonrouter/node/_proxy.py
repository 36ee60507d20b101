"""Handles a caller's request from route lookup to the final response."""

import time

from wigeonrouter import core
from wigeonrouter import http1
from wigeonrouter import placement
from wigeonrouter import topology
from wigeonrouter.node import _authenticator
from wigeonrouter.node import _forwarded_request
from wigeonrouter.node import _grant
from wigeonrouter.node import _no_quotas
from wigeonrouter.node import _request_router
from wigeonrouter.node import messages

# Failed connects do not count as attempts, because the server never got the
# request, but a request is rejected after more than this number of them.
_MAX_CONNECT_FAILURES = 3
# Retry-After after the last attempt could not connect or was rejected by its
# server.
_FAILED_ATTEMPT_RETRY_S = 0.1
# Outcomes of attempts whose server has run the request to its end.
_COMPLETED = (
    placement.AttemptOutcome.SUCCEEDED,
    placement.AttemptOutcome.FAILED,
)
# Why this node does not serve what other nodes pass on, while yet others may.
_DECLINED_PROBLEMS = frozenset(
    {core.problems.SERVERS_UNREACHABLE, core.problems.STOPPING}
)


class Proxy:
    """Routes requests to backend servers and retries where allowed.

    Args:
      cluster_state: ClusterState.
      balancer_for: function from a service's name to its Balancer.
      sender: Sender.
      crash_monitor: CrashMonitor.
      forwarder: Forwarder.
      codec: the adapter's HTTP codec.
      splitter: topology.TrafficSplitter, chooses the service of a route.
      request_log: RequestLog.
      authenticator: Authenticator, one without a limit on the age of the
        configuration by default.
      quotas: QuotaClient.
    """

    def __init__(
        self,
        *,
        cluster_state,
        balancer_for,
        sender,
        crash_monitor,
        forwarder,
        codec,
        splitter,
        request_log,
        authenticator=None,
        quotas=_no_quotas.NO_QUOTAS,
        clock=time.monotonic,
    ):
        self._cluster_state = cluster_state
        self._balancer_for = balancer_for
        self._sender = sender
        self._crash_monitor = crash_monitor
        self._forwarder = forwarder
        self._codec = codec
        self._request_log = request_log
        self._quotas = quotas
        self._clock = clock
        self._authenticator = authenticator or _authenticator.Authenticator(
            cluster_state=cluster_state
        )
        self._router = _request_router.RequestRouter(
            cluster_state=cluster_state,
            authenticator=self._authenticator,
            splitter=splitter,
        )
        # The RequestContexts of requests that are being handled.
        self._in_progress = set()

    @property
    def router(self):
        """RequestRouter of the requests."""
        return self._router

    def log_unfinished(self):
        """Log each request that is cut off, as the process ends."""
        for context in self._in_progress:
            self._request_log.on_cut_off(context)

    def changed_timeouts(self):
        """Return the estimates that differ much from the stored ones.

        Returns:
          Dict from route to the usual caller timeout, seconds.
        """
        return self._router.changed_timeouts()

    def body_limit(self, request):
        """Return the maximum request body size in bytes."""
        configuration = self._cluster_state.configuration
        if configuration is None:
            return topology.CallerLimits().max_body_bytes
        return configuration.limits.max_body_bytes

    def may_overlap(self, request):
        """Return whether a request may run beside others of its connection.

        Requests that are not idempotent may depend on those before them.
        """
        route = self._router.find_route(request)
        return route is not None and route.idempotent

    def handle(self, request, arrived, origin=None):
        """Handle one request.

        Args:
          request: HttpRequest.
          arrived: earliest time at which it may have arrived, monotonic
            seconds.
          origin: what the node says that has passed the request on, None if
            it comes from its caller.
        Returns:
          HttpResponse for the caller.
        Raises:
          http1.CallerDisconnected: the caller closed its connection.
        """
        request_metadata = self._codec.read_request(request)
        context = self._router.route(
            request, request_metadata, arrived, origin
        )
        if isinstance(context, messages.Rejection):
            return self._reject(
                context, request_metadata.request_id, arrived, None
            )
        balancer = self._balancer_for(context.service)
        self._in_progress.add(context)
        try:
            if origin is None:
                # The node that has it from its caller counts it.
                balancer.budget.on_request(self._clock())
            result = self._run(context, balancer)
        except http1.CallerDisconnected:
            self._request_log.on_caller_disconnected(context)
            raise
        except Exception as error:
            result = _internal_error(context, error)
        finally:
            self._in_progress.discard(context)
            self._quotas.release(context)
        if isinstance(result, messages.Rejection):
            rejection = _end_rejected(result, context)
            return self._reject(
                rejection, context.request_id, arrived, context
            )
        self._request_log.on_response(context, result)
        return result

    def _run(self, context, balancer):
        while True:
            rejection = balancer.check_homes(context.pending)
            if rejection is not None:
                return rejection
            if self._forwarder.should_forward(context):
                # The node that sends the request to a server needs a token.
                self._quotas.release(context)
                result = self._forward(context, balancer)
                if result is not None:
                    return result
            rejection = self._quotas.reserve(context)
            if rejection is not None:
                return rejection
            grant = self._acquire(context, balancer)
            if grant is None:
                continue
            if isinstance(grant, messages.Rejection):
                return grant
            try:
                attempt = self._attempt(context, balancer, grant)
                self._record_crash(context, grant, attempt)
            finally:
                self._crash_monitor.end(context.digest)
            result = self._handle_result(context, balancer, grant, attempt)
            if result is not None:
                return result

    def _forward(self, context, balancer):
        """Pass a request on to another node; see Forwarder.forward().

        Its caller waits for this node, so the node has to last as long.
        """
        rejection = balancer.check_stopping(
            context.pending, context.route
        ) or self._authenticator.recheck(context)
        if rejection is not None:
            return rejection
        return self._forwarder.forward(
            context,
            lambda attempt: self._may_retry(context, balancer, attempt),
        )

    def _acquire(self, context, balancer):
        """Wait for a server; return a Grant or messages.Rejection.

        None if another node is to serve the request.
        """
        rejection = self._crash_monitor.check(context.digest)
        if rejection is not None:
            return rejection
        grant = balancer.acquire(
            context.pending,
            context.route,
            should_leave=lambda: self._forwarder.should_forward(context),
        )
        if not isinstance(grant, _grant.Grant):
            return grant
        rejection = self._authenticator.recheck(context)
        if rejection is None and self._quotas.confirm(context):
            rejection = self._crash_monitor.begin(context.digest)
            if rejection is None:
                return grant
        balancer.release(
            grant,
            route=context.route,
            outcome=placement.AttemptOutcome.CANCELLED,
            metadata=None,
            latency=0.0,
        )
        return rejection

    def _record_crash(self, context, grant, attempt):
        """Record whether the server ended or ran the request to its end."""
        if attempt.disconnected:
            self._crash_monitor.on_disconnect(
                context.digest, grant.registration
            )
        elif attempt.outcome in _COMPLETED:
            self._crash_monitor.on_response(context.digest)

    def _attempt(self, context, balancer, grant):
        started = self._clock()
        attempt = None
        outcome = placement.AttemptOutcome.CANCELLED
        context.hand_over(grant.registration.instance, started)
        self._quotas.on_sent(context)
        tenant = self._authenticator.name_for_server(context)
        try:
            attempt = self._sender.send(
                request=context.request,
                request_id=context.request_id,
                registration=grant.registration,
                idempotent=context.route.idempotent,
                response_deadline=context.pending.deadline,
                tenant=tenant,
                may_repeat=lambda: self._may_repeat(context, balancer),
                may_send=lambda: self._may_send(context, grant, tenant),
            )
            return attempt
        except Exception:
            # Something that the server sent could not be handled. Without a
            # failure it would go on to get requests.
            outcome = placement.AttemptOutcome.RESPONSE_LOST
            raise
        finally:
            # First of all, since what follows may fail. Without an Attempt, it
            # was cancelled or failed unexpectedly.
            may_have_run = attempt is None or attempt.may_have_run
            context.take_back(may_have_run=may_have_run)
            self._quotas.on_attempt_end(context, may_have_run=may_have_run)
            if attempt is not None:
                outcome = attempt.outcome
            latency = self._clock() - started
            balancer.release(
                grant,
                route=context.route,
                outcome=outcome,
                metadata=attempt.metadata if attempt else None,
                latency=latency,
                timed_out=attempt is not None and attempt.timed_out,
                disconnected=attempt is not None and attempt.disconnected,
            )
            self._request_log.on_attempt(
                context, grant, attempt, outcome, latency
            )

    def _handle_result(self, context, balancer, grant, attempt):
        """Return the final response or Rejection, None to try again."""
        instance = grant.registration.instance
        if attempt.withdrawn:
            # It looks for another server, which costs no retry.
            return None
        if attempt.outcome is placement.AttemptOutcome.UNREACHABLE:
            context.connect_failures += 1
            context.exclude(instance)
            if self._forwarder.should_decline(context):
                return messages.Rejection(
                    problem=core.problems.SERVERS_UNREACHABLE,
                    detail=attempt.detail,
                )
            if context.connect_failures <= _MAX_CONNECT_FAILURES:
                return None
            return messages.Rejection(
                problem=core.problems.CONNECT_FAILED,
                retry_after=_FAILED_ATTEMPT_RETRY_S,
                detail=attempt.detail,
            )
        context.attempts += 1
        if attempt.outcome is placement.AttemptOutcome.SUCCEEDED:
            return attempt.response
        if self._may_retry(context, balancer, attempt):
            context.exclude(instance)
            return None
        return _final_result(attempt)

    def _may_send(self, context, grant, tenant):
        """Return whether a request may still be sent to the chosen server.

        Args:
          tenant: what name_for_server() returned when it was chosen.
        """
        domain = grant.registration.place.failure_domain
        return (
            domain not in self._cluster_state.evacuated
            and self._quotas.is_valid(context)
            and self._authenticator.recheck(context) is None
            and self._authenticator.name_for_server(context) == tenant
        )

    def _may_repeat(self, context, balancer):
        """Return whether a request that is at a server may be sent again."""
        route = context.route
        return (
            route.idempotent
            and context.attempts + 1 < route.max_attempts
            and self._crash_monitor.may_retry(context.digest)
            and balancer.outlasts(context.pending)
        )

    def _may_retry(self, context, balancer, attempt):
        if attempt.may_have_run and not context.route.idempotent:
            return False
        if context.attempts >= context.route.max_attempts:
            return False
        if not self._crash_monitor.may_retry(context.digest):
            return False
        now = self._clock()
        if now >= context.pending.deadline:
            return False
        return balancer.budget.try_spend(now)

    def _reject(self, rejection, request_id, arrived, context):
        self._request_log.on_rejection(rejection, request_id, arrived, context)
        response = self._codec.render_rejection(
            rejection=rejection, request_id=request_id
        )
        passed_on = context is not None and context.origin is not None
        if passed_on and rejection.problem in _DECLINED_PROBLEMS:
            return _forwarded_request.decline(response)
        return response


def _end_rejected(rejection, context):
    """Return the Rejection that ends a request.

    It promises that the request has not run only if no attempt may have.
    """
    promises = rejection.problem.outcome is core.Outcome.NOT_RUN
    if promises and context.may_have_run:
        return messages.Rejection(
            problem=core.problems.ANSWER_LOST, detail=rejection.detail
        )
    return rejection


def _final_result(attempt):
    """Return what the caller gets after its last attempt has failed.

    _end_rejected() replaces the Rejection if the request may have run.
    """
    response, metadata = attempt.response, attempt.metadata
    if response is not None and metadata.unfounded_promise:
        return messages.Rejection(
            problem=core.problems.ANSWER_INVALID,
            detail=f"status {response.status} without a statement that the"
            " request has not run",
        )
    if response is not None and not metadata.not_executed:
        return response
    return messages.Rejection(
        problem=core.problems.REFUSED_BY_SERVER,
        retry_after=_FAILED_ATTEMPT_RETRY_S,
        detail=attempt.detail,
    )


def _internal_error(context, error):
    problem = core.problems.INTERNAL
    if not context.may_have_run:
        problem = core.problems.NO_SERVER
    return messages.Rejection(
        problem=problem, detail=f"{type(error).__name__}: {error}"
    )
