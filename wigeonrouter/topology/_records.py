"""Immutable records of a deployment. Times are in seconds."""

import dataclasses
import enum

from wigeonrouter import core


class RegistrationState(enum.Enum):
    """The state that a backend server reports for itself."""

    READY = "ready"
    DRAINING = "draining"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Registration:
    """A backend server as it registered itself.

    Attributes:
      instance: identifies one start of the server.
      slow_start: duration of its slow start, counted from `started_ms` or from
        the arrival of the registration.
      started_ms: start of the server in ms since the epoch, 0 if unknown.
      sequence: number of this registration, counted from the start of the
        server.
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
    """The share of the requests of a route that a service gets."""

    service: str
    weight: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Route:
    """Where the requests for a host and path prefix go.

    Attributes:
      idempotent: whether a request may be executed more than once.
      timeout: longest time that a caller is kept waiting.
      target_latency: time within which a response has its full utility.
      priority: priority of the requests, 0 is the highest.
      max_attempts: largest number of backend servers tried for a request.
      public: whether requests need no API key.
      home_regions: the only regions that may serve it, all if empty.
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
    public: bool = False
    home_regions: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Tenant:
    """A customer of the operator, whose requests carry an API key.

    Attributes:
      priority: priority before that of the route, 0 is the highest.
      rate: requests per second of all nodes together, 0 without a limit.
      burst: requests that may exceed the rate for a moment.
      home_regions: the only regions that may serve it, all if empty.
    """

    name: str
    api_keys: tuple[str, ...] = dataclasses.field(repr=False)
    priority: int = 0
    rate: float = 0.0
    burst: float = 0.0
    home_regions: frozenset[str] = frozenset()

    @property
    def is_limited(self):
        """Whether its requests need quota tokens."""
        return self.rate > 0 or self.burst > 0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ServiceSettings:
    """Settings of a service, written by the operator.

    Attributes:
      slow_start: seconds for which its servers are cold after a start.
      slow_start_rate: requests per second of all nodes together that a cold
        server bears, 0 without a limit.
    """

    name: str
    health_path: str
    max_connections: int
    slow_start: float = 0.0
    slow_start_rate: float = 0.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CallerLimits:
    """Limits on the requests and connections of callers."""

    max_header_bytes: int = 16 << 10
    max_body_bytes: int = 64 << 20
    header_timeout: float = 10.0
    idle_timeout: float = 75.0


class Authentication(enum.Enum):
    """Whether requests need an API key.

    Attributes:
      OPEN: none does.
      KEYED: all do, but for public routes. If no tenant holds a key, all of
        these are rejected.
    """

    OPEN = "open"
    KEYED = "keyed"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Configuration:
    """The whole configuration by the operator, at one version.

    Attributes:
      authentication: whether the operator uses tenants, also if there are
        none at present.
      tenants: dict from name to Tenant.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, ServiceSettings]
    limits: CallerLimits
    authentication: Authentication
    tenants: dict[str, Tenant] = dataclasses.field(default_factory=dict)

    @property
    def keys_required(self):
        """Whether requests need an API key, but for public routes."""
        return self.authentication is Authentication.KEYED


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ConfigurationWritten:
    """The operator wrote a configuration.

    Attributes:
      encoded: the configuration as it was written.
    """

    configuration: Configuration
    revision: int
    encoded: bytes = dataclasses.field(default=b"", repr=False)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RegistrationWritten:
    """A backend server wrote its registration."""

    registration: Registration
    revision: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RegistrationRemoved:
    """A registration was removed, or no longer names a usable server.

    Attributes:
      reason: why an existing registration is not usable, empty if it was
        removed.
    """

    instance: str
    revision: int
    reason: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ConfigurationRejected:
    """A configuration that cannot be read; the one in force is kept."""

    reason: str
    revision: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class NodeWritten:
    """A node of any region registered itself.

    Attributes:
      checks_keys: whether it authenticates requests, which nodes of earlier
        builds do not.
    """

    region: str
    host: str
    checks_keys: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class EvacuationWritten:
    """The operator asked to send nothing to a failure domain's servers."""

    failure_domain: str
    revision: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class EvacuationRemoved:
    """The operator took a failure domain back into service."""

    failure_domain: str
    revision: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CallerTimeoutLearned:
    """A node wrote the usual timeout of a route's callers, in seconds."""

    route: str
    seconds: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class CrashStored:
    """The end of a server under a request was stored, or no longer counts."""

    crash: core.Crash
    removed: bool


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class QuotaSharesWritten:
    """The regions' shares of some tenants' quotas were written.

    Attributes:
      parts: dict from tenant to a dict from region to its parts.
    """

    parts: dict
    revision: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class QuotaDemandWritten:
    """A region wrote which quotas it lacks.

    Attributes:
      missing: dict from tenant to requests in a window.
    """

    region: str
    missing: dict
    revision: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class QuotaLevelsWritten:
    """The hub of a region wrote the levels of its tenants' grant bounds.

    Attributes:
      ledger: number of the ledger that has written them, 0 if unknown.
      starts: ledgers that had followed another one a short time before.
      general: level of the tenants that are not listed, 0 without an entry.
      levels: dict from tenant to its level.
    """

    region: str
    ledger: int
    starts: int
    general: int
    levels: dict
    revision: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class NodeRemoved:
    """The registration of a node was removed."""

    region: str
    host: str


class ContentScope(enum.Enum):
    """What the records of a StoreContent are.

    Attributes:
      CHANGES: changes since the records before.
      COMPLETE: all records of the store.
      RESTORED: all records of a store that was restored from a copy since
        the records before. What it lacks may exist, and what it has may be
        over.
    """

    CHANGES = "changes"
    COMPLETE = "complete"
    RESTORED = "restored"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StoreContent:
    """Records read from the store; `records` has the oldest first."""

    records: tuple
    scope: ContentScope


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Departure:
    """A backend server that left or drains, as of its last registration.

    Attributes:
      started_ms, sequence: as in Registration.
    """

    instance: str
    started_ms: int
    sequence: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StoreMemory:
    """What a node knows that a restored store has lost.

    Attributes:
      configuration: the newest configuration as the operator wrote it, empty
        if the store has it.
      departures: tuple of Departure.
    """

    configuration: bytes = dataclasses.field(default=b"", repr=False)
    departures: tuple[Departure, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Bounds:
    """Limits that the deployment sets for all nodes together.

    Attributes:
      retry_ratio: retries per request of a service.
      retry_window: seconds over which retries and requests are counted.
      max_entry_ttl: longest time that callers may cache their entries.
      stop_grace: time from the stop signal until the process is killed.
      config_apply: time within which an accepted change must be in force.
      drain_apply: time within which a server that drains must get no more
        requests.
      revoke_apply: time within which a removed API key must be rejected.
      revoke_strict: whether that also holds for a node that gets no changes.
      evacuation_apply: time within which an evacuated failure domain must get
        no more requests.
      quota_window: seconds over which the requests of a tenant are counted.
      quota_overage: share by which a tenant's limit may be exceeded.
      quota_slack: requests by which it may be exceeded besides.
      slow_start_overage: factor on the rate limit of cold servers.
      slow_start_slack: requests in a second that cold servers bear besides.
    """

    retry_ratio: float = 0.1
    retry_window: float = 10.0
    max_entry_ttl: float = 5.0
    stop_grace: float = 6.0
    config_apply: float = 2.5
    drain_apply: float = 2.5
    revoke_apply: float = 5.0
    revoke_strict: bool = False
    evacuation_apply: float = 5.0
    quota_window: float = 5.0
    quota_overage: float = 0.0
    quota_slack: float = 0.0
    slow_start_overage: float = 1.0
    slow_start_slack: float = 0.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class NodeSettings:
    """Settings of one node.

    Attributes:
      seeds: hosts of some nodes, possibly outdated.
      capacity: CPU time that it may use, in millicores.
      memory_bytes: memory that it may use.
      control_address: where metrics are served.
      regions: dict from failure domain to region.
      contracts: names of the terms that the deployment asks for.
      first_start: whether the whole system starts for the first time.
      spill_over: whether requests may leave the failure domain and region
        for a higher probability to meet their target latency.
      peer_ports: first and last port for traffic between nodes. Requests are
        passed on at the last one.
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
    memory_bytes: int
    regions: dict[str, str]
    heartbeat: float
    bounds: Bounds
    contracts: frozenset[str] = frozenset()
    first_start: bool = False
    spill_over: bool = False
