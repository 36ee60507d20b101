"""Fixtures: gossiping daemons in one process, without the request path."""

import pytest

from wigeonrouter.bench import _in_process_daemons


def partition(first, second):
    """Drop all calls between two groups of nodes."""
    for node in first:
        node.dropped.update(other.daemon_id for other in second)
    for node in second:
        node.dropped.update(other.daemon_id for other in first)


def heal(nodes):
    """Remove every partition."""
    for node in nodes:
        node.dropped.clear()


@pytest.fixture
def nodes(store_standin):
    """Factory of nodes that share one store stand-in; stops them."""
    nodes = _in_process_daemons.InProcessDaemons(store_standin.port)
    yield nodes
    nodes.stop()
