"""Tenants of a soak run and their callers, which send API keys.

Their requests are drawn apart from those of the other callers, which use
public routes, so that a seed keeps its plan.
"""

import random

import gevent

from wigeonrouter import topology
from wigeonrouter.soak import _callers
from wigeonrouter.soak import _environment
from wigeonrouter.soak import _records

ROUTES = (
    _environment.make_route("order", True, _environment.SERVICES[0]),
    _environment.make_route("refund", False, _environment.SERVICES[1]),
)
# Stays below its limit.
_STEADY = topology.Tenant(
    name="acme", api_keys=("soak-acme-1", "soak-acme-2"), rate=30.0, burst=10.0
)
# At times sends several times its limit.
_BURSTY = topology.Tenant(
    name="bolt", api_keys=("soak-bolt-1",), rate=6.0, burst=6.0
)
_UNLIMITED = topology.Tenant(name="cove", api_keys=("soak-cove-1",))
TENANTS = {tenant.name: tenant for tenant in (_STEADY, _BURSTY, _UNLIMITED)}
_UNKNOWN_KEY = "soak-unknown-1"
# Failure domains of the callers of tenants: one in each region.
_DOMAINS = ("za", "zc")
_BURSTY_CALLERS = 6
_BURST_S = (3.0, 7.0)
_GAP_S = (0.5, 4.0)


def start_callers(environment, rng):
    """Start all callers that send keys; return the list of their greenlets."""
    environment.observations.refused_tenants.update(
        (_BURSTY.name, _records.UNKNOWN_TENANT)
    )
    senders = [
        _make_sender(environment, rng, f"k{number}", tenant, key)
        for number, (tenant, key) in enumerate(
            [
                *((_STEADY.name, key) for key in _STEADY.api_keys),
                (_UNLIMITED.name, _UNLIMITED.api_keys[0]),
                (_records.UNKNOWN_TENANT, _UNKNOWN_KEY),
            ]
        )
    ]
    tasks = [
        _start_caller(environment, rng, sender, index)
        for index, sender in enumerate(senders)
    ]
    tasks.append(gevent.spawn(_send_bursts, environment, rng))
    return tasks


def _send_bursts(environment, rng):
    """Exceed the limit of a tenant, again and again until killed."""
    sender = _make_sender(
        environment, rng, "b", _BURSTY.name, _BURSTY.api_keys[0]
    )
    while True:
        callers = [
            _start_caller(environment, rng, sender, index)
            for index in range(_BURSTY_CALLERS)
        ]
        try:
            gevent.sleep(rng.uniform(*_BURST_S))
        finally:
            gevent.killall(callers)
        gevent.sleep(rng.uniform(*_GAP_S))


def _make_sender(environment, rng, prefix, tenant, key):
    """Return a Sender whose requests also claim to be of another tenant."""
    claimed = _STEADY.name if tenant != _STEADY.name else _UNLIMITED.name
    return _callers.Sender(
        routes=lambda: ROUTES,
        observations=environment.observations,
        rng=random.Random(rng.randrange(1 << 30)),
        prefix=prefix,
        credentials=_callers.Credentials(
            tenant=tenant,
            header_lines=(f"Key: {key}", f"Tenant: {claimed}"),
        ),
    )


def _start_caller(environment, rng, sender, index):
    return gevent.spawn(
        _callers.Caller(
            fleet=environment.fleet,
            place=_environment.get_place(_DOMAINS[index % len(_DOMAINS)]),
            host=_environment.HOST,
            sender=sender,
            rng=random.Random(rng.randrange(1 << 30)),
        ).run
    )
