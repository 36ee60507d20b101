"""Plays one seeded run: a fleet, its callers, and a plan of troubles."""

import dataclasses
import os
import random
import time

import gevent

from wigeonrouter import core
from wigeonrouter.soak import _callers
from wigeonrouter.soak import _checks
from wigeonrouter.soak import _fleet
from wigeonrouter.soak import _records
from wigeonrouter.soak import _scene
from wigeonrouter.soak import _troubles

_START_S = 3.0
# The last troubles have to be over before the end is looked at.
_CALM_S = _checks.RECOVERY_S + 3.0
_TROUBLE_S = 8.0
# Ports below those that the system takes for outgoing connections.
_PORTS = (10_000, 30_000)
_NODES_PER_SERVER = 6
_SERIES = (1, 1, 1, 2, 4)
_GAP_S = (0.2, 2.0)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Size:
    """How large a run is.

    Attributes:
      seconds: time in which troubles begin.
      servers: least number of backend servers of a service in a failure
        domain; there are more of them where there are many nodes.
      pause: mean seconds between two troubles.
    """

    nodes: int = 6
    callers: int = 24
    servers: int = 3
    seconds: float = 15.0
    pause: float = 1.2


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Planned:
    """A trouble that begins some seconds after the start."""

    at: float
    kind: str
    seed: int


def make_plan(seed, size):
    """Return the tuple of Planned that a seed stands for."""
    rng = random.Random(seed)
    kinds = sorted(_troubles.kinds())
    plan = []
    at = 0.0
    while True:
        at += rng.expovariate(1 / size.pause)
        if at > size.seconds:
            return tuple(plan)
        kind = rng.choice(kinds)
        later = at
        for _ in range(rng.choice(_SERIES)):
            plan.append(
                Planned(at=later, kind=kind, seed=rng.randrange(1 << 30))
            )
            later += rng.uniform(*_GAP_S)


def play(seed, size, directory):
    """Play a seed.

    Returns:
      A pair: Observations, list of Violation.
    """
    rng = random.Random(seed)
    seen = _records.Observations()
    scene = _scene.Scene(
        servers_per_domain=max(size.servers, size.nodes // _NODES_PER_SERVER),
        seen=seen,
        rng=random.Random(seed),
    )
    scene.sender = _callers.Sender(
        routes=scene.routes, seen=seen, rng=random.Random(seed)
    )
    scene.fleet = _make_fleet(scene, size, directory)
    tasks = []
    try:
        scene.fleet.start()
        gevent.sleep(_START_S)
        tasks = _start_callers(scene, size, rng)
        tasks.append(gevent.spawn(scene.watch_configuration))
        _cause(scene, make_plan(seed, size))
        seen.calm_from = time.monotonic()
        gevent.sleep(_CALM_S)
    finally:
        gevent.killall(tasks)
        # What ends with the run says nothing.
        seen.troubles.append(
            _records.Trouble(
                name="", began=time.monotonic(), ended=float("inf")
            )
        )
        scene.fleet.stop()
        scene.collect()
        scene.stop()
    return seen, _checks.find_violations(seen)


def _make_fleet(scene, size, directory):
    chosen = random.Random(os.getpid())
    base = chosen.randrange(*_PORTS, 1000)
    port = int(scene.store.address.partition(":")[2])
    return _fleet.Fleet(
        domains=_scene.DOMAINS,
        size=size.nodes,
        prefix=f"127.{10 + os.getpid() % 200}",
        ports=_fleet.Ports(
            caller=base,
            readiness=base + 1,
            directory=base + 2,
            control=base + 3,
            first_peer=base + 10,
        ),
        store_address=core.Address(host="127.0.0.1", port=port),
        directory=directory,
        seen=scene.seen,
    )


def _start_callers(scene, size, rng):
    domains = sorted(_scene.DOMAINS)
    return [
        gevent.spawn(
            _callers.Caller(
                fleet=scene.fleet,
                place=_scene.place_of(domains[index % len(domains)]),
                host=_scene.HOST,
                sender=scene.sender,
                rng=random.Random(rng.randrange(1 << 30)),
            ).run
        )
        for index in range(size.callers)
    ]


def _cause(scene, plan):
    """Cause all planned troubles and wait until they are over."""
    kinds = _troubles.kinds()
    began = time.monotonic()
    tasks = []
    for planned in sorted(plan, key=lambda planned: planned.at):
        gevent.sleep(max(0.0, began + planned.at - time.monotonic()))
        tasks.append(
            gevent.spawn(
                kinds[planned.kind], scene, random.Random(planned.seed)
            )
        )
    gevent.joinall(tasks, timeout=_TROUBLE_S, raise_error=True)
    scene.fleet.heal()
