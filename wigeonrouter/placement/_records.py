"""Records that load balancing decisions are functions of. Times in seconds."""

import dataclasses
import enum

from wigeonrouter import core


class Locality(enum.IntEnum):
    """How far away a backend server is from this node.

    DOMAIN is the same failure domain, REGION another failure domain of the
    same region, REMOTE another region.
    """

    DOMAIN = 0
    REGION = 1
    REMOTE = 2


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LoadReport:
    """The load that a backend server reported.

    Attributes:
      running: requests that it was running, of all callers.
      queued: requests that were queued there.
      slots: requests that it can run at once.
      slowdown: its service time divided by the undisturbed service time.
      received: time of arrival on the monotonic clock.
      own_in_flight: requests of this node among those running and queued.
    """

    running: int
    queued: int
    slots: int
    slowdown: float
    received: float
    own_in_flight: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ServerView:
    """What a node knows of one backend server.

    Attributes:
      in_flight: requests of this node without a response so far.
      report: latest LoadReport, None before the first one.
      slow_start_until: end of its slow start.
      check_due: time from which it gets no request before a health response,
        since it may be cold again.
      health_due: time from which it is probed whatever its report says.
      failure_ratio: recent share of attempts that failed, from 0 to 1.
      failure_ratio_at: time at which `failure_ratio` was updated.
      consecutive_failures: failed attempts since the last success.
      consecutive_no_response: probes and connection attempts since the last
        response.
      ejected_until: time before which it gets no requests.
      round_trip: network round-trip time.
      rate_limit: requests per second that this node may send to the server,
        None without a limit, 0 if only another node may use the server.
      next_send_at: time before which the limit allows no further request.
      leaving: whether it has said that it is about to end.
      paused_until: time before which it has asked for no requests.
      misdirected: whether another server answers for it at its address.
      evacuated: whether its failure domain is evacuated.
      place: where it runs.
      load_limit: most requests that it should have at `load_limit_at`, since
        it dropped one then; None for its slots.
      responded_at: time of its latest response that was a success.
    """

    instance: str
    locality: Locality
    slots: int
    in_flight: int = 0
    report: LoadReport | None = None
    slow_start_until: float = float("-inf")
    check_due: float = float("inf")
    health_due: float = float("inf")
    failure_ratio: float = 0.0
    failure_ratio_at: float = 0.0
    consecutive_failures: int = 0
    consecutive_no_response: int = 0
    ejected_until: float = float("-inf")
    round_trip: float = 0.001
    rate_limit: float | None = None
    next_send_at: float = float("-inf")
    leaving: bool = False
    paused_until: float = float("-inf")
    misdirected: bool = False
    evacuated: bool = False
    place: core.Place = core.Place(region="", failure_domain="")
    load_limit: float | None = None
    load_limit_at: float = float("-inf")
    responded_at: float = float("-inf")


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PendingRequest:
    """A request that needs a backend server.

    Attributes:
      arrived: time of its arrival at this node.
      target_time: time by which a response has its full utility.
      deadline: time after which a response is of no use.
      excluded: instances where an attempt of this request has failed.
      tenant: name of its tenant, "" without one.
      tenant_priority: goes before `priority`, 0 is the highest.
      home_regions: the only regions whose servers may run it, None for all.
        None may run it if it is empty.
    """

    priority: int
    idempotent: bool
    arrived: float
    target_time: float
    deadline: float
    excluded: frozenset[str] = frozenset()
    tenant: str = ""
    tenant_priority: int = 0
    home_regions: frozenset[str] | None = None
