"""Executes one seeded run: a fleet, its callers, and a plan of faults."""

import contextlib
import dataclasses
import os
import random
import time

import gevent

from wigeonrouter import core
from wigeonrouter.soak import _callers
from wigeonrouter.soak import _cold_servers
from wigeonrouter.soak import _environment
from wigeonrouter.soak import _evacuations
from wigeonrouter.soak import _faults
from wigeonrouter.soak import _fleet
from wigeonrouter.soak import _limits
from wigeonrouter.soak import _pauses
from wigeonrouter.soak import _pooled_callers
from wigeonrouter.soak import _records
from wigeonrouter.soak import _restores
from wigeonrouter.soak import _standstills
from wigeonrouter.soak import _surplus
from wigeonrouter.soak import _tenants
from wigeonrouter.soak import checks

_STARTUP_S = 3.0
# Callers go on after the last fault for as long as recovery may take, plus
# 3 s in which the requests for the recovery check are sent.
_RECOVERY_OBSERVATION_S = checks.RECOVERY_TIME_S + 3.0
_FAULT_JOIN_TIMEOUT_S = 15.0
# Range below the ephemeral ports, which the system assigns to outgoing
# connections.
_PORT_RANGE = (10_000, 30_000)
_NODES_PER_SERVER = 6
# Number of faults of the same kind in a series, chosen uniformly.
_SERIES_LENGTHS = (1, 1, 1, 2, 4)
_SERIES_GAP_S = (0.2, 2.0)
# The last roll begins this long after the last other fault began. Its nodes
# are undisturbed, so that the checks of stops apply to all of them.
_UNDISTURBED_ROLL_DELAY_S = 7.0
# A roll of all nodes begins in each interval, this long after its start.
_ROLL_INTERVAL_S = 10.0
_ROLL_START_S = (0.0, 2.0)
# A server is replaced in place this long after the previous one.
_REPLACEMENT_GAP_S = (0.5, 2.0)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Size:
    """Size of a soak run.

    Attributes:
      nodes: number of node processes.
      callers: number of concurrent callers.
      seconds: duration of the period in which faults are started.
      servers: minimum number of backend servers of a service in each failure
        domain; runs with many nodes use more.
      pause: mean interval between two series of faults, in seconds.
      restores: whether the store is restored from older copies.
      tenants: whether callers with API keys send requests beside the others.
      evacuations: whether failure domains are evacuated.
      cold_servers: whether servers that start are cold, and more of them
        start.
      pooled_callers: number of callers that keep a connection open. With any,
        their servers stand still at times and all nodes are rolled.
    """

    nodes: int = 6
    callers: int = 24
    servers: int = 3
    seconds: float = 15.0
    pause: float = 1.2
    restores: bool = False
    tenants: bool = False
    evacuations: bool = False
    cold_servers: bool = False
    pooled_callers: int = 0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Planned:
    """A fault that is part of the plan of a run.

    Attributes:
      at: start of the fault, in seconds after the start of fault injection.
      kind: name of the function that injects it.
      seed: seed of the random generator that this function gets.
    """

    at: float
    kind: str
    seed: int


def make_plan(seed, size):
    """Return the tuple of Planned that a seed determines for a Size."""
    rng = random.Random(seed)
    kinds = _faults.random_kinds()
    plan = _plan_rolls(seed, size) + _plan_replacements(seed, size)
    at = 0.0
    while True:
        at += rng.expovariate(1 / size.pause)
        if at > size.seconds:
            return tuple(plan)
        kind = rng.choice(kinds)
        at_in_series = at
        for _ in range(rng.choice(_SERIES_LENGTHS)):
            plan.append(
                Planned(
                    at=at_in_series, kind=kind, seed=rng.randrange(1 << 30)
                )
            )
            at_in_series += rng.uniform(*_SERIES_GAP_S)


def _plan_rolls(seed, size):
    """Return the list of Planned rolls, drawn apart from other faults."""
    if not size.pooled_callers:
        return []
    rng = random.Random(f"rolls {seed}")
    starts = [
        number * _ROLL_INTERVAL_S + rng.uniform(*_ROLL_START_S)
        for number in range(max(1, int(size.seconds / _ROLL_INTERVAL_S)))
    ]
    starts.append(size.seconds + _UNDISTURBED_ROLL_DELAY_S)
    return [
        Planned(
            at=at,
            kind=_faults.roll_nodes.__name__,
            seed=rng.randrange(1 << 30),
        )
        for at in starts
    ]


def _plan_replacements(seed, size):
    """Return the list of Planned replacements, drawn apart like rolls."""
    rng = random.Random(f"replacements {seed}")
    plan = []
    at = rng.uniform(*_REPLACEMENT_GAP_S)
    while at < size.seconds:
        plan.append(
            Planned(
                at=at,
                kind=_faults.replace_in_place.__name__,
                seed=rng.randrange(1 << 30),
            )
        )
        at += rng.uniform(*_REPLACEMENT_GAP_S)
    return plan


def run_seed(seed, size, directory):
    """Execute the run that a seed determines.

    Returns:
      A pair of Observations and the list of Violations found in them.
    """
    rng = random.Random(seed)
    observations = _records.Observations()
    environment = _environment.Environment(
        servers_per_domain=max(size.servers, size.nodes // _NODES_PER_SERVER),
        observations=observations,
        rng=random.Random(seed),
        has_pooled_callers=size.pooled_callers > 0,
        tenants=_tenants.TENANTS if size.tenants else None,
        tenant_routes=_tenants.ROUTES if size.tenants else (),
        slow_start=_cold_servers.SLOW_START if size.cold_servers else None,
    )
    environment.sender = _callers.Sender(
        routes=environment.routes,
        observations=observations,
        rng=random.Random(seed),
    )
    environment.fleet = _make_fleet(environment, size, directory)
    tasks = []
    try:
        environment.fleet.start()
        gevent.sleep(_STARTUP_S)
        tasks = _start_callers(environment, size, rng)
        tasks += _pooled_callers.start(
            environment, size.pooled_callers, random.Random(f"pools {seed}")
        )
        if size.tenants:
            tasks += _tenants.start_callers(
                environment, random.Random(f"tenants {seed}")
            )
        tasks.append(gevent.spawn(environment.probe_configuration))
        limits_rng = random.Random(f"limits {seed}")
        with (
            _in_background(
                _limits.name_limits, environment, limits_rng, _limits.SHARES
            ),
            _in_background(
                _pauses.request_pauses,
                environment,
                random.Random(f"pauses {seed}"),
            ),
            _in_background(
                _standstills.let_servers_stand_still,
                environment,
                random.Random(f"standstills {seed}"),
            ),
            _in_background(
                _surplus.write_surplus_responses,
                environment,
                random.Random(f"surplus {seed}"),
            ),
            _in_background_if(
                size.evacuations,
                _evacuations.evacuate_domains,
                environment,
                random.Random(f"evacuations {seed}"),
            ),
            _in_background_if(
                size.cold_servers,
                _cold_servers.start_servers,
                environment,
                random.Random(f"cold servers {seed}"),
            ),
            _restoring_store(environment, seed, size),
        ):
            _inject_faults(environment, make_plan(seed, size))
        observations.faults_over_at = time.monotonic()
        with (
            _in_background(
                _limits.name_limits,
                environment,
                limits_rng,
                _limits.SHARES_IN_RECOVERY,
            ),
            _in_background_if(
                size.evacuations,
                _evacuations.evacuate_in_recovery,
                environment,
            ),
        ):
            gevent.sleep(_RECOVERY_OBSERVATION_S)
    finally:
        # Requests that are cut off by the end of the run are no violations.
        observations.fault_periods.append(
            _records.FaultPeriod(
                name="", began=time.monotonic(), ended=float("inf")
            )
        )
        gevent.killall(tasks)
        environment.fleet.stop()
        environment.collect_observations()
        environment.stop()
    return observations, checks.find_violations(observations)


@contextlib.contextmanager
def _in_background(function, *arguments):
    """Call a function that does not end in the body of a with statement."""
    task = gevent.spawn(function, *arguments)
    try:
        yield
    finally:
        task.kill()


def _in_background_if(condition, function, *arguments):
    """Do the same if the condition holds, and else nothing."""
    if not condition:
        return contextlib.nullcontext()
    return _in_background(function, *arguments)


@contextlib.contextmanager
def _restoring_store(environment, seed, size):
    """Restore the store in the body of the with statement, if wanted."""
    if not size.restores:
        yield
        return
    rng = random.Random(f"restores {seed}")
    task = gevent.spawn(_restores.restore_store, environment, rng)
    try:
        yield
    finally:
        task.kill()
        environment.store.refusing = False
        environment.write_operator_entries_again()
        environment.restore_registrations()
        environment.remove_lapsed()


def _make_fleet(environment, size, directory):
    port_rng = random.Random(os.getpid())
    first_port = port_rng.randrange(*_PORT_RANGE, 1000)
    port = int(environment.store.address.partition(":")[2])
    return _fleet.Fleet(
        domains=_environment.DOMAINS,
        size=size.nodes,
        prefix=f"127.{10 + os.getpid() % 200}",
        ports=_fleet.Ports(
            caller=first_port,
            readiness=first_port + 1,
            directory=first_port + 2,
            control=first_port + 3,
            first_peer=first_port + 10,
        ),
        store_address=core.Address(host="127.0.0.1", port=port),
        directory=directory,
        observations=environment.observations,
    )


def _start_callers(environment, size, rng):
    domains = sorted(_environment.DOMAINS)
    return [
        gevent.spawn(
            _callers.Caller(
                fleet=environment.fleet,
                place=_environment.get_place(domains[index % len(domains)]),
                host=_environment.HOST,
                sender=environment.sender,
                rng=random.Random(rng.randrange(1 << 30)),
            ).run
        )
        for index in range(size.callers)
    ]


def _inject_faults(environment, plan):
    """Inject all planned faults and wait until they are over."""
    kinds = _faults.kinds()
    started = time.monotonic()
    tasks = []
    for planned in sorted(plan, key=lambda planned: planned.at):
        gevent.sleep(max(0.0, started + planned.at - time.monotonic()))
        tasks.append(
            gevent.spawn(
                kinds[planned.kind], environment, random.Random(planned.seed)
            )
        )
    gevent.joinall(tasks, timeout=_FAULT_JOIN_TIMEOUT_S, raise_error=True)
    environment.fleet.clear_faults()
