"""Records of what a soak run observed and of the faults that it injected.

All times are seconds on the monotonic clock.
"""

import collections
import dataclasses
import enum

# Stands for the tenant of a key that no tenant holds.
UNKNOWN_TENANT = ""


class End(enum.Enum):
    """How a request ended for its caller."""

    ANSWERED = "answered"
    # The connection failed before the response was complete.
    BROKEN = "broken"
    TIMEOUT = "timeout"
    # The caller disconnected on purpose before the response.
    LEFT = "left"
    # The connection attempt failed, or no byte was sent.
    NOT_SENT = "not sent"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Request:
    """A request and its outcome, as observed by its caller.

    Attributes:
      node: name of the node that the request was sent to.
      target: request path, unique for each request.
      patience: timeout of the caller in seconds.
      timeout: timeout of the route in seconds, set by the operator.
      reply: CallerResponse, None if no complete response arrived.
      tenant: name of the tenant whose key was sent, UNKNOWN_TENANT for a key
        that no tenant holds, None without a key.
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
    tenant: str | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Execution:
    """A request that a backend server started to execute.

    Attributes:
      tenants: values of its headers that name a tenant.
      has_key: whether it had the caller's API key.
    """

    request_id: str
    instance: str
    service: str
    target: str
    started: float
    tenants: tuple[str, ...] = ()
    has_key: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Arrival:
    """A request that reached a backend server, executed or not.

    Attributes:
      misdirected: whether it was meant for another instance, which had the
        address before.
      domain: failure domain of the server.
    """

    at: float
    request_id: str
    instance: str
    service: str
    domain: str = ""
    misdirected: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LimitPeriod:
    """A period in which a backend server named a rate limit.

    Attributes:
      instance: instance id of the backend server.
      per_second: requests per second that it accepted from all nodes.
    """

    instance: str
    per_second: float
    began: float
    ended: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class PausePeriod:
    """A period in which a backend server rejected all requests.

    Attributes:
      instance: instance id of the backend server.
      pause: pause that each rejection asked for, seconds.
    """

    instance: str
    pause: float
    began: float
    ended: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ColdPeriod:
    """A period in which a backend server was cold.

    Attributes:
      per_second: requests per second that it bears from all nodes.
    """

    instance: str
    per_second: float
    began: float
    ended: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Evacuation:
    """The evacuation of a failure domain.

    Attributes:
      acknowledged: time at which the store accepted it.
      ended: time at which the operator began to remove it.
    """

    domain: str
    acknowledged: float
    ended: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Drain:
    """The drain of a backend server.

    Attributes:
      instance: instance id of the backend server.
      acknowledged: time at which the store accepted its registration in
        the draining state.
    """

    instance: str
    acknowledged: float


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Probe:
    """A request that shows which configuration version a node applies.

    Attributes:
      version: first configuration version that contains the probed route.
      acknowledged: time at which the store accepted that version.
      incarnation: how many times the node's process has been started.
      found: whether the node knew the route; None if unknown because the
        probe got no usable response.
    """

    node: str
    incarnation: int
    version: int
    acknowledged: float
    sent: float
    found: bool | None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Exit:
    """The exit of a node process.

    Attributes:
      started: time at which the process was started.
      code: exit code, or the negated number of the signal that ended it.
      stopped: time of the first SIGTERM, None if none was sent.
      killed: whether the soak test sent SIGKILL.
      early_hang_up: processor time in seconds that the process had used when
        it got SIGHUP before it handled that signal, None if it got none.
      early_stop: the same for SIGTERM.
    """

    node: str
    started: float
    ended: float
    code: int
    stopped: float | None
    killed: bool
    early_hang_up: float | None = None
    early_stop: float | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class FaultPeriod:
    """A period in which an injected fault affected a node or backend server.

    Attributes:
      name: name of the node or backend server, "" for all of them.
      graceful_stop: whether the fault was a stop by SIGTERM.
      store_only: whether the fault affected nothing but the store.
    """

    name: str
    began: float
    ended: float
    graceful_stop: bool = False
    store_only: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Violation:
    """A violation of an invariant.

    Attributes:
      invariant: short description of the violated invariant.
      detail: the records that show the violation, as text.
    """

    invariant: str
    detail: str


@dataclasses.dataclass(kw_only=True)
class Observations:
    """All observations of one soak run.

    Attributes:
      arrivals: list of Arrival.
      allowed_services: dict from a route name to the set of services that
        any version of the configuration routes it to.
      execution_ended_at: dict from (request id, instance) to the time at
        which the execution ended.
      cancelled: set of (request id, instance) whose connection was closed
        while the server executed the request.
      removed_at: dict from instance to the time at which the operator
        stopped that backend server.
      surplus_responses: Counter of the surplus responses that backend servers
        wrote, by the name of their SurplusMoment.
      tenants: dict from name to topology.Tenant of the configuration.
      refused_tenants: names of the tenants that are not expected to be served.
      faults_over_at: time at which all injected faults had ended.
    """

    requests: list = dataclasses.field(default_factory=list)
    executions: list = dataclasses.field(default_factory=list)
    arrivals: list = dataclasses.field(default_factory=list)
    execution_ended_at: dict = dataclasses.field(default_factory=dict)
    cancelled: set = dataclasses.field(default_factory=set)
    removed_at: dict = dataclasses.field(default_factory=dict)
    limit_periods: list = dataclasses.field(default_factory=list)
    pause_periods: list = dataclasses.field(default_factory=list)
    cold_periods: list = dataclasses.field(default_factory=list)
    evacuations: list = dataclasses.field(default_factory=list)
    tenants: dict = dataclasses.field(default_factory=dict)
    refused_tenants: set = dataclasses.field(default_factory=set)
    surplus_responses: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    drains: list = dataclasses.field(default_factory=list)
    probes: list = dataclasses.field(default_factory=list)
    exits: list = dataclasses.field(default_factory=list)
    fault_periods: list = dataclasses.field(default_factory=list)
    allowed_services: dict = dataclasses.field(default_factory=dict)
    faults_over_at: float = 0.0

    def record_route(self, route):
        """Add the services of a topology.Route to the allowed ones."""
        services = self.allowed_services.setdefault(route.name, set())
        services.update(share.service for share in route.shares)
