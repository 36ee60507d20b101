"""Evacuations of failure domains during a soak run.

They are drawn apart from the plan of faults, so that a seed keeps its plan.
"""

import contextlib
import time

import gevent

from wigeonrouter.soak import _check_registry
from wigeonrouter.soak import _environment
from wigeonrouter.soak import _records

_GAP_S = (0.5, 3.0)
_DURATION_S = (3.0, 7.0)
# In recovery, the nodes have to be undisturbed when the evacuation begins.
_RECOVERY_DELAY_S = _check_registry.SETTLING_TIME_S + 0.2


def evacuate_domains(environment, rng):
    """Evacuate one failure domain at a time, until killed."""
    while True:
        gevent.sleep(rng.uniform(*_GAP_S))
        with _evacuating(environment, _choose_domain(rng)):
            gevent.sleep(rng.uniform(*_DURATION_S))


def evacuate_in_recovery(environment, rng):
    """Evacuate a failure domain while no fault acts, until killed."""
    gevent.sleep(_RECOVERY_DELAY_S)
    with _evacuating(environment, _choose_domain(rng)):
        while True:
            gevent.sleep(1.0)


def _choose_domain(rng):
    return rng.choice(sorted(_environment.DOMAINS))


@contextlib.contextmanager
def _evacuating(environment, domain):
    environment.evacuate(domain)
    acknowledged = time.monotonic()
    try:
        yield
    finally:
        environment.observations.evacuations.append(
            _records.Evacuation(
                domain=domain,
                acknowledged=acknowledged,
                ended=time.monotonic(),
            )
        )
        environment.take_back(domain)
