"""Forwards one request: attempts, retries and their outcome."""

import time

from wigeonrouter import core
from wigeonrouter.request_path import _decisions
from wigeonrouter.request_path import _http
from wigeonrouter.request_path import _pool


class Forwarder:
    """Sends requests to backend servers over pooled connections."""

    def __init__(self, *, pool, clock=time.monotonic):
        self._pool = pool
        self._clock = clock

    def forward(self, *, request, kind, tenant, deadline, dispatcher, budget):
        """Get the whole answer to a request.

        Args:
          request: HttpRequest of the caller.
          kind: its core.TrafficKind.
          tenant: text.
          deadline: seconds on the monotonic clock.
          dispatcher: Dispatcher of the service.
          budget: limits.RetryBudget of the service.
        Returns:
          A pair: HttpResponse or core.Refusal, and the name of the backend
          server of the last attempt.
        """
        budget.on_request()
        settings = dispatcher.service
        attempt, doubtful, server = 0, None, ""
        excluded = frozenset()
        while True:
            attempt += 1
            grant = dispatcher.acquire(
                core.DispatchRequest(
                    kind=kind,
                    tenant=tenant,
                    deadline=deadline,
                    body_bytes=len(request.body),
                    attempt=attempt,
                    excluded=excluded,
                )
            )
            if isinstance(grant, core.Refusal):
                return (
                    _decisions.final_refusal(refusal=grant, doubtful=doubtful),
                    server,
                )
            server = grant.server.name
            answer = self._attempt(request, grant, deadline, dispatcher)
            if isinstance(answer, _http.HttpResponse):
                return answer, server
            if answer.problem.outcome is core.Outcome.UNKNOWN:
                doubtful = answer
            again = _decisions.may_retry(
                kind=kind,
                refusal=answer,
                attempt=attempt,
                max_attempts=settings.retries.max_attempts,
                now=self._clock(),
                deadline=deadline,
            )
            if not again or not budget.try_spend():
                return (
                    _decisions.final_refusal(
                        refusal=answer, doubtful=doubtful
                    ),
                    server,
                )
            excluded |= {server}

    def _attempt(self, request, grant, deadline, dispatcher):
        outcome, report, cancelled = core.Outcome.UNKNOWN, None, True
        refused = False
        try:
            answer = self._send(request, grant, deadline, dispatcher)
            cancelled = False
            if isinstance(answer, core.Refusal):
                outcome = answer.problem.outcome
                refused = answer.problem is core.problems.CONNECT_FAILED
            else:
                report = self._report(answer, grant, dispatcher)
                outcome = _outcome_of(answer)
                if outcome is core.Outcome.NOT_RUN:
                    refused = True
                    answer = core.Refusal(
                        problem=core.problems.REFUSED_BY_SERVER
                    )
            return answer
        finally:
            dispatcher.release(
                grant,
                core.AttemptResult(
                    outcome=outcome,
                    latency=self._clock() - grant.granted,
                    report=report,
                    cancelled=cancelled,
                    refused=refused,
                ),
            )

    def _send(self, request, grant, deadline, dispatcher):
        address = grant.server.address
        limits = dispatcher.service.limits
        remaining = deadline - self._clock()
        if remaining <= 0:
            return core.Refusal(problem=core.problems.DEADLINE_PASSED)
        try:
            connection = self._pool.checkout(
                address=address,
                limit=limits.connections_per_server,
                timeout=remaining,
            )
        except _pool.ConnectFailed as error:
            return core.Refusal(
                problem=core.problems.CONNECT_FAILED, detail=str(error)
            )
        reusable = False
        try:
            remaining = deadline - self._clock()
            if remaining <= 0:
                return core.Refusal(problem=core.problems.DEADLINE_PASSED)
            timeout_ms = max(1, int(remaining * 1000))
            data = _http.render_request(
                request=request,
                headers=((b"x-request-timeout-ms", b"%d" % timeout_ms),),
            )
            connection.send(data, remaining)
            answer, reusable = _http.read_response(
                receive=self._receiver(connection, deadline),
                method=request.method,
                max_bytes=limits.max_response_bytes,
            )
            return answer
        except TimeoutError:
            return core.Refusal(problem=core.problems.ANSWER_LATE)
        except OSError as error:
            return core.Refusal(
                problem=core.problems.ANSWER_LOST, detail=str(error)
            )
        except _http.MalformedMessage as error:
            return core.Refusal(problem=error.problem, detail=str(error))
        finally:
            if reusable:
                self._pool.put_back(address, connection)
            else:
                self._pool.discard(address, connection)

    def _receiver(self, connection, deadline):
        def receive():
            remaining = deadline - self._clock()
            if remaining <= 0:
                raise TimeoutError
            connection.set_timeout(remaining)
            return connection.receive()

        return receive

    def _report(self, answer, grant, dispatcher):
        text = answer.header(b"backend-load")
        if not text:
            return None
        return _decisions.parse_load_report(
            text=text.decode("latin-1"),
            now=self._clock(),
            own_in_flight=dispatcher.in_flight(grant.server.name) - 1,
        )


def _outcome_of(answer):
    if answer.status == 503 and answer.header(b"x-not-run") == b"1":
        return core.Outcome.NOT_RUN
    if answer.status >= 500:
        return core.Outcome.FAILED
    return core.Outcome.OK
