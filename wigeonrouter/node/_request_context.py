"""The state of a caller's request while the node handles it."""

import dataclasses

from wigeonrouter import http1
from wigeonrouter import placement
from wigeonrouter import tenancy
from wigeonrouter import topology
from wigeonrouter.node import _forwarded_request


@dataclasses.dataclass(kw_only=True, eq=False, slots=True)
class RequestContext:
    """State of a request in progress. Times on the monotonic clock.

    Attributes:
      attempts: attempts that reached a server.
      connect_failures: attempts that could not connect to their server.
      may_have_run: whether any server may have begun to execute it.
      digest: what equal requests have in common.
      origin: what the node says that has passed the request on, None if it
        comes from its caller.
      forwarding_failed: whether no other node takes the request.
      tenant: the tenant whose API key the request has, None without one.
      api_key: the caller's API key, "" without a usable one.
      token: the tenancy.QuotaToken that it may be sent with, None without one.
      receiver: server instance or node that has the request now, "" if it is
        at none.
      handed_over: time when it was sent there.
    """

    request: http1.HttpRequest
    request_id: str
    digest: str
    route: topology.Route
    service: str
    pending: placement.PendingRequest
    attempts: int = 0
    connect_failures: int = 0
    may_have_run: bool = False
    origin: _forwarded_request.Origin | None = None
    forwarding_failed: bool = False
    tenant: topology.Tenant | None = None
    api_key: str = dataclasses.field(default="", repr=False)
    token: tenancy.QuotaToken | None = None
    receiver: str = ""
    handed_over: float = 0.0

    def hand_over(self, receiver, now):
        """Record that the request is sent to a server or another node."""
        self.receiver = receiver
        self.handed_over = now

    def take_back(self, *, may_have_run):
        """Record that the server or node has it no longer.

        Args:
          may_have_run: whether it may have begun to execute it.
        """
        self.receiver = ""
        self.may_have_run = self.may_have_run or may_have_run

    def exclude(self, instance):
        """Leave out a server in the choice for the next attempt."""
        self.pending = dataclasses.replace(
            self.pending, excluded=self.pending.excluded | {instance}
        )
