"""Immutable records that the other packages are functions over."""

import dataclasses
import enum


class Outcome(enum.Enum):
    """What is known of a request once it is answered."""

    OK = "ok"
    # No backend server has run the request, and that is proved.
    NOT_RUN = "not-run"
    # A backend server may or may not have run the request.
    UNKNOWN = "unknown"
    # A backend server has answered that the request failed.
    FAILED = "failed"


class ServerState(enum.Enum):
    """Whether a backend server may get new work."""

    READY = "ready"
    # Gets one request at a time until it has proved itself.
    COLD = "cold"
    DRAINING = "draining"
    EJECTED = "ejected"


class MemberState(enum.Enum):
    """What a daemon believes about another one."""

    # Runs, but has no configuration yet; callers must not be sent to it.
    STARTING = "starting"
    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    DEAD = "dead"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Address:
    """IP number and port."""

    host: str
    port: int

    def __str__(self):
        return f"{self.host}:{self.port}"


def parse_address(text):
    """Parse an address of the form ``host:port``.

    Args:
      text: the address, for instance ``127.0.0.1:8000``.
    Returns:
      An Address.
    Raises:
      ValueError: the text has no port or the port is no number.
    """
    host, separator, port = text.rpartition(":")
    if not separator:
        raise ValueError(f"address {text!r} has no port")
    return Address(host=host, port=int(port))


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Place:
    """Where a process runs."""

    region: str
    failure_domain: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class BackendServer:
    """A backend server as the operator configured it."""

    name: str
    address: Address
    place: Place
    slots: int = 2
    draining: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LoadReport:
    """A backend server's own statement of its load, taken from an answer.

    Attributes:
      in_flight: requests that it was running, all callers together.
      slots: requests that it can run at once.
      draining: whether it is leaving.
      received: time of arrival, seconds on the monotonic clock.
      own_in_flight: requests of this daemon among them, at arrival.
    """

    in_flight: int
    slots: int
    draining: bool
    received: float
    own_in_flight: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class BackendView:
    """What one daemon knows of a backend server.

    Attributes:
      in_flight: requests of this daemon that the server has not answered.
      report: the last load report, if any.
      latency: moving average of the time to answer, seconds.
      failure_ratio: moving average of failed attempts, 0 to 1.
      limit: adaptive bound on in-flight requests.
      responses: responses received since the server became ready or cold.
      ready_since: time since which it may get work, seconds.
      last_used: time of the last request sent to it, seconds.
      failures_in_row: failed attempts since the last good answer.
      refusals_in_row: refusals since the last answer.
      ejections: ejections since the server last proved itself.
      ejected_until: end of the ejection, seconds.
      stopped: whether a server that announced its leaving has been seen to
        refuse connections since.
    """

    server: BackendServer
    state: ServerState = ServerState.READY
    in_flight: int = 0
    report: LoadReport | None = None
    latency: float = 0.0
    failure_ratio: float = 0.0
    limit: float = 2
    responses: int = 0
    ready_since: float = 0.0
    last_used: float = 0.0
    failures_in_row: int = 0
    refusals_in_row: int = 0
    ejections: int = 0
    ejected_until: float = 0.0
    stopped: bool = False


def evolve_view(view, **changes):
    """Return a copy of a BackendView with some fields changed.

    Each request changes a view three times, and dataclasses.replace() runs
    the whole constructor. This is why views have no slots.

    Args:
      view: BackendView.
      changes: new values by field name; names are not checked.
    Returns:
      A BackendView.
    """
    copy = object.__new__(BackendView)
    copy.__dict__.update(view.__dict__)
    copy.__dict__.update(changes)
    return copy


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TrafficKind:
    """A kind of traffic of one service.

    Attributes:
      idempotent: whether a request may be run more than once.
      methods: HTTP methods that it covers; all where empty.
      path_prefixes: path prefixes that it covers; all where empty.
      timeout: seconds given to a request that states no timeout.
    """

    name: str
    idempotent: bool
    methods: frozenset[str] = frozenset()
    path_prefixes: tuple[str, ...] = ()
    timeout: float | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RoutingSettings:
    """How backend servers and entries are chosen. Prices are in ms."""

    policy: str = "free_slot"
    entry_scope: str = "region"
    homes: int = 1
    price_per_ms: float = 1.0
    price_failure_domain_ms: float = 1.0
    price_region_ms: float = 40.0
    price_per_kilobyte_region_ms: float = 0.1


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LimitSettings:
    """Bounds on requests and queues. Times are in seconds."""

    max_queue: int = 256
    max_body_bytes: int = 1 << 20
    max_response_bytes: int = 8 << 20
    default_timeout: float = 2.0
    max_timeout: float = 30.0
    connections_per_server: int = 8
    tenant_weights: tuple[tuple[str, float], ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RetrySettings:
    """Bounds on repeated attempts."""

    budget_ratio: float = 0.1
    max_attempts: int = 3
    hedge_quantile: float = 0.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class HealthSettings:
    """Outliers, cold starts and probes. Times are in seconds."""

    max_ejected_ratio: float = 0.5
    slow_start: float = 10.0
    probes_per_second: float = 2.0
    probe_path: str = "/healthz"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class MatchSettings:
    """Which requests a service gets."""

    hosts: tuple[str, ...] = ()
    path_prefixes: tuple[str, ...] = ()
    service_header: str | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class EffectiveService:
    """A service with all that it inherits.

    Attributes:
      name: path of its node, for instance ``/carril-azul/holds``.
      servers: backend servers of all its groups, ordered by name.
      kinds: its kinds of traffic.
    """

    name: str
    match: MatchSettings
    servers: tuple[BackendServer, ...] = ()
    kinds: tuple[TrafficKind, ...] = ()
    routing: RoutingSettings = RoutingSettings()
    limits: LimitSettings = LimitSettings()
    retries: RetrySettings = RetrySettings()
    health: HealthSettings = HealthSettings()


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Member:
    """A daemon as another one knows it.

    Attributes:
      incarnation: grows with each start and each refuted suspicion.
      instance: start time of the process in ms since the epoch. Request ids
        name it, because a new process has forgotten the ids of the old one.
    """

    daemon_id: str
    incarnation: int
    state: MemberState
    place: Place
    caller_address: Address
    admin_address: Address
    peer_address: Address
    instance: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class DispatchRequest:
    """What a dispatcher needs to know of a request.

    Attributes:
      deadline: time by which the caller must have the answer, seconds on
        the monotonic clock.
      excluded: names of backend servers that an earlier attempt used.
    """

    kind: TrafficKind
    tenant: str
    deadline: float
    body_bytes: int = 0
    attempt: int = 1
    excluded: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Grant:
    """Permission to send one request to one backend server.

    Attributes:
      granted: seconds on the monotonic clock.
      tenant: tenant that was charged for the slot, if any.
      charged: seconds of slot time that it was charged, an estimate.
    """

    server: BackendServer
    granted: float
    tenant: str = ""
    charged: float = 0.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AttemptResult:
    """How an attempt ended.

    Attributes:
      outcome: what is known of the request after the attempt.
      latency: seconds from grant to the whole answer or the failure.
      report: the load report that rode on the answer, if any.
      cancelled: whether the caller went away; says nothing of the server.
      refused: whether the server refused the connection or the request.
    """

    outcome: Outcome
    latency: float
    report: LoadReport | None = None
    cancelled: bool = False
    refused: bool = False
