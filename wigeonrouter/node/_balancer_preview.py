"""What a Balancer would decide on a request, without deciding it."""

import copy
import dataclasses

from wigeonrouter import placement
from wigeonrouter.node import messages


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Decision:
    """A decision that was not carried out.

    Attributes:
      rejection: messages.Rejection of a request that is not admitted.
      pick: placement.Pick to which the request is sent, None if it waits.
      ahead: queued requests that are served before it.
      behind: whether these keep it from looking for a server.
      unprobed: servers that are probed before the choice. The decision rests
        on their latest load reports.
      service_time: undisturbed service time, seconds.
      mean_slowdown: mean slowdown of the servers.
      utility_of_waiting: expected utility of waiting in the queue.
    """

    rejection: messages.Rejection | None = None
    pick: placement.Pick | None = None
    ahead: int = 0
    behind: bool = False
    unprobed: int = 0
    service_time: float = 0.0
    mean_slowdown: float = 1.0
    utility_of_waiting: float = 0.0


class RemotePollingPreview:
    """A RemotePolling that polls no server.

    Args:
      remote_polling: RemotePolling, which is only read.
    """

    def __init__(self, remote_polling):
        self._remote_polling = remote_polling

    def request(self, home_regions=None):
        """Start no polling."""

    def fresh(self, home_regions=None):
        """Return the remote views with fresh reports."""
        return self._remote_polling.fresh(home_regions)


class PoolPreview:
    """A ServerPool that sends no probe and grants no slot.

    Args:
      server_pool: ServerPool or HomeServerPool, which answers all reads.
    """

    def __init__(self, server_pool):
        self._server_pool = server_pool
        # It computes some of its values when they are read.
        self._service_times = copy.deepcopy(server_pool.service_times)
        self._unprobed = set()

    def __getattr__(self, name):
        return getattr(self._server_pool, name)

    @property
    def service_times(self):
        """placement.ServiceTimes of the service."""
        return self._service_times

    @property
    def remote_polling(self):
        """RemotePollingPreview of the servers in other regions."""
        return RemotePollingPreview(self._server_pool.remote_polling)

    @property
    def unprobed(self):
        """Number of servers that a decision would have probed."""
        return len(self._unprobed)

    def probe(self, views, *, remote):
        """Note the ServerViews to probe."""
        self._unprobed.update(view.instance for view in views)

    def grant(self, pick, service_time):
        """Return the placement.Pick in place of a Grant."""
        return pick


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Parts:
    """Copies of a Balancer's parts, on which calls have no effect.

    Attributes:
      server_pool: PoolPreview.
      queue: placement.QueuePreview.
      admission: AdmissionController.
      server_choice: ServerChoice, whose grants are placement.Picks.
      now: seconds on the monotonic clock.
    """

    server_pool: PoolPreview
    queue: placement.QueuePreview
    admission: object
    server_choice: object
    now: float


def decide(parts, request, route):
    """Return the Decision on a request.

    Args:
      parts: Parts, which are used up.
      request: placement.PendingRequest.
      route: topology.Route of the request.
    """
    service_times = parts.server_pool.service_times
    service_time = service_times.service_time(route)
    ahead = parts.queue.count_ahead(request, service_time, parts.now)
    rejection = parts.admission.check_arrival(request, route)
    if rejection is not None:
        return Decision(rejection=rejection, ahead=ahead)
    behind = parts.queue.is_behind(request, service_time, parts.now)
    parts.queue.join(request, service_time)
    utility_of_waiting = parts.server_choice.utility_of_waiting(
        request, service_time, parts.now
    )
    if behind:
        pick = parts.server_choice.try_leave(request, service_time)
    else:
        pick = parts.server_choice.try_grant(request, service_time)
    return Decision(
        pick=pick,
        ahead=ahead,
        behind=behind,
        unprobed=parts.server_pool.unprobed,
        service_time=service_time,
        mean_slowdown=service_times.mean_slowdown,
        utility_of_waiting=utility_of_waiting,
    )
