"""Deployments and arrivals of the policy experiment.

All random draws of a run are made here, before it starts, so that each
policy meets the same requests.
"""

import dataclasses
import random

from wigeonrouter import core

# Log-normal service times: most requests take about 8 ms, some 40 ms.
MEAN_SERVICE_S = 0.010
_SERVICE_SIGMA = 0.6
REQUEST_BYTES = 2048
RESPONSE_BYTES = 8192
_TIMEOUTS_S = (0.1, 0.2, 0.4)
_BURST_LENGTH_S = 0.05
_CALM_LENGTH_S = 0.45
REGIONS = ("north", "middle", "south")
DAEMON_COUNT = 18


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Deployment:
    """Sizes and round-trip times, in seconds."""

    name: str
    services: tuple[tuple[str, int, bool], ...]
    failure_domain_rtt: float
    region_rtt: float = 0.020
    caller_rtt: float = 0.001
    price_region_ms: float = 40.0

    def rtt(self, first, second):
        """Return the round-trip time between two places."""
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
    """One request as its caller sends it; times in seconds."""

    number: int
    time: float
    place: core.Place
    tenant: str
    work: float
    timeout: float
    stray: bool


def places():
    """Return the six failure domains, regions taking turns."""
    return tuple(
        core.Place(region=region, failure_domain=f"{region}-{letter}")
        for letter in "ab"
        for region in REGIONS
    )


def make_servers(count):
    """Spread backend servers of 2 slots over the failure domains."""
    spread = places()
    return tuple(
        core.BackendServer(
            name=f"s{number:02d}",
            address=core.Address(host="127.0.0.1", port=20000 + number),
            place=spread[number % len(spread)],
        )
        for number in range(count)
    )


def make_members(count=DAEMON_COUNT):
    """Spread daemons over the failure domains."""
    spread = places()
    return tuple(
        core.Member(
            daemon_id=f"d{number:02d}",
            incarnation=1,
            state=core.MemberState.ALIVE,
            place=spread[number % len(spread)],
            caller_address=core.Address(host="127.0.0.1", port=number + 1),
            admin_address=core.Address(host="127.0.0.1", port=number + 1),
            peer_address=core.Address(host="127.0.0.1", port=number + 1),
        )
        for number in range(count)
    )


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class LoadShape:
    """What arrives.

    Attributes:
      load: offered work as a share of the slots' capacity.
      duration: seconds of arrivals.
      burst: factor of the rate in bursts of 50 ms on average, which take a
        tenth of the time; the mean stays at load.
      region_weights: relative load of the regions.
      tenants: (name, share of the requests) of the tenants.
      noisy: (name, load, start, end) of a further tenant, or None.
      steps: (start, end, load) that replaces load for some time, or None.
      stray_ratio: callers that use an outdated entry response.
    """

    load: float
    duration: float = 5.0
    burst: float = 2.0
    region_weights: tuple[float, ...] = (1.0, 1.0, 1.0)
    tenants: tuple[tuple[str, float], ...] = (("a", 0.6), ("b", 0.4))
    noisy: tuple[str, float, float, float] | None = None
    steps: tuple[float, float, float] | None = None
    stray_ratio: float = 0.02


def make_arrivals(*, servers, shape, seed):
    """Draw the requests of a run.

    The load of a region is proportional to its slots times its weight.

    Args:
      servers: tuple of core.BackendServer.
      shape: LoadShape.
      seed: a whole number; equal seeds give equal arrivals.
    Returns:
      A list of Arrival, ordered by time.
    """
    rows = []
    for index, region in enumerate(REGIONS):
        slots = sum(s.slots for s in servers if s.place.region == region)
        capacity = slots / MEAN_SERVICE_S
        rng = random.Random(f"{seed}/{region}")
        weight = shape.region_weights[index]
        rows += _region_rows(rng, region, capacity * weight, shape)
        if shape.noisy is not None:
            name, load, start, end = shape.noisy
            rng = random.Random(f"{seed}/{region}/{name}")
            for time in _poisson(rng, load * capacity, start, end):
                rows.append(_draw(rng, time, region, name, shape))
    rows.sort(key=lambda row: row["time"])
    return [Arrival(number=n, **row) for n, row in enumerate(rows)]


def _region_rows(rng, region, capacity, shape):
    names = [name for name, _ in shape.tenants]
    shares = [share for _, share in shape.tenants]
    calm = (1 - 0.1 * shape.burst) / 0.9
    time, bursting, rows = 0.0, False, []
    while time < shape.duration:
        length = rng.expovariate(
            1 / (_BURST_LENGTH_S if bursting else _CALM_LENGTH_S)
        )
        end = min(shape.duration, time + length)
        factor = shape.burst if bursting else calm
        for moment, load in _spans(time, end, shape):
            start, stop = moment
            rate = load * capacity * factor
            for arrival in _poisson(rng, rate, start, stop):
                tenant = rng.choices(names, shares)[0]
                rows.append(_draw(rng, arrival, region, tenant, shape))
        time, bursting = end, not bursting
    return rows


def _spans(start, end, shape):
    if shape.steps is None:
        return [((start, end), shape.load)]
    first, last, load = shape.steps
    cuts = sorted({start, end, *(c for c in (first, last) if start < c < end)})
    return [
        ((low, high), load if first <= low < last else shape.load)
        for low, high in zip(cuts, cuts[1:], strict=False)
    ]


def _poisson(rng, rate, start, end):
    time = start
    while rate > 0:
        time += rng.expovariate(rate)
        if time >= end:
            return
        yield time


def _draw(rng, time, region, tenant, shape):
    mu = -(_SERVICE_SIGMA**2) / 2
    return {
        "time": time,
        "place": core.Place(
            region=region, failure_domain=f"{region}-{rng.choice('ab')}"
        ),
        "tenant": tenant,
        "work": MEAN_SERVICE_S * rng.lognormvariate(mu, _SERVICE_SIGMA),
        "timeout": rng.choice(_TIMEOUTS_S),
        "stray": rng.random() < shape.stray_ratio,
    }
