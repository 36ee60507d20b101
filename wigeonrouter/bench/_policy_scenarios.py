"""Scenarios of the policy experiment: tenants, overload, faults, regions."""

import dataclasses

from wigeonrouter.bench import _policy_load

# Faults begin here and last to the end of the run.
FAULT_START_S = 1.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Scenario:
    """One scenario; figures count arrivals from start to end."""

    shape: _policy_load.LoadShape
    faults: tuple = ()
    start: float = FAULT_START_S
    end: float | None = None
    tenant: str | None = None
    region: str | None = None


def _slow(names, factor, slots=2):
    def apply(servers):
        for name in names:
            servers[name].slowness[:slots] = [factor] * slots

    return ((FAULT_START_S, apply),)


def _set(names, **values):
    def apply(servers):
        for name in names or servers:
            for key, value in values.items():
                setattr(servers[name], key, value)

    return ((FAULT_START_S, apply),)


def _shape(load=0.7, duration=4.0, **changes):
    return _policy_load.LoadShape(
        load=load, duration=duration, burst=1.0, **changes
    )


_QUIET = (("quiet", 1.0),)
# The servers of make_servers() take turns over six failure domains.
_NORTH_A = ("s00", "s06")
_NORTH = ("s00", "s03", "s06", "s09")

SCENARIOS = {
    "quiet tenant alone": Scenario(
        shape=_shape(0.3, tenants=_QUIET), end=4.0, tenant="quiet"
    ),
    "quiet tenant, noisy one at 200 %": Scenario(
        shape=_shape(0.3, tenants=_QUIET, noisy=("noisy", 2.0, 0.5, 4.0)),
        end=4.0,
        tenant="quiet",
    ),
    "70 %, no fault": Scenario(shape=_shape()),
    "one slot 5 times slower": Scenario(
        shape=_shape(), faults=_slow(("s00",), 5.0, 1)
    ),
    "one server 5 times slower": Scenario(
        shape=_shape(), faults=_slow(("s00",), 5.0)
    ),
    "one failure domain 3 times slower": Scenario(
        shape=_shape(), faults=_slow(_NORTH_A, 3.0)
    ),
    "one server fails at once": Scenario(
        shape=_shape(), faults=_set(("s00",), failing=True)
    ),
    "one server refuses at once": Scenario(
        shape=_shape(), faults=_set(("s00",), refusing=True)
    ),
    "one server always reports idle": Scenario(
        shape=_shape(), faults=_set(("s00",), reported=0)
    ),
    "one server always reports 2 in flight": Scenario(
        shape=_shape(), faults=_set(("s00",), reported=2)
    ),
    "all servers report 2 in flight": Scenario(
        shape=_shape(), faults=_set((), reported=2)
    ),
    "half of the reports lost": Scenario(
        shape=_shape(), faults=_set((), report_loss=0.5)
    ),
    "all reports lost": Scenario(
        shape=_shape(), faults=_set((), report_loss=1.0)
    ),
    "north at 150 % of 80 %, others at 75 %": Scenario(
        shape=_shape(0.8, region_weights=(1.5, 0.75, 0.75))
    ),
    "the same, callers of middle": Scenario(
        shape=_shape(0.8, region_weights=(1.5, 0.75, 0.75)), region="middle"
    ),
    "half of north 10 times slower, callers of north": Scenario(
        shape=_shape(), faults=_slow(_NORTH, 10.0), region="north"
    ),
    "the same, callers of middle (2)": Scenario(
        shape=_shape(), faults=_slow(_NORTH, 10.0), region="middle"
    ),
    "after 1 s at 200 %: first 250 ms": Scenario(
        shape=_shape(steps=(1.0, 2.0, 2.0)), start=2.0, end=2.25
    ),
    "after 1 s at 200 %: next 250 ms": Scenario(
        shape=_shape(steps=(1.0, 2.0, 2.0)), start=2.25, end=2.5
    ),
}
