"""Forwards one request: attempts, retries and their outcome."""

import dataclasses
import time

from wigeonrouter import core
from wigeonrouter import limits
from wigeonrouter.http1 import _messages
from wigeonrouter.request_path import _attempt
from wigeonrouter.request_path import _decisions
from wigeonrouter.request_path import _hedging


@dataclasses.dataclass(kw_only=True, slots=True)
class Forwarding:
    """One request on its way.

    Attributes:
      request: HttpRequest of the caller.
      kind: its core.TrafficKind.
      tenant: text.
      deadline: seconds on the monotonic clock.
      dispatcher: Dispatcher of the service.
      budget: limits.RetryBudget of the service.
      in_doubt: whether a backend server may have run the request; valid at
        any time, also when the task is cancelled.
      server: name of the backend server of the last attempt.
      excluded: names of the backend servers that were tried.
      allowance: retries that the call tree may still make from here.
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
    allowance: int = 0

    def try_spend(self):
        """Take one retry from both budgets; return whether it was there."""
        if self.allowance <= 0 or not self.budget.try_spend():
            return False
        self.allowance -= 1
        return True


class Forwarder:
    """Sends requests to backend servers over pooled connections."""

    def __init__(self, *, pool, clock=time.monotonic):
        self._clock = clock
        self._sender = _attempt.AttemptSender(pool=pool, clock=clock)
        self._hedger = _hedging.Hedger(clock=clock)

    def forward(self, forwarding):
        """Get the whole answer to a request.

        Args:
          forwarding: Forwarding; updated on the way.
        Returns:
          HttpResponse or core.Problem.
        """
        retries = forwarding.dispatcher.service.retries
        # A hedge is a further attempt beyond max_attempts.
        forwarding.allowance = limits.parse_allowance(
            text=forwarding.request.header(b"x-retry-budget"),
            max_attempts=retries.max_attempts + (retries.hedge_quantile > 0),
        )
        if forwarding.allowance:
            forwarding.budget.on_request()
        doubtful = None
        while True:
            grant = self._acquire(forwarding)
            if isinstance(grant, core.Problem):
                return _decisions.final_refusal(
                    refusal=grant, doubtful=doubtful
                )
            answer = self._send(forwarding, grant)
            if isinstance(answer, _messages.HttpResponse):
                return answer
            if answer.problem.outcome is core.Outcome.UNKNOWN:
                doubtful = answer
            if not self._may_retry(forwarding, answer):
                return _decisions.final_refusal(
                    refusal=answer, doubtful=doubtful
                )

    def _send(self, forwarding, grant):
        hedged = forwarding.dispatcher.service.retries.hedge_quantile > 0
        if not (hedged and forwarding.kind.idempotent):
            return self._sender.send(forwarding, grant)

        def send_again():
            further = self._acquire(forwarding)
            if isinstance(further, core.Problem):
                return further
            return self._sender.send(forwarding, further)

        return self._hedger.run(
            forwarding,
            lambda: self._sender.send(forwarding, grant),
            send_again,
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

    def _may_retry(self, forwarding, refusal):
        settings = forwarding.dispatcher.service.retries
        return (
            _decisions.may_retry(
                kind=forwarding.kind,
                refusal=refusal,
                attempt=forwarding.attempts,
                max_attempts=settings.max_attempts,
                now=self._clock(),
                deadline=forwarding.deadline,
            )
            and forwarding.try_spend()
        )
