"""Evacuations of failure domains during a soak run.

They are drawn apart from the plan of faults, so that a seed keeps its plan.
"""

import collections
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

# Arrivals of this time tell which failure domain is the busiest.
_BUSY_PERIOD_S = 1.0


def evacuate_domains(environment, rng):
    """Evacuate one failure domain at a time, until killed."""
    while True:
        gevent.sleep(rng.uniform(*_GAP_S))
        with _evacuating(
            environment, rng.choice(sorted(_environment.DOMAINS))
        ):
            gevent.sleep(rng.uniform(*_DURATION_S))


def evacuate_in_recovery(environment):
    """Evacuate a failure domain while no fault acts, until killed.

    It is the busiest one. Nodes prefer near servers, so that others may get
    no request even without an evacuation.
    """
    gevent.sleep(_RECOVERY_DELAY_S)
    with _evacuating(environment, _find_busiest_domain(environment)):
        while True:
            gevent.sleep(1.0)


def _find_busiest_domain(environment):
    """Return the failure domain whose servers got the most requests."""
    counts = collections.Counter()
    earliest = time.monotonic() - _BUSY_PERIOD_S
    for backend in environment.never_still:
        counts[backend.domain] += sum(
            at > earliest for at, _ in backend.server.arrivals
        )
    return max(sorted(_environment.DOMAINS), key=counts.__getitem__)


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
