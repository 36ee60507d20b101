"""Backend servers that stand still during a soak run.

A server that stands still neither reads nor responds, and its connections stay
open. Only the servers of the callers that keep connections stand still, so
that the checks still have undisturbed servers of the other services.
"""

import time

import gevent

from wigeonrouter.soak import _environment

_INTERVAL_S = 0.1
_MIN_DURATION_S = 0.05
_MAX_DURATION_S = 2.6
# Share of the servers that stand still at the same time.
_SHARE = 2 / 7


def let_servers_stand_still(environment, rng):
    """Let some servers stand still, again and again until it is killed."""
    moving_at = {}
    try:
        while True:
            _end_standstills(moving_at)
            _begin_standstills(environment, rng, moving_at)
            gevent.sleep(_INTERVAL_S)
    finally:
        for backend in moving_at:
            backend.server.standing_still = False


def _end_standstills(moving_at):
    now = time.monotonic()
    for backend, at in list(moving_at.items()):
        if at <= now or backend.draining or backend.removed:
            backend.server.standing_still = False
            del moving_at[backend]


def _begin_standstills(environment, rng, moving_at):
    servers = [
        backend
        for backend in environment.active
        if backend.service == _environment.POOLED_SERVICE
    ]
    moving = [backend for backend in servers if backend not in moving_at]
    missing = round(_SHARE * len(servers)) - len(moving_at)
    for backend in rng.sample(moving, max(0, missing)):
        backend.server.standing_still = True
        moving_at[backend] = time.monotonic() + rng.triangular(
            _MIN_DURATION_S, _MAX_DURATION_S, _MAX_DURATION_S
        )
