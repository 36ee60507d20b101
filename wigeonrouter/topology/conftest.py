"""Shared parts of the tests of regions."""

from wigeonrouter import topology


def peer(host, **changes):
    """Return a topology.Peer that is ready and takes requests of others."""
    return topology.Peer(
        **{
            "host": host,
            "caller_address": f"{host}:80",
            "failure_domain": "za",
            "ready": True,
            "capacity": 1000,
            "forwarding_address": f"{host}:81",
        }
        | changes
    )
