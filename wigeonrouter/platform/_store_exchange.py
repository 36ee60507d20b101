"""Single calls to the platform's metadata store, and their replies."""

import dataclasses
import json
import re
import time

from wigeonrouter import core
from wigeonrouter import http1
from wigeonrouter import store

MAX_REVISION = (1 << 63) - 1
_CONNECT_TIMEOUT_S = 0.5
# One watch and a few short concurrent calls.
_MAX_CONNECTIONS = 8
# Connections that were idle for longer are closed, not reused.
_MAX_IDLE_S = 30.0
_ERA = b"store-era"
_ERA_NUMBER = re.compile(rb"[0-9]{1,15}")


class ResponseTooLarge(store.StoreReplyLost):
    """A response is larger than it may be."""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Reply:
    """A response of the store.

    Attributes:
      size: bytes of its body.
    """

    status: int
    document: dict
    era: int
    size: int

    def position(self):
        """Return the store.Position that the reply names.

        Raises:
          StoreUnavailable: it names none.
        """
        revision = self.field("as_of", int)
        if not 0 <= revision <= MAX_REVISION:
            raise store.StoreUnavailable("response with an invalid revision")
        return store.Position(era=self.era, revision=revision)

    def field(self, name, kind):
        """Return a field of the document, which has to be of a type.

        Raises:
          StoreUnavailable: there is no such field.
        """
        value = self.document.get(name)
        if not isinstance(value, kind):
            raise store.StoreUnavailable(f"response without {name}")
        return value


class _NotOwnReply(Exception):
    """A reply on a used connection may be the copy of an earlier one."""


class StoreExchange:
    """Sends calls to the store and reads their replies.

    Replies have no ID, and the store may write one again later, where the
    next one on the connection is due. So each call has a connection of its
    own, but for frequent ones whose replies show whose they are.

    Args:
      address: core.Address of the store.
      timeout: time within which a response goes on, seconds.
    """

    def __init__(self, *, address, timeout):
        self._address = address
        self._timeout = timeout
        self._pool = http1.ConnectionPool(max_idle=_MAX_IDLE_S)
        # The latest era that a reply has named.
        self._era = 0

    def close(self):
        """Close the idle connections."""
        self._pool.close_idle_to(self._address)

    def call(self, method, target, body, *, timeout, max_bytes):
        """Make one call on a connection of its own and return its Reply.

        Args:
          timeout: time within which the response has to begin, seconds.
          max_bytes: largest size of the response.
        Raises:
          ResponseTooLarge: the response is larger.
          StoreReplyLost: there was no valid response.
        """
        return self._call(
            self._render(method, target, body),
            timeout=timeout,
            max_bytes=max_bytes,
            max_idle=http1.NEW_CONNECTION,
        )

    def get_shared(self, target, *, timeout, max_bytes, is_own):
        """Read on a connection that is kept; see call().

        No other kind of call uses such a connection. A reply on it that may
        be the copy of an earlier one is dropped, and the call is made again
        on a new connection.

        Args:
          is_own: function from a Reply with status 200, and the seconds until
            it came, to whether it cannot be the copy of an earlier one of the
            same era.
        """
        request = self._render("GET", target, "")
        options = {
            "timeout": timeout,
            "max_bytes": max_bytes,
            "is_own": is_own,
        }
        try:
            return self._call(request, max_idle=_MAX_IDLE_S, **options)
        except _NotOwnReply:
            return self._call(
                request, max_idle=http1.NEW_CONNECTION, **options
            )

    def _call(self, request, *, timeout, max_bytes, max_idle, is_own=None):
        try:
            with http1.ProgressTimeout(
                first=timeout, stall=self._timeout
            ) as progress:
                return self._exchange(
                    request, progress, max_bytes, max_idle, is_own
                )
        except (
            OSError,
            ValueError,
            RecursionError,
            http1.RequestNotSent,
            http1.MalformedMessage,
        ) as error:
            lost = store.StoreReplyLost
            if _is_too_large(error):
                lost = ResponseTooLarge
            raise lost(f"{type(error).__name__}: {error}") from error

    def _exchange(self, request, progress, max_bytes, max_idle, is_own):
        """Send a request and return the Reply.

        Args:
          max_idle: longest time since the last use of the connection, seconds.
          is_own: see get_shared(); None if the connection is not to be kept.
        Raises:
          _NotOwnReply: the reply may be the copy of an earlier one. On a new
            connection none is.
        """
        self._pool.close_idle()
        connection = self._pool.checkout(
            address=self._address,
            limit=_MAX_CONNECTIONS,
            deadline=time.monotonic() + _CONNECT_TIMEOUT_S,
            max_idle=max_idle,
        )
        used = not connection.fresh
        known_era, sent_at = self._era, time.monotonic()
        reusable = False
        try:
            connection.send(request)
            reader = http1.ResponseReader(
                receive=lambda: progress.receive(connection.receive),
                max_bytes=max_bytes,
            )
            # Other methods than HEAD make no difference.
            reply = self._read_reply(reader.read(b"GET"))
            succeeded = reply.status == 200
            # No copy is of an era that no reply has named yet.
            if used and succeeded and reply.era <= known_era:
                elapsed = time.monotonic() - sent_at
                if reply.era < known_era or not is_own(reply, elapsed):
                    raise _NotOwnReply()
            # Nothing would tell the copy of a refusal from the next one.
            reusable = is_own is not None and reader.reusable and succeeded
            return reply
        finally:
            if reusable:
                self._pool.checkin(self._address, connection)
            else:
                # A late response may still arrive on this connection.
                self._pool.discard(self._address, connection)

    def _read_reply(self, response):
        return Reply(
            status=response.status,
            document=_parse(response.body),
            era=self._read_era(response),
            size=len(response.body),
        )

    def _read_era(self, response):
        """Return the era of a response, the latest one if it names none."""
        value = response.header(_ERA)
        if not _ERA_NUMBER.fullmatch(value):
            return self._era
        era = int(value)
        self._era = max(self._era, era)
        return era

    def _render(self, method, target, body):
        data = body.encode()
        return (
            f"{method} {target} HTTP/1.1\r\nHost: {self._address}\r\n"
            "Content-Type: application/json\r\n"
            f"Content-Length: {len(data)}\r\n\r\n"
        ).encode() + data


def _is_too_large(error):
    return (
        isinstance(error, http1.MalformedMessage)
        and error.problem is core.problems.ANSWER_TOO_LARGE
    )


def _parse(data):
    # Error responses may have no JSON body.
    if not data.startswith(b"{"):
        return {}
    return json.loads(data)
