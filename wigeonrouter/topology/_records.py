"""Immutable records of a deployment. Times are in seconds."""

import dataclasses
import enum

from wigeonrouter import core


class RegistrationState(enum.Enum):
    """What a backend server says of itself."""

    READY = "ready"
    DRAINING = "draining"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Registration:
    """A backend server as it registered itself.

    Attributes:
      instance: name of this start of the server.
      warm_up: how much longer it is slow, counted from `born` on or from
        the arrival of the registration.
      born: ms since the epoch of its start, 0 where unknown.
      sequence: number of the statement, counted from the start on.
    """

    instance: str
    service: str
    address: core.Address
    place: core.Place
    slots: int
    state: RegistrationState
    slow_start: float = 0.0
    started_ms: int = 0
    sequence: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TrafficShare:
    """Part of a route's requests that a service gets."""

    service: str
    weight: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Route:
    """Where requests of a host and path prefix go.

    Attributes:
      idempotent: whether a request may run more than once.
      timeout: longest time that a caller is kept waiting.
      target_latency: time within which an answer has its full worth.
      priority: rank of the requests, 0 is the most urgent.
      max_attempts: most backend servers that get one request.
    """

    name: str
    host: str
    prefix: str
    shares: tuple[TrafficShare, ...]
    idempotent: bool
    timeout: float
    target_latency: float
    priority: int
    max_attempts: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ServiceSettings:
    """Settings of a service that the operator wrote."""

    name: str
    health_path: str
    max_connections: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CallerLimits:
    """Bounds on what callers send."""

    max_header_bytes: int = 16 << 10
    max_body_bytes: int = 64 << 20
    header_timeout: float = 10.0
    idle_timeout: float = 75.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Configuration:
    """All that the operator configured, at one version."""

    version: int
    routes: tuple[Route, ...]
    services: dict[str, ServiceSettings]
    limits: CallerLimits


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ConfigurationWritten:
    """The operator wrote a configuration."""

    configuration: Configuration
    revision: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RegistrationWritten:
    """A backend server wrote its registration."""

    registration: Registration
    revision: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RegistrationRemoved:
    """A registration went away, or no longer names a usable server.

    Attributes:
      reason: why a present one is not usable, empty where it went away.
    """

    instance: str
    revision: int
    reason: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ConfigurationRejected:
    """A configuration that cannot be read; the one in force stays."""

    reason: str
    revision: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class NodeWritten:
    """A node of some region registered itself."""

    region: str
    host: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CallerTimeoutLearned:
    """A node wrote how long callers of a route usually wait, in seconds."""

    route: str
    seconds: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class NodeRemoved:
    """A node's registration went away."""

    region: str
    host: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StoreContent:
    """What lies in the store, or what changed there.

    Attributes:
      records: the records above, oldest first.
      whole: whether nothing else lies there.
    """

    records: tuple
    complete: bool


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Bounds:
    """Bounds that the deployment sets on all nodes together.

    Attributes:
      retry_ratio: further attempts per request of a service.
      retry_window: seconds over which they are counted.
      answer_lifetime: longest time that callers may keep an entry answer.
      stop_grace: time from the request to stop until the process is killed.
      config_apply: time in which an accepted change has to be in force.
    """

    retry_ratio: float = 0.1
    retry_window: float = 10.0
    max_entry_ttl: float = 5.0
    stop_grace: float = 6.0
    config_apply: float = 2.5


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class NodeSettings:
    """What a node is told about itself.

    Attributes:
      seeds: hosts of some nodes, which may be out of date.
      capacity: processor time that it may use, in thousandths of a core.
      control_address: where metrics are served.
      regions: dict from failure domain to region.
      peer_ports: first and last port for traffic between nodes.
    """

    name: str
    place: core.Place
    host: str
    caller_address: core.Address | None
    readiness_address: core.Address | None
    directory_address: core.Address | None
    control_address: core.Address | None
    store_address: core.Address
    peer_ports: tuple[int, int]
    seeds: tuple[str, ...]
    capacity: int
    regions: dict[str, str]
    heartbeat: float
    bounds: Bounds
