"""Tests of nodes that reach the store while most nodes of a region do not."""

import gevent
import pytest

from wigeonrouter import core
from wigeonrouter import topology
from wigeonrouter.platform import _emulator
from wigeonrouter.platform import conftest

# Time within which an accepted change must be in force.
CONFIG_APPLY_S = 2.5
# Enough nodes for a region in which not all of them check the store.
_HOSTS = tuple(f"127.0.0.{number}" for number in range(41, 62))


@pytest.fixture
def dozens(store, make_settings, start_node, free_port):
    """Run the nodes of a region of dozens, and wait until they have a hub.

    Returns the pair of a dict from host to node, in the order of preference
    for the hub, and a dict from host to the StoreAddress that it uses.
    """
    addresses = {host: _emulator.StoreAddress(store=store) for host in _HOSTS}
    port = free_port()
    nodes = {
        host: start_node(
            make_settings(
                f"node-{host}",
                host,
                peer_ports=(port, 0),
                store_address=core.parse_address(addresses[host].address),
            )
        )
        for host in topology.candidate_order("r1", _HOSTS)
    }
    conftest.wait_until(
        lambda: conftest.followers(nodes.values()) == len(nodes) - 1
    )
    yield nodes, addresses
    for address in addresses.values():
        address.stop()


def _add_route(store):
    document = conftest.configuration(2)
    document["routes"]["r-new"] = dict(
        document["routes"]["r-read"], prefix="/new/"
    )
    store.put("op/config", document)


def _is_applied(node):
    caller = conftest.Caller(address=node.settings.caller_address)
    return caller.send("/new/a").status != 404


@pytest.mark.parametrize("fault", ["silent", "resetting"])
def test_node_in_touch_applies_a_change_though_its_region_lost_the_store(
    store, dozens, fault
):
    """Guards against old configuration while others than it look for a hub.

    The hub and all candidates but the last one lose the store, just before a
    change is accepted.
    """
    nodes, addresses = dozens
    *lost, last = nodes
    for host in lost:
        setattr(addresses[host], fault, True)
    if fault == "resetting":
        for host in lost:
            addresses[host].close_connections()
    _add_route(store)
    gevent.sleep(CONFIG_APPLY_S)
    assert _is_applied(nodes[last])


def test_region_that_lost_the_store_gets_one_hub_that_reaches_it(
    store, dozens
):
    """Guards against a region that splits when many followers may lead it.

    The hub and the first candidates after it lose the store.
    """
    nodes, addresses = dozens
    hosts = tuple(nodes)
    hosts_in_touch = hosts[9:]
    for host in hosts[:9]:
        addresses[host].silent = True
    _add_route(store)
    hubs = []

    def find_hubs():
        hubs.append(
            {node.settings.host for node in conftest.hubs(nodes.values())}
        )
        return hubs[-1]

    conftest.wait_until(
        lambda: (
            find_hubs() & set(hosts_in_touch)
            and conftest.followers(nodes.values()) == len(nodes) - 1
        )
    )
    assert max(len(found) for found in hubs) <= 2
    conftest.wait_until(
        lambda: all(_is_applied(node) for node in nodes.values())
    )
