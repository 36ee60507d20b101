"""Records that the decisions are functions over. Times are in seconds."""

import dataclasses
import enum


class Tier(enum.IntEnum):
    """How far away a backend server is."""

    DOMAIN = 0
    REGION = 1
    REMOTE = 2


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LoadReport:
    """A backend server's statement of its load.

    Attributes:
      running: requests that it was running, all callers together.
      queued: requests that waited there.
      slots: requests that it can run at once.
      slowness: how many times longer than usual work takes there now.
      received: time of arrival on the monotonic clock.
      own: requests of this node among them.
    """

    running: int
    queued: int
    slots: int
    slowness: float
    received: float
    own: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ServerView:
    """What a node knows of one backend server.

    Attributes:
      in_flight: requests of this node that it has not answered.
      report: latest LoadReport, None where none came.
      warm_until: time at which it is no longer slow from its start.
      failure: recent share of attempts that failed, from 0 to 1.
      failure_at: time to which `failure` refers.
      failures: attempts in a row that failed.
      silent: probes and connections in a row that got no answer.
      retry_at: it gets nothing before this time.
      round_trip: time to it and back.
    """

    instance: str
    tier: Tier
    slots: int
    in_flight: int = 0
    report: LoadReport | None = None
    warm_until: float = float("-inf")
    failure: float = 0.0
    failure_at: float = 0.0
    failures: int = 0
    silent: int = 0
    retry_at: float = float("-inf")
    round_trip: float = 0.001


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Job:
    """A request that needs a backend server.

    Attributes:
      arrived: time of its arrival at this node.
      target: time by which an answer has its full worth.
      give_up: time after which no answer is of use.
      excluded: instances that have failed it.
    """

    priority: int
    idempotent: bool
    arrived: float
    target: float
    give_up: float
    excluded: frozenset[str] = frozenset()
