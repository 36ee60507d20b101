"""Backend servers that write surplus responses during a soak run.

Which servers do so, and when, is drawn apart from the plan of faults, so that
a seed keeps its plan. The protocol allows it, so it excuses no violation.
"""

import random

import gevent

from wigeonrouter.platform import _emulator

_DURATION_S = (1.0, 5.0)
_GAP_S = (0.1, 1.0)
# Shares of the active servers that write surplus responses at the same time.
_SHARES = (0.3, 1.0)
# A copy of another request's response costs the connection, which limits the
# number of connections that carry a request twice.
_PROBABILITIES = {
    _emulator.SurplusMoment.AT_ONCE: 0.02,
    _emulator.SurplusMoment.IDLE: 0.02,
    _emulator.SurplusMoment.NEXT_REQUEST: 0.02,
    _emulator.SurplusMoment.SAME_REQUEST: 0.8,
}


def make_option(rng):
    """Return the option of a server that writes surplus responses."""
    return _emulator.SurplusResponses(
        probabilities=_PROBABILITIES,
        rng=random.Random(rng.randrange(1 << 30)),
    )


def write_surplus_responses(environment, rng):
    """Let some servers copy their responses, again and again until killed."""
    while True:
        gevent.sleep(rng.uniform(*_GAP_S))
        active = environment.active
        count = max(1, round(len(active) * rng.choice(_SHARES)))
        writers = [b.server.surplus for b in rng.sample(active, count)]
        try:
            for writer in writers:
                writer.option = make_option(rng)
            gevent.sleep(rng.uniform(*_DURATION_S))
        finally:
            for writer in writers:
                writer.option = None
