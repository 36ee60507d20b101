"""Deployments and workloads of the policy simulation.

All requests of a run are drawn before it starts, so that every policy is
measured on the same workload.
"""

import dataclasses
import random

from wigeonrouter import core

# Service times are log-normal: the median is about 8 ms, some take 40 ms.
MEAN_SERVICE_S = 0.010
_SERVICE_SIGMA = 0.6
REQUEST_BYTES = 2048
RESPONSE_BYTES = 8192
_TIMEOUTS_S = (0.1, 0.2, 0.4)
# Each region alternates between bursts and base periods, whose lengths are
# exponentially distributed. Bursts take a tenth of the time.
_MEAN_BURST_S = 0.05
_MEAN_BASE_PERIOD_S = 0.45
REGIONS = ("north", "middle", "south")
DAEMON_COUNT = 18


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Deployment:
    """Services and network of one deployment.

    Attributes:
      name: its name in the command line and in results.
      services: (name, number of backend servers, idempotent) of each.
      failure_domain_rtt: round-trip time between failure domains of one
        region, in seconds.
      region_rtt: round-trip time between regions, in seconds.
      caller_rtt: round-trip time between a caller and its daemon, in
        seconds.
      price_region_ms: the routing setting of that name.
    """

    name: str
    services: tuple[tuple[str, int, bool], ...]
    failure_domain_rtt: float
    region_rtt: float = 0.020
    caller_rtt: float = 0.001
    price_region_ms: float = 40.0

    def rtt(self, first, second):
        """Return the round-trip time between two places in seconds."""
        if first.region != second.region:
            return self.region_rtt
        if first.failure_domain != second.failure_domain:
            return self.failure_domain_rtt
        return 0.0


CARRIL_AZUL = Deployment(
    name="carril-azul",
    services=(
        ("availability", 20, True),
        ("holds", 12, False),
        ("bookings", 12, False),
    ),
    failure_domain_rtt=0.0005,
)
CHAIYAPHRUEK = Deployment(
    name="chaiyaphruek",
    services=(
        ("listing", 15, True),
        ("deposits", 12, False),
        ("haulage", 12, False),
    ),
    failure_domain_rtt=0.001,
)
DEPLOYMENTS = {d.name: d for d in (CARRIL_AZUL, CHAIYAPHRUEK)}


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Arrival:
    """One request as its caller sends it; times are in seconds.

    Attributes:
      number: position in the order of arrival.
      time: when the caller sends the request.
      place: core.Place of the caller.
      tenant: name of the tenant.
      service_time: time that it takes on a slot without slowdown.
      timeout: time that the caller allows.
      uses_outdated_entry: whether the caller goes to a random daemon of its
        region because its entry response is outdated.
    """

    number: int
    time: float
    place: core.Place
    tenant: str
    service_time: float
    timeout: float
    uses_outdated_entry: bool


def places():
    """Return one place per failure domain, alternating between regions."""
    return tuple(
        core.Place(region=region, failure_domain=f"{region}-{letter}")
        for letter in "ab"
        for region in REGIONS
    )


def make_servers(count):
    """Return backend servers of 2 slots, spread over failure domains."""
    all_places = places()
    return tuple(
        core.BackendServer(
            name=f"s{number:02d}",
            address=core.Address(host="127.0.0.1", port=20000 + number),
            place=all_places[number % len(all_places)],
        )
        for number in range(count)
    )


def make_members(count=DAEMON_COUNT):
    """Return alive members, spread over the failure domains."""
    all_places = places()
    return tuple(
        core.Member(
            daemon_id=f"d{number:02d}",
            incarnation=1,
            state=core.MemberState.ALIVE,
            place=all_places[number % len(all_places)],
            caller_address=core.Address(host="127.0.0.1", port=number + 1),
            admin_address=core.Address(host="127.0.0.1", port=number + 1),
            peer_address=core.Address(host="127.0.0.1", port=number + 1),
        )
        for number in range(count)
    )


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LoadShape:
    """Parameters of the arrival process; times are in seconds.

    Attributes:
      load: load factor, offered service time relative to slot capacity.
      duration: length of the arrival process.
      burst_factor: arrival rate during bursts relative to the mean rate.
        Bursts last 50 ms on average and take a tenth of the time; the mean
        load factor stays at load.
      region_weights: factor of each region's load.
      tenants: (name, share of the requests) of each tenant.
      noisy_tenant: (name, load factor, start, end) of a further tenant, or
        None.
      load_step: (start, end, load factor) that replaces load in that
        interval, or None.
      outdated_entry_ratio: share of requests whose caller uses an outdated
        entry response.
    """

    load: float
    duration: float = 5.0
    burst_factor: float = 2.0
    region_weights: tuple[float, ...] = (1.0, 1.0, 1.0)
    tenants: tuple[tuple[str, float], ...] = (("a", 0.6), ("b", 0.4))
    noisy_tenant: tuple[str, float, float, float] | None = None
    load_step: tuple[float, float, float] | None = None
    outdated_entry_ratio: float = 0.02


def make_arrivals(*, servers, shape, seed):
    """Draw the requests of one run.

    The arrival rate of a region is proportional to its number of slots and
    to its weight.

    Args:
      servers: tuple of core.BackendServer.
      shape: LoadShape.
      seed: integer; equal seeds give equal requests.
    Returns:
      A list of Arrival, ordered by time.
    """
    rows = []
    for index, region in enumerate(REGIONS):
        slots = sum(s.slots for s in servers if s.place.region == region)
        capacity = slots / MEAN_SERVICE_S
        rng = random.Random(f"{seed}/{region}")
        weight = shape.region_weights[index]
        rows += _draw_region_requests(rng, region, capacity * weight, shape)
        if shape.noisy_tenant is not None:
            name, load, start, end = shape.noisy_tenant
            rng = random.Random(f"{seed}/{region}/{name}")
            for time in _poisson_times(rng, load * capacity, start, end):
                rows.append(_draw_request(rng, time, region, name, shape))
    rows.sort(key=lambda row: row["time"])
    return [Arrival(number=n, **row) for n, row in enumerate(rows)]


def _draw_region_requests(rng, region, capacity, shape):
    names = [name for name, _ in shape.tenants]
    shares = [share for _, share in shape.tenants]
    base_factor = (1 - 0.1 * shape.burst_factor) / 0.9
    time, bursting, rows = 0.0, False, []
    while time < shape.duration:
        length = rng.expovariate(
            1 / (_MEAN_BURST_S if bursting else _MEAN_BASE_PERIOD_S)
        )
        end = min(shape.duration, time + length)
        factor = shape.burst_factor if bursting else base_factor
        for moment, load in _split_by_load(time, end, shape):
            start, stop = moment
            rate = load * capacity * factor
            for arrival in _poisson_times(rng, rate, start, stop):
                tenant = rng.choices(names, shares)[0]
                rows.append(_draw_request(rng, arrival, region, tenant, shape))
        time, bursting = end, not bursting
    return rows


def _split_by_load(start, end, shape):
    if shape.load_step is None:
        return [((start, end), shape.load)]
    first, last, load = shape.load_step
    boundaries = sorted(
        {start, end, *(c for c in (first, last) if start < c < end)}
    )
    return [
        ((low, high), load if first <= low < last else shape.load)
        for low, high in zip(boundaries, boundaries[1:], strict=False)
    ]


def _poisson_times(rng, rate, start, end):
    time = start
    while rate > 0:
        time += rng.expovariate(rate)
        if time >= end:
            return
        yield time


def _draw_request(rng, time, region, tenant, shape):
    mu = -(_SERVICE_SIGMA**2) / 2
    return {
        "time": time,
        "place": core.Place(
            region=region, failure_domain=f"{region}-{rng.choice('ab')}"
        ),
        "tenant": tenant,
        "service_time": MEAN_SERVICE_S
        * rng.lognormvariate(mu, _SERVICE_SIGMA),
        "timeout": rng.choice(_TIMEOUTS_S),
        "uses_outdated_entry": rng.random() < shape.outdated_entry_ratio,
    }
