"""Tests of how the descriptors of a process are divided."""

import pytest

from wigeonrouter import placement


@pytest.mark.parametrize("descriptors", [150, 1_024, 4_096, 20_000])
def test_accepted_connections_leave_descriptors_for_servers(descriptors):
    """Guards against callers that shut the node off from its servers."""
    limits = placement.connection_limits(descriptors)
    accepted = (
        limits.callers
        + limits.forwarded
        + limits.directory
        + 2 * limits.auxiliary
    )
    assert descriptors - accepted >= 0.3 * descriptors


def test_callers_are_limited_where_descriptors_are_not():
    """Guards against connections that use up the memory."""
    assert placement.connection_limits(1 << 30).callers == 3_000


def test_each_kind_of_connection_has_a_descriptor():
    """Guards against a node that accepts no connection at all."""
    limits = placement.connection_limits(4)
    assert min(limits.callers, limits.directory, limits.auxiliary) == 1
