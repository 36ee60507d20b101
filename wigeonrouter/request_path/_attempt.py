"""One attempt: sends a request to one backend server and reads the answer."""

import time

import gevent

from wigeonrouter import core
from wigeonrouter import limits
from wigeonrouter.http1 import _messages
from wigeonrouter.http1 import _pool
from wigeonrouter.http1 import _render
from wigeonrouter.http1 import _response_reader
from wigeonrouter.request_path import _decisions


class AttemptSender:
    """Sends attempts over pooled connections."""

    def __init__(self, *, pool, clock=time.monotonic):
        self._pool = pool
        self._clock = clock

    def send(self, forwarding, grant):
        """Send a request to the granted server and release the grant.

        Args:
          forwarding: _forwarder.Forwarding; its in_doubt is kept true
            while the server may have run the request.
          grant: core.Grant.
        Returns:
          HttpResponse, or core.Problem.
        """
        outcome, report, cancelled = core.Outcome.UNKNOWN, None, True
        refused = False
        dispatcher = forwarding.dispatcher
        try:
            answer = self._send(forwarding, grant.server.address)
            cancelled = False
            if isinstance(answer, core.Problem):
                outcome = answer.problem.outcome
                refused = answer.problem is core.problems.CONNECT_FAILED
            else:
                report = self._report(answer, grant, dispatcher)
                outcome = outcome_of(answer)
                if outcome is core.Outcome.NOT_RUN:
                    refused = True
                    forwarding.allowance = limits.allowance_after(
                        allowance=forwarding.allowance,
                        text=answer.header(b"x-retry-budget"),
                    )
                    answer = core.Problem(
                        problem=core.problems.REFUSED_BY_SERVER
                    )
                    forwarding.in_doubt = False
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

    def _send(self, forwarding, address):
        while True:
            settings = forwarding.dispatcher.service.limits
            if self._clock() >= forwarding.deadline:
                return core.Problem(problem=core.problems.DEADLINE_PASSED)
            try:
                connection = self._pool.checkout(
                    address=address,
                    limit=settings.connections_per_server,
                    deadline=forwarding.deadline,
                )
            except _pool.ConnectFailed as error:
                return core.Problem(
                    problem=core.problems.CONNECT_FAILED, detail=str(error)
                )
            fresh = connection.fresh
            try:
                return self._exchange(
                    forwarding,
                    address,
                    connection,
                    settings.max_response_bytes,
                )
            except _pool.NotSent as error:
                forwarding.in_doubt = False
                if fresh:
                    return core.Problem(
                        problem=core.problems.CONNECT_FAILED,
                        detail=str(error),
                    )

    def _exchange(self, forwarding, address, connection, max_bytes):
        reusable = False
        try:
            # Waiting for the connection may have taken any time, also
            # because this process was stopped.
            remaining = forwarding.deadline - self._clock()
            if remaining <= 0:
                return core.Problem(problem=core.problems.DEADLINE_PASSED)
            data = _render.render_request(
                request=forwarding.request,
                timeout_ms=max(1, int(remaining * 1000)),
                retry_budget=limits.allowance_below(
                    allowance=forwarding.allowance,
                    attempt=forwarding.attempts,
                ),
            )
            with gevent.Timeout(remaining, TimeoutError):
                forwarding.in_doubt = True
                connection.send(data)
                answer, reusable = _response_reader.read_response(
                    receive=connection.receive,
                    method=forwarding.request.method,
                    max_bytes=max_bytes,
                )
            if not _answers(answer, forwarding.request):
                reusable = False
                return core.Problem(
                    problem=core.problems.ANSWER_INVALID,
                    detail="response to another request",
                )
            return answer
        except TimeoutError:
            return core.Problem(problem=core.problems.ANSWER_LATE)
        except OSError as error:
            return core.Problem(
                problem=core.problems.ANSWER_LOST, detail=str(error)
            )
        except _messages.MalformedMessage as error:
            return core.Problem(problem=error.problem, detail=str(error))
        finally:
            if reusable:
                self._pool.put_back(address, connection)
            else:
                self._pool.discard(address, connection)

    def _report(self, answer, grant, dispatcher):
        text = answer.header(b"backend-load")
        if not text:
            return None
        return _decisions.parse_load_report(
            text=text.decode("latin-1"),
            now=self._clock(),
            own_in_flight=dispatcher.in_flight(grant.server.name) - 1,
        )


def outcome_of(answer):
    """Return the core.Outcome that an HttpResponse proves."""
    if answer.status == 503 and answer.header(b"x-not-run") == b"1":
        return core.Outcome.NOT_RUN
    if answer.status >= 500:
        return core.Outcome.FAILED
    return core.Outcome.OK


def _answers(answer, request):
    """Return whether an answer's own request id, if any, is the request's."""
    answered = answer.header(b"x-request-id")
    return not answered or answered == request.header(b"x-request-id")
