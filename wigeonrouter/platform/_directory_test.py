"""Tests of the nodes that the directory names while nodes are killed."""

import time

import gevent
import pytest

from wigeonrouter.platform import conftest

wait_until = conftest.wait_until
# Time within which a node that was killed must no longer be named.
_FORGET_S = 7.0
# Time for which it must not be named again, longer than a hub change takes.
_WATCH_S = 3.0


def _entries(nodes):
    """Return the bodies of the directory responses of some nodes."""
    path = f"/api/resolve?name={conftest.HOST}&region=r1"
    return [
        conftest.Caller(address=node.settings.directory_address)
        .send(path)
        .body.decode()
        for node in nodes
    ]


@pytest.mark.parametrize("killed", ["home", "hub"])
def test_node_that_was_killed_is_not_named_again(region, killed):
    """Guards against callers that are sent to a node that is gone.

    Its hub detects that it is gone, or the nodes have to find a new hub.
    """
    (lost,) = (
        conftest.hubs(region)
        if killed == "hub"
        else [conftest.home_of(region)]
    )
    others = [node for node in region if node is not lost]
    address = str(lost.settings.caller_address)
    lost.kill()
    wait_until(
        lambda: not any(address in body for body in _entries(others)),
        timeout=_FORGET_S,
    )
    end = time.monotonic() + _WATCH_S
    while time.monotonic() < end:
        bodies = _entries(others)
        assert not any(address in body for body in bodies)
        assert all('"addresses": ["' in body for body in bodies)
        gevent.sleep(0.05)
