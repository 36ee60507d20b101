"""Tests of nodes whose links to the store are slow for what they transfer."""

import gevent
import pytest

from wigeonrouter.platform import conftest

wait_until = conftest.wait_until
_BYTES_PER_MEGABIT = 125_000
# Maximum time until a changed configuration is in force.
_CONFIG_APPLY_S = 2.5
# A node is ready this long after its start at the latest.
_START_S = 10.0
# Sizes of a configuration.
_LARGE_BYTES = 800_000
_MEDIUM_BYTES = 450_000
_STORM_INTERVAL_S = 0.33
_STORM_VERSIONS = 12


def _large_configuration(version, size, **routes):
    """Return a configuration with a field that nodes pass over."""
    return conftest.configuration(version, routes=routes, notes="x" * size)


def _new_route():
    route = conftest.configuration()["routes"]["r-read"]
    return {"r-new": dict(route, prefix="/new/")}


@pytest.mark.parametrize("megabits", [10, 5])
def test_node_starts_with_a_large_configuration_over_a_slow_link(
    store, backend, make_settings, start_node, megabits
):
    """Guards against nodes that never start again after all were killed."""
    store.put("op/config", _large_configuration(2, _LARGE_BYTES))
    backend("i-1")
    store.bytes_per_s = megabits * _BYTES_PER_MEGABIT
    node = start_node(make_settings(), wait=False)
    wait_until(lambda: node.ready and node.servers, timeout=_START_S)
    caller = conftest.Caller(address=node.settings.caller_address)
    assert caller.send("/read/a").status == 200


def test_changes_in_quick_succession_over_a_slow_link_are_in_force_in_time(
    store, backend, node, caller
):
    """Guards against nodes that ask for the same versions again and again."""
    conftest.start_ready(backend, node, "i-1", "i-2")
    store.bytes_per_s = 10 * _BYTES_PER_MEGABIT
    for version in range(2, 2 + _STORM_VERSIONS):
        store.put("op/config", _large_configuration(version, _MEDIUM_BYTES))
        gevent.sleep(_STORM_INTERVAL_S)
    last = _large_configuration(99, _MEDIUM_BYTES, **_new_route())
    store.put("op/config", last)
    wait_until(
        lambda: caller.send("/new/a").status == 200, timeout=_CONFIG_APPLY_S
    )
