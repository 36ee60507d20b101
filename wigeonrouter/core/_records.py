"""Immutable records that pass between the other packages."""

import dataclasses
import enum


class Outcome(enum.Enum):
    """What is known about the execution of a request once it has ended."""

    OK = "ok"
    # No backend server has executed the request; this is certain.
    NOT_RUN = "not-run"
    # A backend server may or may not have executed the request.
    UNKNOWN = "unknown"
    # A backend server executed the request and reported a failure.
    FAILED = "failed"


class ServerState(enum.Enum):
    """Whether a backend server is eligible for new requests."""

    READY = "ready"
    # Limited to one request at a time until enough responses have arrived
    # or slow start has ended.
    COLD = "cold"
    DRAINING = "draining"
    EJECTED = "ejected"


class MemberState(enum.Enum):
    """State of a daemon in the member table of another daemon."""

    # Running without a configuration; callers must not be sent to it.
    STARTING = "starting"
    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    DEAD = "dead"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Address:
    """IP address and port."""

    host: str
    port: int

    def __str__(self):
        return f"{self.host}:{self.port}"


def parse_address(text):
    """Parse an address of the form ``host:port``.

    Args:
      text: the address, for instance ``127.0.0.1:8000``.
    Returns:
      An Address; the host is not checked.
    Raises:
      ValueError: the text has no port, or the port is not a number.
    """
    host, separator, port = text.rpartition(":")
    if not separator:
        raise ValueError(f"address {text!r} has no port")
    return Address(host=host, port=int(port))


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Place:
    """Region and failure domain in which a process runs."""

    region: str
    failure_domain: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class BackendServer:
    """A backend server as configured by the operator.

    Attributes:
      name: group and server name, unique within a service.
      slots: requests that it can execute concurrently.
      draining: whether the operator has taken it out of rotation.
    """

    name: str
    address: Address
    place: Place
    slots: int = 2
    draining: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LoadReport:
    """Load that a backend server reported in the headers of a response.

    Attributes:
      in_flight: requests that it was executing, from all daemons.
      slots: requests that it can execute concurrently.
      draining: whether it is shutting down.
      received: time at which the report arrived, seconds on the monotonic
        clock.
      own_in_flight: requests of this daemon that were in flight to the
        server at that time.
    """

    in_flight: int
    slots: int
    draining: bool
    received: float
    own_in_flight: int


@dataclasses.dataclass(frozen=True, kw_only=True)
class BackendView:
    """Health and load of a backend server as seen by one daemon.

    Times are in seconds on the monotonic clock.

    Attributes:
      in_flight: requests of this daemon without a response yet.
      report: the latest load report, or None.
      latency: moving average of the response time, seconds.
      failure_ratio: moving average of the share of failed attempts, 0 to 1.
      limit: adaptive concurrency limit, requests in flight.
      responses: responses received since the server became ready or cold.
      ready_since: time at which it became eligible for requests.
      last_used: time at which the last request was sent to it.
      failures_in_row: consecutive failed attempts.
      refusals_in_row: consecutive refused connections or requests.
      ejections: ejections since the server last completed its slow start by
        returning enough responses.
      ejected_until: time at which the current ejection ends.
      stopped: whether a draining server has refused a connection since it
        announced the drain.
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

    Replaces dataclasses.replace(), which runs the whole constructor, since
    each request changes a view three times. The copy needs the instance's
    __dict__, so BackendView is declared without slots.

    Args:
      view: BackendView.
      changes: new values by field name; the names are not checked.
    Returns:
      A BackendView.
    """
    copy = object.__new__(BackendView)
    copy.__dict__.update(view.__dict__)
    copy.__dict__.update(changes)
    return copy


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TrafficKind:
    """A class of requests to one service.

    Attributes:
      idempotent: whether a request may be executed more than once.
      methods: HTTP methods that belong to it; empty for all.
      path_prefixes: path prefixes that belong to it; empty for all.
      timeout: seconds for a request without a timeout header; None for the
        default of the service.
    """

    name: str
    idempotent: bool
    methods: frozenset[str] = frozenset()
    path_prefixes: tuple[str, ...] = ()
    timeout: float | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RoutingSettings:
    """Selection of backend servers and of entry daemons.

    Attributes:
      policy: name of the selection policy.
      entry_scope: scope, "region" or "failure-domain", whose callers share
        the same home daemons.
      homes: home daemons per scope.
      price_per_ms: weight of one millisecond of expected latency.
      price_failure_domain_ms: penalty for a server in another failure
        domain, milliseconds.
      price_region_ms: penalty for a server in another region, milliseconds.
      price_per_kilobyte_region_ms: penalty for each kilobyte sent to another
        region, milliseconds.
    """

    policy: str = "free_slot"
    entry_scope: str = "region"
    homes: int = 1
    price_per_ms: float = 1.0
    price_failure_domain_ms: float = 1.0
    price_region_ms: float = 40.0
    price_per_kilobyte_region_ms: float = 0.1


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LimitSettings:
    """Limits on requests, queues and connections. Times are in seconds.

    Attributes:
      max_queue: requests of a service that may queue in one daemon.
      connections_per_server: connections from one daemon to one server.
      tenant_weights: pairs of tenant and fair-queueing weight.
    """

    max_queue: int = 256
    max_body_bytes: int = 1 << 20
    max_response_bytes: int = 8 << 20
    default_timeout: float = 2.0
    max_timeout: float = 30.0
    connections_per_server: int = 8
    tenant_weights: tuple[tuple[str, float], ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RetrySettings:
    """Limits on retries and hedged requests.

    Attributes:
      budget_ratio: retry budget, retries and hedges per request.
      max_attempts: attempts of one request, the first included.
      hedge_quantile: latency quantile after which an idempotent request is
        hedged; 0 disables hedging.
    """

    budget_ratio: float = 0.1
    max_attempts: int = 3
    hedge_quantile: float = 0.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class HealthSettings:
    """Outlier ejection, slow start and probes.

    Attributes:
      max_ejected_ratio: largest share of a group that may be ejected.
      slow_start: seconds for which a new server counts as cold.
      probes_per_second: probes of the service's servers by all daemons
        together.
      probe_path: request path of a probe.
    """

    max_ejected_ratio: float = 0.5
    slow_start: float = 10.0
    probes_per_second: float = 2.0
    probe_path: str = "/healthz"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class MatchSettings:
    """Which requests are routed to a service.

    Attributes:
      hosts: values of the Host header without the port.
      path_prefixes: prefixes of the request path.
      service_header: value of the X-Service header, or None.
    """

    hosts: tuple[str, ...] = ()
    path_prefixes: tuple[str, ...] = ()
    service_header: str | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class EffectiveService:
    """A service with its own and its inherited settings.

    Attributes:
      name: path of its node, for instance ``/carril-azul/holds``.
      servers: backend servers of all its groups, ordered by name.
      kinds: its traffic kinds.
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
    """An entry of the member table: one daemon.

    Attributes:
      incarnation: version of the record; a daemon raises its own at each
        start and when it refutes a suspicion.
      caller_address: where callers send requests.
      admin_address: where the administration API is served.
      peer_address: where other daemons connect.
      instance: start time of the process, milliseconds since the epoch.
        Request ids contain it, because the table of request ids is lost
        when the process restarts.
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
    """Properties of a request that determine how it is dispatched.

    Attributes:
      deadline: time by which the caller needs the response, seconds on the
        monotonic clock.
      body_bytes: size of the request body.
      attempt: number of the attempt, from 1.
      excluded: names of backend servers used by earlier attempts.
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
      granted: time of the decision, seconds on the monotonic clock.
      tenant: tenant that was charged for the slot, empty if none.
      charged: estimated slot time charged to the tenant, seconds.
    """

    server: BackendServer
    granted: float
    tenant: str = ""
    charged: float = 0.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class AttemptResult:
    """How an attempt ended.

    Attributes:
      outcome: whether the attempt executed the request.
      latency: seconds from the grant to the complete response or the
        failure.
      report: load report in the response headers, or None.
      cancelled: whether the attempt ended because the caller disconnected;
        such an attempt says nothing about the health of the server.
      refused: whether the server refused the connection or the request.
    """

    outcome: Outcome
    latency: float
    report: LoadReport | None = None
    cancelled: bool = False
    refused: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Crash:
    """The end of a server under a request.

    Attributes:
      digest: what equal requests have in common.
      name: identifies the end of the server, at all nodes alike.
    """

    digest: str
    name: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ServerStatement:
    """What a start of a backend server has said of itself to a node.

    Attributes:
      instance: instance of the server.
      started_ms: its start, ms since the epoch, 0 if unknown.
      leaving: whether it is about to end.
      pause: seconds for which it wants no requests, from the time of the
        statement on; 0 for none.
      number: rises with each statement that the node hears.
    """

    instance: str
    started_ms: int
    leaving: bool
    pause: float
    number: int
