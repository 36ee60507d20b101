"""Sends a request to one backend server and reads the whole response."""

import dataclasses
import functools
import time

import gevent

from wigeonrouter import core
from wigeonrouter import http1
from wigeonrouter import placement
from wigeonrouter.node import _stray_responses
from wigeonrouter.node import messages

_CONNECTIONS_PER_SERVER = 64
_CONNECT_TIMEOUT_S = 0.25
# A server may close an idle connection at any time, and a non-idempotent
# request could not be retried then. It therefore only uses connections that
# were idle for a short time.
_MAX_IDLE_NON_IDEMPOTENT_S = 0.5
MAX_RESPONSE_BYTES = 64 << 20
# Status of a backend server whose deadline for the request has passed.
_GATEWAY_TIMEOUT_STATUS = 504


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Attempt:
    """The result of an attempt.

    Attributes:
      outcome: placement.AttemptOutcome.
      may_have_run: whether the server may have begun to execute the request.
      response: the server's whole HttpResponse, None without one.
      metadata: messages.ResponseMetadata of the response.
      timed_out: whether the attempt ended because its deadline passed.
      disconnected: whether the server broke the connection during the attempt.
      detail: diagnostic text for the log.
      withdrawn: whether the request was not sent since the server must get
        no requests any more.
      connection: number of its connection, None without one.
      connection_requests: requests that its connection has carried, this one
        included; 0 if it was not sent.
      stray_ids: request IDs of the responses to other requests that came
        before the own one, "" for a response without.
    """

    outcome: placement.AttemptOutcome
    may_have_run: bool
    response: http1.HttpResponse | None = None
    metadata: messages.ResponseMetadata | None = None
    timed_out: bool = False
    disconnected: bool = False
    detail: str = ""
    withdrawn: bool = False
    connection: int | None = None
    connection_requests: int = 0
    stray_ids: tuple[str, ...] = ()


class Sender:
    """Sends attempts over pooled connections."""

    def __init__(self, *, pool, codec, clock=time.monotonic):
        self._pool = pool
        self._codec = codec
        self._clock = clock
        # Dict from each connection that has a request at a server to the
        # function that returns whether the request may be repeated.
        self._at_servers = {}

    def abort_repeatable(self):
        """End the attempts at servers whose requests may be repeated.

        The others may still get their response, if servers only stand still.

        Returns:
          The number of these attempts.
        """
        repeatable = [
            connection
            for connection, may_repeat in self._at_servers.items()
            if may_repeat()
        ]
        for connection in repeatable:
            connection.abort(http1.AbortReason.SERVERS_UNREACHABLE)
        return len(repeatable)

    def send(
        self,
        *,
        request,
        request_id,
        registration,
        idempotent,
        response_deadline,
        tenant=None,
        may_repeat=None,
        may_send=lambda: True,
    ):
        """Send a request to a server and wait for the response.

        Args:
          registration: topology.Registration of the server.
          tenant: name of the request's tenant for the server, "" without
            one; None if the deployment has no tenants.
          may_repeat: function that returns whether the request may be sent
            again if abort_repeatable() ends this attempt; None if that does
            not end it.
          may_send: see send_to().
          others: see send_to().
        Returns:
          Attempt.
        """
        return self.send_to(
            registration.address,
            render=lambda remaining: self._codec.render_request(
                request=request,
                remaining=remaining,
                instance=registration.instance,
                tenant=tenant,
            ),
            request=request,
            request_id=request_id,
            idempotent=idempotent,
            response_deadline=response_deadline,
            may_repeat=may_repeat,
            may_send=may_send,
            allow_close_delimited=True,
        )

    def send_to(
        self,
        address,
        *,
        render,
        request,
        request_id,
        idempotent,
        response_deadline,
        may_repeat=None,
        may_send=lambda: True,
        allow_close_delimited=False,
    ):
        """Send a request to an address and wait for the response.

        If the calling task is killed, the connection is closed, which makes
        the receiver cancel the request.

        Args:
          address: core.Address of a server or another node.
          render: function from the time left, seconds, to the bytes to send.
          request: HttpRequest of the caller.
          request_id: its ID.
          idempotent: whether the request may run more than once.
          response_deadline: time after which the response is useless,
            monotonic seconds.
          may_repeat: see send().
          may_send: function that returns whether the request may still be
            sent. It is asked last, since a new connection takes time in which
            the receiver may be evacuated.
          allow_close_delimited: whether the response may have no length and
            end with the connection. Those of nodes always have one.
        Returns:
          Attempt.
        """
        try:
            connection = self._pool.checkout(
                address=address,
                limit=_CONNECTIONS_PER_SERVER,
                deadline=min(
                    response_deadline, self._clock() + _CONNECT_TIMEOUT_S
                ),
                max_idle=_max_idle(request_id, idempotent),
                request_id=request_id,
            )
        except http1.ConnectFailed as error:
            return Attempt(
                outcome=placement.AttemptOutcome.UNREACHABLE,
                may_have_run=False,
                detail=str(error),
            )
        exchange = _Exchange(
            connection=connection,
            codec=self._codec,
            allow_close_delimited=allow_close_delimited,
            clock=self._clock,
        )
        if may_repeat is not None:
            self._at_servers[connection] = may_repeat
        try:
            attempt = exchange.run(
                request, request_id, render, response_deadline, may_send
            )
            return dataclasses.replace(
                attempt,
                connection=connection.number,
                connection_requests=connection.requests,
                stray_ids=tuple(exchange.stray_ids),
            )
        finally:
            self._at_servers.pop(connection, None)
            request.reservation.drop()
            if exchange.reusable:
                self._pool.checkin(address, connection)
            else:
                self._pool.discard(address, connection)


class _Exchange:
    """One request and its response on one connection.

    Attributes:
      reusable: whether the connection can be used for another request.
      stray_ids: request IDs of the responses that were skipped.
    """

    def __init__(self, *, connection, codec, allow_close_delimited, clock):
        self._connection = connection
        self._codec = codec
        self._allow_close_delimited = allow_close_delimited
        self._clock = clock
        self.reusable = False
        self.stray_ids = []

    def run(self, request, request_id, render, response_deadline, may_send):
        remaining = response_deadline - self._clock()
        if remaining <= 0:
            return Attempt(
                outcome=placement.AttemptOutcome.CANCELLED,
                may_have_run=False,
                detail="deadline passed before the request was sent",
            )
        if not may_send():
            return Attempt(
                outcome=placement.AttemptOutcome.CANCELLED,
                may_have_run=False,
                withdrawn=True,
                detail="server evacuated, token expired or key changed",
            )
        data = render(remaining)
        fresh = self._connection.fresh
        try:
            with gevent.Timeout(remaining, TimeoutError("no answer in time")):
                self._connection.send(data)
                return self._read(request, request_id, fresh)
        except http1.RequestNotSent as error:
            return Attempt(
                outcome=placement.AttemptOutcome.UNREACHABLE,
                may_have_run=False,
                detail=str(error),
            )
        except (OSError, http1.MalformedMessage) as error:
            return Attempt(
                outcome=placement.AttemptOutcome.RESPONSE_LOST,
                may_have_run=True,
                timed_out=isinstance(error, TimeoutError),
                disconnected=_is_disconnect(error),
                detail=f"{type(error).__name__}: {error}",
            )

    def _read(self, request, request_id, fresh):
        """Read the response with the request's ID and return the Attempt.

        On a fresh connection, the first response may also come without an ID
        if it states that the server did not execute the request. On another
        one, it may be the late response to an earlier request or probe.

        Raises:
          http1.MalformedMessage: too many responses of other requests.
        """
        reader = http1.ResponseReader(
            receive=request.reservation.counting(
                self._connection.receive,
                abort=functools.partial(
                    self._connection.abort, http1.AbortReason.BUFFERS_FULL
                ),
                problem=core.problems.ANSWER_TOO_LARGE,
            ),
            max_bytes=MAX_RESPONSE_BYTES,
            allow_close_delimited=self._allow_close_delimited,
        )

        def is_own(metadata, skipped):
            if metadata.request_id:
                return metadata.request_id == request_id
            return not request_id or (
                fresh and not skipped and metadata.not_executed
            )

        response, metadata, skipped = _stray_responses.read_own(
            reader,
            method=request.method,
            codec=self._codec,
            is_own=is_own,
            on_stray=lambda metadata: self.stray_ids.append(
                metadata.request_id
            ),
        )
        request.reservation.keep()
        outcome = _classify(response, metadata)
        if request_id and outcome is not placement.AttemptOutcome.SUCCEEDED:
            self._connection.add_retryable(request_id)
        # The copy of a response without an ID would be read as that of the
        # next health check.
        self.reusable = (
            reader.reusable and not skipped and bool(metadata.request_id)
        )
        return Attempt(
            outcome=outcome,
            may_have_run=not metadata.not_executed,
            timed_out=response.status == _GATEWAY_TIMEOUT_STATUS,
            response=response,
            metadata=metadata,
        )


def _max_idle(request_id, idempotent):
    """Return the longest idle time of a connection, None for the default."""
    if not request_id:
        # Nothing would tell its response from a late one to another one.
        return http1.NEW_CONNECTION
    return None if idempotent else _MAX_IDLE_NON_IDEMPOTENT_S


def _is_disconnect(error):
    if isinstance(error, http1.ConnectionAborted):
        return False
    if isinstance(error, http1.MalformedMessage):
        return error.problem is core.problems.ANSWER_LOST
    return not isinstance(error, TimeoutError)


def _classify(response, metadata):
    if metadata.not_executed:
        return placement.AttemptOutcome.REJECTED
    if response.status >= 500 or metadata.unfounded_promise:
        return placement.AttemptOutcome.FAILED
    return placement.AttemptOutcome.SUCCEEDED
