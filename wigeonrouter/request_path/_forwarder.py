"""Forwards a request to backend servers, with retries and hedging."""

import dataclasses
import time

from wigeonrouter import core
from wigeonrouter import limits
from wigeonrouter.http1 import _messages
from wigeonrouter.request_path import _attempt
from wigeonrouter.request_path import _hedging
from wigeonrouter.request_path import _request_rules


@dataclasses.dataclass(kw_only=True, slots=True)
class ForwardingState:
    """State of a request that is being forwarded.

    Attributes:
      request: HttpRequest of the caller.
      kind: core.TrafficKind of the request.
      tenant: name of the tenant.
      deadline: seconds on the monotonic clock.
      dispatcher: Dispatcher of the service.
      budget: limits.RetryBudget of the service.
      in_doubt: whether a backend server may have run the request. Kept up to
        date, so that it is also right when the task is cancelled.
      server: name of the backend server of the last attempt.
      attempts: number of attempts so far.
      excluded: names of the backend servers that were tried.
      retry_allowance: number of retries that are left for this request, here
        and in the calls below.
    """

    request: _messages.HttpRequest
    kind: core.TrafficKind
    tenant: str
    deadline: float
    dispatcher: object
    budget: object
    in_doubt: bool = False
    server: str = ""
    attempts: int = 0
    excluded: frozenset[str] = frozenset()
    retry_allowance: int = 0

    def try_spend(self):
        """Take one retry from both budgets; return False if one is empty."""
        if self.retry_allowance <= 0 or not self.budget.try_spend():
            return False
        self.retry_allowance -= 1
        return True


class Forwarder:
    """Forwards requests over pooled connections."""

    def __init__(self, *, pool, clock=time.monotonic):
        self._clock = clock
        self._sender = _attempt.AttemptSender(pool=pool, clock=clock)
        self._hedger = _hedging.Hedger(clock=clock)

    def forward(self, forwarding):
        """Forward a request and return its complete response.

        Args:
          forwarding: ForwardingState, updated with each attempt.
        Returns:
          HttpResponse or core.Problem.
        """
        retries = forwarding.dispatcher.service.retries
        # A hedged request is an attempt in addition to max_attempts.
        forwarding.retry_allowance = limits.parse_retry_allowance(
            text=forwarding.request.header(b"x-retry-budget"),
            max_attempts=retries.max_attempts + (retries.hedge_quantile > 0),
        )
        if forwarding.retry_allowance:
            forwarding.budget.on_request()
        unknown_failure = None
        while True:
            grant = self._acquire(forwarding)
            if isinstance(grant, core.Problem):
                return _request_rules.final_failure(
                    failure=grant, unknown_failure=unknown_failure
                )
            result = self._send_attempt(forwarding, grant)
            if isinstance(result, _messages.HttpResponse):
                return result
            if result.problem.outcome is core.Outcome.UNKNOWN:
                unknown_failure = result
            if not self._may_retry(forwarding, result):
                return _request_rules.final_failure(
                    failure=result, unknown_failure=unknown_failure
                )

    def _send_attempt(self, forwarding, grant):
        hedging_enabled = (
            forwarding.dispatcher.service.retries.hedge_quantile > 0
        )
        if not (hedging_enabled and forwarding.kind.idempotent):
            return self._sender.send(forwarding, grant)

        def send_hedge():
            second_grant = self._acquire(forwarding)
            if isinstance(second_grant, core.Problem):
                return second_grant
            return self._sender.send(forwarding, second_grant)

        return self._hedger.run(
            forwarding,
            lambda: self._sender.send(forwarding, grant),
            send_hedge,
        )

    def _acquire(self, forwarding):
        forwarding.attempts += 1
        grant = forwarding.dispatcher.acquire(
            core.DispatchRequest(
                kind=forwarding.kind,
                tenant=forwarding.tenant,
                deadline=forwarding.deadline,
                body_bytes=len(forwarding.request.body),
                attempt=forwarding.attempts,
                excluded=forwarding.excluded,
            )
        )
        if isinstance(grant, core.Grant):
            forwarding.server = grant.server.name
            forwarding.excluded |= {grant.server.name}
        return grant

    def _may_retry(self, forwarding, failure):
        settings = forwarding.dispatcher.service.retries
        return (
            _request_rules.may_retry(
                kind=forwarding.kind,
                failure=failure,
                attempt=forwarding.attempts,
                max_attempts=settings.max_attempts,
                now=self._clock(),
                deadline=forwarding.deadline,
            )
            and forwarding.try_spend()
        )
