"""Surplus responses: copies of earlier responses that a server writes."""

import collections
import dataclasses
import enum
import random
import weakref

import gevent

# Earlier responses that are remembered for each connection.
_MAX_REMEMBERED_RESPONSES = 64
_MAX_IDLE_DELAY_S = 0.1


class SurplusMoment(enum.Enum):
    """When the copy of a response is written on its connection."""

    AT_ONCE = "right behind the response"
    # Not written if the next request is read first.
    IDLE = "while no request is under way"
    NEXT_REQUEST = "before the next request is handled"
    # Also behind other requests. The copy has the ID of the request that is
    # under way, so that nothing tells it from the response to that.
    SAME_REQUEST = "before a request with the same ID is handled"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SurplusResponses:
    """Which responses of a server are followed by a copy, and when.

    Only responses to requests with an ID are copied: a copy without an ID
    could not be told from the response to a health check.

    Attributes:
      probabilities: dict from SurplusMoment to the share of the responses
        that are written again at that moment.
      rng: random generator that draws them.
    """

    probabilities: dict
    rng: random.Random = dataclasses.field(
        default_factory=lambda: random.Random(0)
    )

    def draw(self, moment):
        """Return whether a response is written again at a SurplusMoment."""
        return self.rng.random() < self.probabilities.get(moment, 0.0)


@dataclasses.dataclass(kw_only=True, slots=True)
class _ConnectionCopies:
    """Copies that may still be written on one connection.

    Attributes:
      next_request: (request ID, copy) for NEXT_REQUEST, None for none.
      by_id: dict from request ID to the copy for SAME_REQUEST.
      requests: number of requests that were read.
    """

    next_request: tuple | None = None
    by_id: dict = dataclasses.field(default_factory=collections.OrderedDict)
    requests: int = 0


class SurplusWriter:
    """Writes the surplus responses of one server.

    Attributes:
      option: SurplusResponses, None for none. Copies that were drawn before
        a change of the option are still written.
      written: list of (SurplusMoment, request ID) of the copies.
    """

    def __init__(self):
        self.option = None
        self.written = []
        self._connections = weakref.WeakKeyDictionary()

    def on_request(self, sock, request_id):
        """Write the copies that are due before a request is handled.

        Args:
          request_id: ID of the request, bytes; empty for a health check.
        """
        copies = self._copies(sock)
        copies.requests += 1
        if copies.next_request is not None:
            earlier_id, data = copies.next_request
            copies.next_request = None
            self._write(sock, SurplusMoment.NEXT_REQUEST, earlier_id, data)
        data = copies.by_id.pop(request_id, None)
        if data is not None:
            self._write(sock, SurplusMoment.SAME_REQUEST, request_id, data)

    def on_response(self, sock, request_id, data):
        """Draw the copies of a response that was written.

        Args:
          request_id: ID of the request, bytes; empty for a health check.
          data: bytes of the response.
        """
        option = self.option
        if option is None or not request_id:
            return
        copies = self._copies(sock)
        if option.draw(SurplusMoment.SAME_REQUEST):
            copies.by_id[request_id] = data
            if len(copies.by_id) > _MAX_REMEMBERED_RESPONSES:
                copies.by_id.popitem(last=False)
        if option.draw(SurplusMoment.NEXT_REQUEST):
            copies.next_request = (request_id, data)
        if option.draw(SurplusMoment.AT_ONCE):
            self._write(sock, SurplusMoment.AT_ONCE, request_id, data)
        if option.draw(SurplusMoment.IDLE):
            gevent.spawn_later(
                option.rng.uniform(0.0, _MAX_IDLE_DELAY_S),
                self._write_if_idle,
                sock,
                copies.requests,
                request_id,
                data,
            )

    def _copies(self, sock):
        return self._connections.setdefault(sock, _ConnectionCopies())

    def _write_if_idle(self, sock, requests, request_id, data):
        if self._copies(sock).requests != requests:
            return
        try:
            self._write(sock, SurplusMoment.IDLE, request_id, data)
        except OSError:
            # The connection was closed meanwhile.
            return

    def _write(self, sock, moment, request_id, data):
        self.written.append((moment, request_id.decode()))
        sock.sendall(data)
