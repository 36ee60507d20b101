"""Shared fixtures of the tests of a node's parts."""

import random

import gevent
import pytest

from wigeonrouter import core
from wigeonrouter import placement
from wigeonrouter import topology
from wigeonrouter.node import _balancer
from wigeonrouter.node import _server_pool
from wigeonrouter.node import messages

_PLACE = core.Place(region="north", failure_domain="north-a")


class SilentEvents:
    """Event log that keeps the names of its events."""

    def __init__(self):
        self.names = []

    def event(self, name, /, **fields):
        self.names.append(name)

    notice = event


class _IdleProber:
    """Prober of servers that never respond to a probe."""

    def probe(self, targets, *, timeout, deliver):
        gevent.sleep(0)


class SilentLinkMonitor:
    """LinkMonitor of a node whose paths work."""

    def on_response(self):
        pass

    def on_no_response(self, instance):
        pass


class AnsweringProber:
    """Prober that gets the same ProbeResult of every server."""

    def __init__(self, result):
        self._result = result

    def probe(self, targets, *, timeout, deliver):
        for registration, _ in targets:
            deliver(registration.instance, self._result)


@pytest.fixture
def make_server_pool():
    """Return a function that makes a ServerPool without servers."""

    def make(**options):
        return _server_pool.ServerPool(
            **{
                "place": _PLACE,
                "prober": _IdleProber(),
                "link_monitor": SilentLinkMonitor(),
                "events": SilentEvents(),
                "rng": random.Random(1),
                "limit_share": lambda: 1.0,
            }
            | options
        )

    return make


@pytest.fixture
def make_metadata():
    """Return a function that makes a messages.ResponseMetadata."""

    def make(**changes):
        return messages.ResponseMetadata(
            **{
                "request_id": "",
                "instance": "",
                "not_executed": False,
                "misdirected": False,
                "load": None,
            }
            | changes
        )

    return make


@pytest.fixture
def make_known_server():
    """Return a function that makes a topology.KnownServer in the region."""

    def make(instance, **changes):
        registration = topology.Registration(
            **{
                "instance": instance,
                "service": "reads",
                "address": core.Address(host="192.0.2.1", port=80),
                "place": _PLACE,
                "slots": 2,
                "state": topology.RegistrationState.READY,
            }
            | changes
        )
        return topology.KnownServer(registration=registration, learned_at=0.0)

    return make


@pytest.fixture
def route():
    """Return a route whose requests have a target latency of 400 ms."""
    return topology.Route(
        name="reads",
        host="reads.example",
        prefix="/",
        shares=(topology.TrafficShare(service="reads", weight=1),),
        idempotent=True,
        timeout=4.0,
        target_latency=0.4,
        priority=1,
        max_attempts=3,
    )


@pytest.fixture
def make_balancer(make_known_server, make_server_pool):
    """Return a function that makes a Balancer of some servers."""

    def make(*, servers):
        balancer = _balancer.Balancer(
            server_pool=make_server_pool(),
            budget=placement.RetryBudget(ratio=0.2, window=10.0),
            rng=random.Random(1),
        )
        balancer.configure(
            health_path="/health",
            registered=[
                make_known_server(f"server-{number}")
                for number in range(servers)
            ],
        )
        return balancer

    return make
