"""Tests of the part of a region that a hub takes itself to serve."""

from wigeonrouter import tenancy

_HOSTS = tuple(f"192.0.2.{number}" for number in range(4))
_ALL = dict.fromkeys(_HOSTS, True)
_SIDE = dict.fromkeys(_HOSTS[:2], True)


def test_nodes_that_were_present_for_long_may_be_partitioned():
    """Guards against two sides that both take themselves for the region.

    The nodes of a region are observed only when they change.
    """
    presence = tenancy.NodePresence()
    presence.observe(_ALL, 0.0)
    assert presence.fraction(_HOSTS, 100.0) == 1.0
    presence.observe(_SIDE, 100.0)
    assert presence.fraction(_SIDE, 100.0) == 0.5
    assert presence.fraction(_SIDE, 129.0) == 0.5


def test_dead_nodes_are_forgotten_without_a_further_change():
    """Guards against a region that keeps to the reserve for good."""
    presence = tenancy.NodePresence()
    presence.observe(_ALL, 0.0)
    presence.observe(_SIDE, 100.0)
    assert presence.fraction(_SIDE, 131.5) == 1.0


def test_nodes_that_stop_in_order_do_not_count():
    """Guards against nodes without a majority after a planned stop."""
    presence = tenancy.NodePresence()
    presence.observe(_ALL, 0.0)
    presence.observe(_ALL | {_HOSTS[3]: False}, 100.0)
    presence.observe(dict.fromkeys(_HOSTS[:3], True), 101.0)
    assert presence.fraction(_HOSTS[:3], 101.0) == 1.0
