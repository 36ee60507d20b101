"""Sends a request to one backend server and reads the response."""

import time

import gevent

from wigeonrouter import core
from wigeonrouter import limits
from wigeonrouter.http1 import _messages
from wigeonrouter.http1 import _pool
from wigeonrouter.http1 import _render
from wigeonrouter.http1 import _response_reader
from wigeonrouter.request_path import _request_rules


class AttemptSender:
    """Makes single attempts over pooled connections."""

    def __init__(self, *, pool, clock=time.monotonic):
        self._pool = pool
        self._clock = clock

    def send(self, forwarding, grant):
        """Send a request to the granted server and release the grant.

        Args:
          forwarding: _forwarder.ForwardingState; its in_doubt is true as
            long as the server may have run the request.
          grant: core.Grant, released with the result in any case.
        Returns:
          HttpResponse, or a core.Problem where there is no valid response or
          the server states that it did not run the request.
        """
        outcome, report, cancelled = core.Outcome.UNKNOWN, None, True
        refused = False
        dispatcher = forwarding.dispatcher
        try:
            result = self._send_over_pool(forwarding, grant.server.address)
            cancelled = False
            if isinstance(result, core.Problem):
                outcome = result.problem.outcome
                refused = result.problem is core.problems.CONNECT_FAILED
            else:
                report = self._parse_load_report(result, grant, dispatcher)
                outcome = outcome_of(result)
                if outcome is core.Outcome.NOT_RUN:
                    refused = True
                    forwarding.retry_allowance = (
                        limits.retry_allowance_after_rejection(
                            allowance=forwarding.retry_allowance,
                            text=result.header(b"x-retry-budget"),
                        )
                    )
                    result = core.Problem(
                        problem=core.problems.REFUSED_BY_SERVER
                    )
                    forwarding.in_doubt = False
            return result
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

    def _send_over_pool(self, forwarding, address):
        while True:
            settings = forwarding.dispatcher.service.limits
            if self._clock() >= forwarding.deadline:
                return core.Problem(problem=core.problems.DEADLINE_PASSED)
            try:
                connection = self._pool.checkout(
                    address=address,
                    limit=settings.connections_per_server,
                    deadline=forwarding.deadline,
                    **_connection_needs(forwarding),
                )
            except _pool.ConnectFailed as error:
                return core.Problem(
                    problem=core.problems.CONNECT_FAILED, detail=str(error)
                )
            fresh = connection.fresh
            try:
                return self._exchange_messages(
                    forwarding,
                    address,
                    connection,
                    settings.max_response_bytes,
                )
            except _pool.RequestNotSent as error:
                forwarding.in_doubt = False
                if fresh:
                    return core.Problem(
                        problem=core.problems.CONNECT_FAILED,
                        detail=str(error),
                    )

    def _exchange_messages(self, forwarding, address, connection, max_bytes):
        reusable = False
        try:
            # The wait for a connection may have passed the deadline, for
            # instance because this process was paused.
            remaining = forwarding.deadline - self._clock()
            if remaining <= 0:
                return core.Problem(problem=core.problems.DEADLINE_PASSED)
            data = _render.render_request(
                request=forwarding.request,
                timeout_ms=max(1, int(remaining * 1000)),
                retry_budget=limits.downstream_retry_allowance(
                    allowance=forwarding.retry_allowance,
                    attempt=forwarding.attempts,
                ),
            )
            with gevent.Timeout(remaining, TimeoutError):
                forwarding.in_doubt = True
                connection.send(data)
                response, reusable = _response_reader.read_response(
                    receive=connection.receive,
                    method=forwarding.request.method,
                    max_bytes=max_bytes,
                )
            if not _matches_request(
                response, forwarding.request, connection.names_ids
            ):
                reusable = False
                return core.Problem(
                    problem=core.problems.ANSWER_INVALID,
                    detail="response to another request",
                )
            if response.header(b"x-request-id"):
                connection.record_named_id()
            elif not forwarding.kind.idempotent:
                # No other request of its kind would use it, so such
                # connections would pile up.
                reusable = False
            if outcome_of(response) is not core.Outcome.OK:
                # The server may write it once more. Nothing would tell it from
                # the response to the next request, or to the same one if the
                # caller sends it again.
                reusable = False
            return response
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
                self._pool.checkin(address, connection)
            else:
                self._pool.discard(address, connection)

    def _parse_load_report(self, response, grant, dispatcher):
        text = response.header(b"backend-load")
        if not text:
            return None
        return _request_rules.parse_load_report(
            text=text.decode("latin-1"),
            now=self._clock(),
            own_in_flight=dispatcher.in_flight(grant.server.name) - 1,
        )


def outcome_of(response):
    """Return the core.Outcome that an HttpResponse stands for."""
    if response.status == 503 and response.header(b"x-not-run") == b"1":
        return core.Outcome.NOT_RUN
    if response.status >= 500:
        return core.Outcome.FAILED
    return core.Outcome.OK


def _connection_needs(forwarding):
    """Return arguments of checkout() by which a response can be told.

    A late response without an id to an earlier request cannot be told from
    the own one. A request that is not idempotent is not exposed to it.
    """
    if forwarding.kind.idempotent:
        return {}
    if forwarding.request.header(b"x-request-id"):
        return {"names_ids": True}
    return {"max_idle": _pool.NEW_CONNECTION}


def _matches_request(response, request, names_ids):
    """Return whether a response has the id of the request, or needs none.

    Args:
      names_ids: whether the server names ids on the connection.
    """
    request_id = request.header(b"x-request-id")
    response_id = response.header(b"x-request-id")
    if not response_id:
        return not (names_ids and request_id)
    return response_id == request_id
