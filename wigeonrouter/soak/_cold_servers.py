"""Backend servers that start during a soak run and are cold for a while.

They are drawn apart from the plan of faults, so that a seed keeps its plan.
"""

import gevent
from gevent import pool

from wigeonrouter import topology
from wigeonrouter.soak import _environment

SLOW_START = topology.ServiceSettings(
    name="",
    health_path="",
    max_connections=0,
    slow_start=3.0,
    slow_start_rate=4.0,
)
_GAP_S = (0.2, 1.5)
_LIFETIME_S = (4.0, 6.0)


def start_servers(environment, rng):
    """Start a server and drain an earlier one, until killed."""
    drains = pool.Group()
    try:
        while True:
            gevent.sleep(rng.uniform(*_GAP_S))
            backend = environment.add_backend(
                rng.choice(_environment.SERVICES),
                rng.choice(sorted(_environment.DOMAINS)),
            )
            drains.spawn(
                _drain_later, environment, backend, rng.uniform(*_LIFETIME_S)
            )
    finally:
        # The run stops all servers soon.
        drains.kill()


def _drain_later(environment, backend, delay):
    gevent.sleep(delay)
    environment.drain(backend)
