"""Records what happens to callers' requests, in the log and the metrics."""

import time

from wigeonrouter import placement


class RequestLog:
    """Writes the events of requests.

    Args:
      cluster_state: ClusterState, which has the configuration in force.
      events: events.EventLog.
      metrics: RequestMetrics.
      stop_schedule: function that returns the placement.StopSchedule of this
        node, NO_STOP while it is not stopping.
    """

    def __init__(
        self,
        *,
        cluster_state,
        events,
        metrics,
        stop_schedule=lambda: placement.NO_STOP,
        clock=time.monotonic,
    ):
        self._cluster_state = cluster_state
        self._events = events
        self._metrics = metrics
        self._stop_schedule = stop_schedule
        self._clock = clock

    def on_response(self, context, response):
        """Record that a caller gets a server's response."""
        self._log_event(context, "answered", status=response.status)
        self._metrics.record_response(
            service=context.service,
            route=context.route,
            status=response.status,
            latency=self._clock() - context.pending.arrived,
        )

    def on_caller_disconnected(self, context):
        """Record that a caller closed its connection."""
        self._log_event(context, "caller-gone")
        self._metrics.record_caller_disconnect(
            service=context.service,
            route=context.route,
            latency=self._clock() - context.pending.arrived,
        )

    def on_cut_off(self, context):
        """Record that this node ends before it has finished a request."""
        now = self._clock()
        at_receiver = now - context.handed_over if context.receiver else 0.0
        self._log_event(
            context,
            "cut-off",
            left_to_deadline_ms=_ms(context.pending.deadline - now),
            receiver=context.receiver,
            at_receiver_ms=_ms(at_receiver),
        )

    def on_rejection(self, rejection, request_id, arrived, context):
        """Record that this node rejects or fails a request.

        Args:
          rejection: messages.Rejection.
          request_id: ID of the request.
          arrived: time of its arrival, monotonic seconds.
          context: RequestContext, None if no route matched.
        """
        now = self._clock()
        latency = now - arrived
        self._metrics.record_rejection(
            service=context.service if context else "",
            route=context.route if context else None,
            problem=rejection.problem,
            latency=latency,
        )
        self._write(
            "refused",
            id=request_id,
            problem=rejection.problem.name,
            status=rejection.problem.status,
            may_have_run=bool(context and context.may_have_run),
            retry_after=rejection.retry_after,
            detail=rejection.detail,
            attempts=context.attempts if context else 0,
            route=context.route.name if context else "",
            tenant=context.pending.tenant if context else "",
            origin=context.origin.host if context and context.origin else None,
            held_ms=_ms(latency),
            left_to_deadline_ms=(
                _ms(context.pending.deadline - now) if context else None
            ),
        )

    def on_attempt(self, context, grant, attempt, outcome, latency):
        """Record an attempt at a server.

        Args:
          context: RequestContext.
          grant: Grant.
          attempt: Attempt, None if it was cancelled or failed unexpectedly.
          outcome: placement.AttemptOutcome.
          latency: seconds.
        """
        metadata = attempt.metadata if attempt else None
        registration = grant.registration
        self._write(
            "attempt",
            id=context.request_id,
            digest=context.digest,
            tenant=context.pending.tenant,
            number=context.attempts + context.connect_failures + 1,
            instance=registration.instance,
            address=str(registration.address),
            waited_ms=_ms(grant.granted_at - context.pending.arrived),
            load=round(grant.expected_load, 1),
            slowness=round(grant.expected_slowdown, 2),
            report_age_ms=(
                None if grant.report_age is None else _ms(grant.report_age)
            ),
            worth=round(grant.expected_utility, 2),
            rate_limit=metadata.rate_limit if metadata else None,
            leaving=bool(metadata and metadata.leaving),
            pause_s=metadata.pause if metadata else None,
            **_exchange_fields(attempt),
            ended=outcome.value,
            latency_ms=_ms(latency),
            detail=attempt.detail if attempt else "",
        )
        if attempt is None:
            return
        if metadata is not None and metadata.unfounded_promise:
            self._write(
                "promise-unfounded",
                id=context.request_id,
                instance=registration.instance,
                address=str(registration.address),
                status=attempt.response.status,
            )
        if attempt.stray_ids:
            self._write(
                "stray-responses",
                id=context.request_id,
                instance=registration.instance,
                address=str(registration.address),
                count=len(attempt.stray_ids),
                response_ids=attempt.stray_ids,
            )

    def on_forwarded(self, context, address, attempt, latency):
        """Record that a request was passed on to another node.

        Args:
          context: RequestContext.
          address: core.Address of the node.
          attempt: Attempt.
          latency: seconds.
        """
        response = attempt.response
        self._write(
            "forwarded",
            id=context.request_id,
            digest=context.digest,
            node=str(address),
            waited_ms=_ms(self._clock() - latency - context.pending.arrived),
            ended=attempt.outcome.value,
            status=None if response is None else response.status,
            latency_ms=_ms(latency),
            detail=attempt.detail,
        )

    def _log_event(self, context, event, **fields):
        now = self._clock()
        self._write(
            event,
            id=context.request_id,
            route=context.route.name,
            service=context.service,
            tenant=context.pending.tenant,
            version=self._cluster_state.configuration.version,
            attempts=context.attempts,
            took_ms=_ms(now - context.pending.arrived),
            left_to_target_ms=_ms(context.pending.target_time - now),
            origin=context.origin.host if context.origin else None,
            **fields,
        )

    def _write(self, name, **fields):
        """Write a line; during a stop, with the time since it began."""
        stopping = self._clock() - self._stop_schedule().began
        if stopping >= 0:
            fields["stopping_ms"] = _ms(stopping)
        self._events.event(name, **fields)


def _exchange_fields(attempt):
    """Return what the exchange with a server tells of whether it ran.

    Args:
      attempt: Attempt, None if it was cancelled or failed unexpectedly.
    """
    if attempt is None:
        return {"may_have_run": True}
    response, metadata = attempt.response, attempt.metadata
    return {
        "may_have_run": attempt.may_have_run,
        "status": response.status if response else None,
        "not_executed": bool(metadata and metadata.not_executed),
        "names_id": bool(metadata and metadata.request_id),
        "connection": attempt.connection,
        "connection_requests": attempt.connection_requests,
    }


def _ms(seconds):
    return round(seconds * 1000, 1)
