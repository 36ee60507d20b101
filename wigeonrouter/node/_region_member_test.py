"""Tests of how a hub of a region deals with a second one."""

import dataclasses
import random

import gevent
import pytest

from wigeonrouter import core
from wigeonrouter import store as store_api
from wigeonrouter import topology
from wigeonrouter.bench import _ports
from wigeonrouter.node import _cluster_state
from wigeonrouter.node import _peer_requests
from wigeonrouter.node import _region_member
from wigeonrouter.node import _roster
from wigeonrouter.node import conftest

OWN_HOST = "127.0.0.1"
_HOSTS = (OWN_HOST, "127.0.0.2", "127.0.0.3")
_POSITION = store_api.Position(era=1, revision=7)
WAIT_S = 5.0


class _ScriptedFeed:
    """Feed of a store that lists the nodes of the region, and has no news."""

    def list(self, *, stale=False):
        return store_api.Listing(items=(), position=_POSITION)

    def watch(self, *, revision, wait):
        gevent.sleep(min(wait, 0.1))
        return store_api.Events(changes=(), position=_POSITION)

    def check(self):
        pass

    def register(self, *, region, host):
        pass

    def decode(self, items, *, scope):
        nodes = [
            topology.NodeWritten(region="north", host=host) for host in _HOSTS
        ]
        return topology.StoreContent(records=tuple(nodes), scope=scope)

    def close(self):
        pass


def _hub_role(host):
    return topology.Role(
        kind=topology.RoleKind.HUB, hub=host, store_reachable=True
    )


@pytest.fixture
def settings():
    """Return the settings of the node."""
    return topology.NodeSettings(
        name="node-1",
        place=core.Place(region="north", failure_domain="north-a"),
        host=OWN_HOST,
        caller_address=core.Address(host=OWN_HOST, port=80),
        readiness_address=None,
        directory_address=None,
        control_address=None,
        store_address=core.Address(host="192.0.2.9", port=80),
        peer_ports=(_ports.free_ports(1)[0], 0),
        seeds=(),
        capacity=1000,
        memory_bytes=200_000_000,
        regions={"north-a": "north"},
        heartbeat=1.5,
        bounds=topology.Bounds(),
    )


@pytest.fixture
def events():
    """Return the event log of the node."""
    return conftest.SilentEvents()


@pytest.fixture
def order(monkeypatch):
    """Return the candidates for the hub; the node is the second of three."""
    hosts = ["127.0.0.2", OWN_HOST, "127.0.0.3"]
    monkeypatch.setattr(
        topology, "candidate_order", lambda region, known: hosts
    )
    return hosts


@pytest.fixture
def known_roles(monkeypatch):
    """Return the dict from host to role that other nodes report."""
    roles = {}
    monkeypatch.setattr(
        _peer_requests, "query_roles", lambda hosts, *, port: dict(roles)
    )
    return roles


@pytest.fixture
def announced(monkeypatch):
    """Return the list of the hosts to which the node announces its role."""
    hosts = []
    monkeypatch.setattr(
        _peer_requests,
        "announce_role",
        lambda host, *, port, role: hosts.append(host),
    )
    return hosts


@pytest.fixture
def hub(order, known_roles, settings, events):
    """Run the RegionMember of a node that has become the hub."""
    member = _region_member.RegionMember(
        settings=settings,
        feed=_ScriptedFeed(),
        cluster_state=_cluster_state.ClusterState(
            events=events, on_change=lambda: None
        ),
        is_ready=lambda: True,
        facts=lambda: _roster.NodeFacts(
            ready=True,
            cut_from_servers=False,
            forwarding_address="",
            rate_limits={},
            statements=(),
        ),
        check_server=lambda instance: 0,
        events=events,
        rng=random.Random(1),
    )
    member.start()
    task = gevent.spawn(member.run)
    _wait_until(lambda: member.is_hub)
    yield member
    task.kill()
    member.kill()


def _wait_until(condition, *, timeout=WAIT_S):
    with gevent.Timeout(timeout):
        while not condition():
            gevent.sleep(0.01)


def test_hub_announces_itself_to_a_later_one_that_others_follow(
    hub, order, known_roles, announced
):
    """Guards against two hubs for good, with two homes of each service.

    The later hub does not hear of this one from the nodes that it asks.
    """
    first, _, later = order
    known_roles[first] = topology.Role(
        kind=topology.RoleKind.FOLLOWER, hub=later, store_reachable=True
    )
    _wait_until(lambda: later in announced)
    assert hub.is_hub


@pytest.mark.parametrize(("index", "steps_down"), [(0, True), (2, False)])
def test_hub_that_reaches_the_store_makes_way_for_an_earlier_one_only(
    hub, order, known_roles, settings, events, index, steps_down
):
    """Guards against two hubs that both stay, or both step down."""
    other = order[index]
    known_roles[other] = _hub_role(other)
    _peer_requests.announce_role(
        OWN_HOST, port=settings.peer_ports[0], role=_hub_role(other)
    )
    gevent.sleep(0.2)
    # It has tried to follow the other one, which does not exist.
    assert ("hub-lost" in events.names) is steps_down


@pytest.mark.parametrize("known_from", ["hub", "follower"])
def test_hub_that_stops_makes_way_for_any_other(hub, known_roles, known_from):
    """Guards against two ledgers that both grant the quota of a region.

    The other hub has started after the stop began.
    """
    hub.leave()
    gevent.sleep(0.1)
    granting = hub.quotas.hub
    assert granting is not None
    role = _hub_role("127.0.0.3")
    if known_from == "follower":
        role = dataclasses.replace(role, kind=topology.RoleKind.FOLLOWER)
    known_roles["127.0.0.2"] = role
    _wait_until(lambda: hub.quotas.hub is not granting, timeout=1.0)
