"""Tests of which nodes are asked for the hub of their region."""

import pytest

from wigeonrouter import core
from wigeonrouter import topology
from wigeonrouter.node import _hub_search
from wigeonrouter.node import _peer_requests

_HOSTS = frozenset(f"10.0.0.{number}" for number in range(100))
_OWN_HOST = "10.0.0.0"
_ORDER = [
    host
    for host in topology.candidate_order("north", _HOSTS)
    if host != _OWN_HOST
]


class _ClusterState:
    """ClusterState that knows the hosts of one region."""

    def hosts(self, region):
        return _HOSTS


class _Peers:
    """The other nodes of a region.

    Attributes:
      alive: hosts that reply.
      queries: lists of hosts that were asked at a time.
    """

    def __init__(self):
        self.alive = set()
        self.queries = []

    def query_roles(self, hosts, *, port):
        self.queries.append(list(hosts))
        role = topology.Role(kind=topology.RoleKind.UNDECIDED)
        return {host: role for host in hosts if host in self.alive}


@pytest.fixture
def peers(monkeypatch):
    """Return the other nodes of the region."""
    peers = _Peers()
    monkeypatch.setattr(_peer_requests, "query_roles", peers.query_roles)
    return peers


@pytest.fixture
def now():
    """Return a list with the time, seconds."""
    return [100.0]


@pytest.fixture
def search(now):
    """Return the HubSearch of the node with _OWN_HOST."""
    settings = topology.NodeSettings(
        name="node-1",
        place=core.Place(region="north", failure_domain="north-a"),
        host=_OWN_HOST,
        caller_address=None,
        readiness_address=None,
        directory_address=None,
        control_address=None,
        store_address=core.Address(host="127.0.0.1", port=1),
        peer_ports=(1, 2),
        seeds=(),
        capacity=1000,
        memory_bytes=200_000_000,
        regions={"north-a": "north"},
        heartbeat=1.5,
        bounds=topology.Bounds(),
    )
    return _hub_search.HubSearch(
        settings=settings, cluster_state=_ClusterState(), clock=lambda: now[0]
    )


def test_few_nodes_are_asked_while_they_reply(peers, search):
    """Guards against questions from each node to each other one."""
    peers.alive = set(_HOSTS)
    assert len(search.query_roles()) == 6
    assert peers.queries == [_ORDER[:6]]


def test_more_nodes_are_asked_while_none_replies(peers, search):
    """Guards against a second hub, as removed nodes hide the first one."""
    peers.alive = {_ORDER[-1]}
    assert set(search.query_roles()) == {_ORDER[-1]}
    assert [len(hosts) for hosts in peers.queries] == [6, 24, 69]


def test_nodes_that_did_not_reply_are_asked_last(peers, search):
    """Guards against asking removed nodes again each time."""
    peers.alive = {_ORDER[-1]}
    search.query_roles()
    peers.queries.clear()
    assert set(search.query_roles()) == {_ORDER[-1]}
    assert len(peers.queries) == 1


def test_nodes_that_did_not_reply_once_are_asked_first_again(
    peers, search, now
):
    """Guards against forgetting a node that was paused."""
    peers.alive = set(_ORDER[1:])
    search.query_roles()
    now[0] += 11.0
    peers.queries.clear()
    search.query_roles()
    assert peers.queries[0] == _ORDER[:6]
