"""Backend servers that name rate limits during a soak run.

Limits are drawn apart from the plan of faults, so that a seed keeps its plan.
"""

import time

import gevent

from wigeonrouter.soak import _records

_LIMIT_PER_S = (0.3, 3.0)
_DURATION_S = (4.0, 9.0)
_GAP_S = (0.5, 3.0)
# Shares of the active servers that name a limit at the same time.
SHARES = (0.1, 0.3, 1.0)
# During recovery nearly all requests have to be served.
SHARES_IN_RECOVERY = (0.1,)


def name_limits(environment, rng, shares):
    """Let some servers name limits, again and again until it is killed.

    Args:
      shares: shares of the active servers to choose from.
    """
    while True:
        gevent.sleep(rng.uniform(*_GAP_S))
        active = environment.never_still
        count = max(1, round(len(active) * rng.choice(shares)))
        backends = rng.sample(active, count)
        limit = rng.uniform(*_LIMIT_PER_S)
        in_probes = rng.choice((False, True))
        began = time.monotonic()
        try:
            for backend in backends:
                backend.server.names_limit_in_probes = in_probes
                backend.server.rate_limit = limit
            gevent.sleep(rng.uniform(*_DURATION_S))
        finally:
            for backend in backends:
                backend.server.rate_limit = None
            environment.observations.limit_periods.extend(
                _records.LimitPeriod(
                    instance=backend.instance,
                    per_second=limit,
                    began=began,
                    ended=time.monotonic(),
                )
                for backend in backends
            )
