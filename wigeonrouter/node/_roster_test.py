"""Tests of what a node tells the others of its region about itself."""

import pytest

from wigeonrouter import core
from wigeonrouter import topology
from wigeonrouter.node import _roster
from wigeonrouter.schema import node_pb2


@pytest.fixture
def settings():
    """Return topology.NodeSettings."""
    return topology.NodeSettings(
        name="node-1",
        place=core.Place(region="r1", failure_domain="za"),
        host="192.0.2.1",
        caller_address=core.Address(host="192.0.2.1", port=80),
        readiness_address=None,
        directory_address=None,
        control_address=None,
        store_address=core.Address(host="192.0.2.9", port=80),
        peer_ports=(7540, 7555),
        seeds=(),
        capacity=500,
        memory_bytes=1,
        regions={},
        heartbeat=1.0,
        bounds=topology.Bounds(),
    )


def test_peers_get_what_a_node_tells(settings):
    """Guards against facts that are lost between two nodes."""
    facts = _roster.NodeFacts(
        ready=True,
        cut_from_servers=True,
        forwarding_address="192.0.2.1:7555",
        rate_limits={"i-1": 1.5, "i-2": None},
        statements=(
            core.ServerStatement(
                instance="i-3",
                started_ms=1_700_000_000_000,
                leaving=True,
                pause=2.5,
                number=7,
            ),
        ),
    )
    state = _roster.own_state(settings=settings, facts=facts)
    (peer,) = _roster.to_peers({state.host: state})
    assert peer.ready and not peer.reaches_servers
    assert peer.forwarding_address == facts.forwarding_address
    assert peer.rate_limits == facts.rate_limits
    assert peer.statements == facts.statements


def test_node_of_an_earlier_build_takes_no_requests():
    """Guards against fields whose absence means something else."""
    state = node_pb2.NodeState(host="192.0.2.2", ready=True)
    (peer,) = _roster.to_peers({state.host: state})
    assert peer.reaches_servers
    assert not peer.forwarding_address and not peer.statements
