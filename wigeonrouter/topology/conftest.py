"""Shared parts of the tests of regions."""

from wigeonrouter import topology


def peer(host, *, ready=True, capacity=1000):
    """Return a topology.Peer."""
    return topology.Peer(
        host=host,
        caller_address=f"{host}:80",
        failure_domain="za",
        ready=ready,
        capacity=capacity,
    )
