"""What the soak saw, and what it did. Times are monotonic seconds."""

import dataclasses
import enum


class End(enum.Enum):
    """How a request ended for its caller."""

    ANSWERED = "answered"
    # The connection ended without a whole answer.
    BROKEN = "broken"
    TIMEOUT = "timeout"
    # The caller left on purpose.
    LEFT = "left"
    # No connection was made, or nothing was sent.
    NOT_SENT = "not sent"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Request:
    """A request as its caller saw it.

    Attributes:
      node: name of the node that got it.
      target: path, unique for each request.
      patience: seconds that the caller waits.
      timeout: seconds that the operator allows.
      reply: platform Reply, None where there was none.
    """

    request_id: str
    node: str
    route: str
    idempotent: bool
    target: str
    sent: float
    ended: float
    patience: float
    timeout: float
    end: End
    reply: object = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Run:
    """A request that a backend server began to work on."""

    request_id: str
    instance: str
    service: str
    target: str
    started: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Leaving:
    """A backend server that was written down as leaving."""

    instance: str
    acknowledged: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Probe:
    """A request that shows which configuration a node has.

    Attributes:
      version: the version that first had its route.
      acknowledged: when the store took that version.
      incarnation: number of the node's process.
      found: whether the node had the route; None without an answer.
    """

    node: str
    incarnation: int
    version: int
    acknowledged: float
    sent: float
    found: bool | None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Exit:
    """A node process that ended.

    Attributes:
      started: when it was started.
      stopped: when it was asked to stop, None where it was not.
      killed: whether the soak killed it.
    """

    node: str
    started: float
    ended: float
    code: int
    stopped: float | None
    killed: bool


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Trouble:
    """A time in which something was disturbed.

    Attributes:
      name: of a node or backend server, "" for all nodes.
      planned: whether it was a stop by SIGTERM.
    """

    name: str
    began: float
    ended: float
    planned: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Violation:
    """A promise that was not kept."""

    promise: str
    detail: str


@dataclasses.dataclass(kw_only=True)
class Observations:
    """All that was seen in one run.

    Attributes:
      arrivals: (time, request id, service) of all that reached a server.
      allowed: dict from a route's name to all services that any version of
        the configuration sent it to.
      work_ended: dict from (request id, instance) to when its work was over.
      calm_from: time at which all troubles were over.
    """

    requests: list = dataclasses.field(default_factory=list)
    runs: list = dataclasses.field(default_factory=list)
    arrivals: list = dataclasses.field(default_factory=list)
    work_ended: dict = dataclasses.field(default_factory=dict)
    leaving: list = dataclasses.field(default_factory=list)
    probes: list = dataclasses.field(default_factory=list)
    exits: list = dataclasses.field(default_factory=list)
    troubles: list = dataclasses.field(default_factory=list)
    allowed: dict = dataclasses.field(default_factory=dict)
    calm_from: float = 0.0

    def allow(self, route):
        """Note that a topology.Route is part of a configuration."""
        services = self.allowed.setdefault(route.name, set())
        services.update(share.service for share in route.shares)
