"""Scenarios of the policy simulation: tenants, overload, faults, regions."""

import dataclasses

from wigeonrouter.bench import _policy_load

# Faults start at this simulated time and last until the end of the run.
FAULT_START_S = 1.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Scenario:
    """A workload, its faults and the requests that the figures cover.

    Attributes:
      shape: _policy_load.LoadShape.
      faults: tuple of (time, function(simulated servers by name)).
      start: the figures cover arrivals from this time on, in seconds.
      end: the figures cover arrivals before this time, in seconds, or None.
      tenant: the only tenant that the figures cover, or None.
      region: the only region whose callers the figures cover, or None.
    """

    shape: _policy_load.LoadShape
    faults: tuple = ()
    start: float = FAULT_START_S
    end: float | None = None
    tenant: str | None = None
    region: str | None = None


def _slow_down(names, factor, slots=2):
    def apply(servers):
        for name in names:
            servers[name].slowdown[:slots] = [factor] * slots

    return ((FAULT_START_S, apply),)


def _set_attributes(names, **values):
    def apply(servers):
        for name in names or servers:
            for key, value in values.items():
                setattr(servers[name], key, value)

    return ((FAULT_START_S, apply),)


def _load_shape(load=0.7, duration=4.0, **changes):
    return _policy_load.LoadShape(
        load=load, duration=duration, burst_factor=1.0, **changes
    )


_QUIET_TENANT = (("quiet", 1.0),)
# make_servers() assigns servers to the six failure domains in turn.
_NORTH_A = ("s00", "s06")
_NORTH = ("s00", "s03", "s06", "s09")

SCENARIOS = {
    "quiet tenant alone": Scenario(
        shape=_load_shape(0.3, tenants=_QUIET_TENANT), end=4.0, tenant="quiet"
    ),
    "quiet tenant, noisy one at 200 %": Scenario(
        shape=_load_shape(
            0.3, tenants=_QUIET_TENANT, noisy_tenant=("noisy", 2.0, 0.5, 4.0)
        ),
        end=4.0,
        tenant="quiet",
    ),
    "70 %, no fault": Scenario(shape=_load_shape()),
    "one slot 5 times slower": Scenario(
        shape=_load_shape(), faults=_slow_down(("s00",), 5.0, 1)
    ),
    "one server 5 times slower": Scenario(
        shape=_load_shape(), faults=_slow_down(("s00",), 5.0)
    ),
    "one failure domain 3 times slower": Scenario(
        shape=_load_shape(), faults=_slow_down(_NORTH_A, 3.0)
    ),
    "one server fails at once": Scenario(
        shape=_load_shape(), faults=_set_attributes(("s00",), failing=True)
    ),
    "one server refuses at once": Scenario(
        shape=_load_shape(), faults=_set_attributes(("s00",), rejecting=True)
    ),
    "one server always reports idle": Scenario(
        shape=_load_shape(),
        faults=_set_attributes(("s00",), fixed_in_flight=0),
    ),
    "one server always reports 2 in flight": Scenario(
        shape=_load_shape(),
        faults=_set_attributes(("s00",), fixed_in_flight=2),
    ),
    "all servers report 2 in flight": Scenario(
        shape=_load_shape(), faults=_set_attributes((), fixed_in_flight=2)
    ),
    "half of the reports lost": Scenario(
        shape=_load_shape(), faults=_set_attributes((), report_loss=0.5)
    ),
    "all reports lost": Scenario(
        shape=_load_shape(), faults=_set_attributes((), report_loss=1.0)
    ),
    "north at 150 % of 80 %, others at 75 %": Scenario(
        shape=_load_shape(0.8, region_weights=(1.5, 0.75, 0.75))
    ),
    "the same, callers of middle": Scenario(
        shape=_load_shape(0.8, region_weights=(1.5, 0.75, 0.75)),
        region="middle",
    ),
    "half of north 10 times slower, callers of north": Scenario(
        shape=_load_shape(), faults=_slow_down(_NORTH, 10.0), region="north"
    ),
    "the same, callers of middle (2)": Scenario(
        shape=_load_shape(), faults=_slow_down(_NORTH, 10.0), region="middle"
    ),
    "after 1 s at 200 %: first 250 ms": Scenario(
        shape=_load_shape(load_step=(1.0, 2.0, 2.0)), start=2.0, end=2.25
    ),
    "after 1 s at 200 %: next 250 ms": Scenario(
        shape=_load_shape(load_step=(1.0, 2.0, 2.0)), start=2.25, end=2.5
    ),
}
