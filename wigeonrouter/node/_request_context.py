"""The state of a caller's request while the node handles it."""

import dataclasses

from wigeonrouter import http1
from wigeonrouter import placement
from wigeonrouter import topology


@dataclasses.dataclass(kw_only=True, slots=True)
class RequestContext:
    """State of a request in progress. Times on the monotonic clock.

    Attributes:
      attempts: attempts that reached a server.
      connect_failures: attempts that could not connect to their server.
      may_have_run: whether any server may have begun to execute it.
      digest: what equal requests have in common.
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

    def exclude(self, instance):
        """Leave out a server in the choice for the next attempt."""
        self.pending = dataclasses.replace(
            self.pending, excluded=self.pending.excluded | {instance}
        )
