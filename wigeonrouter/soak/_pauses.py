"""Backend servers that ask for pauses during a soak run.

Pauses are drawn apart from the plan of faults, so that a seed keeps its plan.
"""

import time

import gevent

from wigeonrouter.soak import _records

_PAUSE_S = (1.0, 3.0)
_DURATION_S = (1.5, 4.0)
_GAP_S = (1.0, 4.0)
# Largest share of the active servers that ask at the same time.
_MAX_SHARE = 0.3


def request_pauses(environment, rng):
    """Let some servers reject all requests, again and again until killed."""
    while True:
        gevent.sleep(rng.uniform(*_GAP_S))
        active = environment.never_still
        count = max(1, round(len(active) * rng.uniform(0.0, _MAX_SHARE)))
        backends = rng.sample(active, count)
        pause = round(rng.uniform(*_PAUSE_S), 3)
        began = time.monotonic()
        try:
            for backend in backends:
                backend.server.pause = pause
                backend.server.resting = True
            gevent.sleep(rng.uniform(*_DURATION_S))
        finally:
            for backend in backends:
                backend.server.resting = False
                backend.server.pause = None
            environment.observations.pause_periods.extend(
                _records.PausePeriod(
                    instance=backend.instance,
                    pause=pause,
                    began=began,
                    ended=time.monotonic(),
                )
                for backend in backends
            )
