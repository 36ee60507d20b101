"""Tests of several nodes of a region, on different loopback addresses."""

import gevent
from gevent import event
import pytest

from wigeonrouter import core
from wigeonrouter import topology
from wigeonrouter.node import _channel
from wigeonrouter.node import _hub_search
from wigeonrouter.platform import _emulator
from wigeonrouter.platform import conftest

callers_of = conftest.callers_of
hubs = conftest.hubs
start_ready = conftest.start_ready
wait_until = conftest.wait_until
# Maximum time until a changed configuration is in force.
_CONFIG_APPLY_S = 2.5
_RETRY_RATIO = 0.2
_HOSTS = tuple(f"127.0.0.{number}" for number in range(21, 26))
# More hosts than a node asks for the hub at first.
_REGISTERED_HOSTS = [f"127.0.0.{number}" for number in range(100, 112)]


def add_route(store, version):
    """Write a configuration version that adds the route /new/."""
    document = conftest.configuration(version)
    document["routes"]["r-new"] = dict(
        document["routes"]["r-read"], prefix="/new/"
    )
    store.put("op/config", document)


def test_change_reaches_all_nodes_through_the_hub(store, backend, region):
    """Guards against followers that miss changes, which only the hub reads."""
    backend("i-1")
    wait_until(lambda: all(node.servers == {"i-1"} for node in region))
    add_route(store, 2)
    for caller in callers_of(region):
        wait_until(
            lambda caller=caller: caller.send("/new/a").status == 200,
            timeout=_CONFIG_APPLY_S,
        )


def test_node_that_starts_follows_a_change_that_its_listing_lacks(
    store, backend, region, make_settings, start_node
):
    """Guards against a node that keeps an old version after its start.

    The page with the configuration is from before a change, and the next one
    has a newer server.
    """
    store.page_items = 1
    store.old_pages = 1
    store.old_reads = True
    add_route(store, 2)
    backend("i-1")
    wait_until(lambda: all(node.servers == {"i-1"} for node in region))
    started = start_node(
        make_settings(
            "node-4", "127.0.0.14", peer_ports=region[0].settings.peer_ports
        )
    )
    (caller,) = callers_of([started])
    wait_until(
        lambda: caller.send("/new/a").status == 200, timeout=_CONFIG_APPLY_S
    )


def test_only_the_hub_calls_the_store(store, region):
    """Guards against store calls that grow with the number of nodes."""
    gevent.sleep(0.5)
    before = store.calls
    gevent.sleep(2.0)
    assert store.calls - before <= 3


def test_change_reaches_all_nodes_after_the_hub_was_killed(
    store, backend, region
):
    """Guards against a region that keeps waiting for a dead hub."""
    backend("i-1")
    wait_until(lambda: all(node.servers == {"i-1"} for node in region))
    (hub,) = hubs(region)
    hub.kill()
    add_route(store, 2)
    remaining_nodes = [node for node in region if node is not hub]
    for caller in callers_of(remaining_nodes):
        wait_until(
            lambda caller=caller: caller.send("/new/a").status == 200,
            timeout=_CONFIG_APPLY_S,
        )
    assert len(hubs(remaining_nodes)) == 1


class _SilenceableSocket:
    """Socket of a node whose connection can go silent for good."""

    def __init__(self, sock):
        self._sock = sock
        self.silent = False

    def __getattr__(self, name):
        return getattr(self._sock, name)

    def sendall(self, data):
        if not self.silent:
            self._sock.sendall(data)

    def recv(self, count):
        data = self._sock.recv(count)
        if self.silent:
            event.Event().wait()
        return data


@pytest.fixture
def node_connections(monkeypatch):
    """Return a list of the _SilenceableSockets that nodes open to others."""
    connections = []
    connect = _channel.connect

    def connect_silenceable(**options):
        channel = connect(**options)
        channel._sock = _SilenceableSocket(channel._sock)
        connections.append(channel._sock)
        return channel

    monkeypatch.setattr(_channel, "connect", connect_silenceable)
    return connections


def test_changes_reach_nodes_whose_connections_went_silent(
    node_connections, store, backend, region
):
    """Guards against nodes that wait for a hub which they no longer hear.

    All open connections between nodes transfer nothing from now on, and none
    of them is closed; new ones work.
    """
    servers = start_ready(backend, region[0], "i-1", "i-2")
    for connection in node_connections:
        connection.silent = True
    add_route(store, 2)
    store.put("servers/i-1", servers[0].registration(state="draining"))
    gevent.sleep(_CONFIG_APPLY_S)
    sent_before = len(servers[0].arrivals)
    for caller in callers_of(region):
        for _ in range(5):
            assert caller.send("/new/a").status == 200
    assert len(servers[0].arrivals) == sent_before


def test_all_nodes_return_the_same_home(region):
    """Guards against nodes that send a service's callers to different homes.

    Each home would then queue and balance a part of the requests only.
    """
    responses = {
        conftest.Caller(address=node.settings.directory_address)
        .send(f"/api/resolve?name={conftest.HOST}&region=r1")
        .body
        for node in region
    }
    assert len(responses) == 1


def test_stopping_node_is_removed_from_the_directory(region):
    """Guards against sending callers to a node that is stopping."""
    directory = conftest.Caller(address=region[0].settings.directory_address)
    query = f"/api/resolve?name={conftest.HOST}&region=r1"
    home = directory.send(query).body
    stopping_node = conftest.home_of(region)
    task = gevent.spawn(stopping_node.stop)
    other_node = next(node for node in region if node is not stopping_node)
    directory = conftest.Caller(address=other_node.settings.directory_address)
    wait_until(lambda: directory.send(query).body != home, timeout=1.0)
    task.join()


def test_end_of_a_follower_is_not_logged_as_a_lost_hub(region):
    """Guards against a log in which each node that stops loses its hub."""
    (hub,) = hubs(region)
    follower = next(node for node in region if node is not hub)
    follower.stop()
    assert follower.counts["stopped"] == 1
    assert follower.counts["hub-lost"] == 0


def test_retries_of_all_nodes_stay_within_one_budget(backend, region):
    """Guards against a retry budget that every node may spend in full.

    All servers of a service fail every request, and callers use every node.
    """
    servers = [backend(f"i-{number}") for number in range(4)]
    wait_until(lambda: all(len(node.servers) == 4 for node in region))
    for server in servers:
        server.fault = "errors"
    sent = 0
    for _ in range(20):
        for caller in callers_of(region):
            caller.send("/read/a", request_id=f"r-{sent}")
            sent += 1
    arrivals = sum(len(server.arrivals) for server in servers)
    assert arrivals - sent <= _RETRY_RATIO * sent + len(region)
    assert arrivals > sent


@pytest.fixture
def large_region(monkeypatch, store, make_settings, start_node, free_port):
    """Run five nodes that find each other as in a region of dozens.

    Returns the pair of the nodes and a dict from host to the StoreAddress
    that the node uses. Only the last candidate for the hub checks the store
    itself, and a node asks only the first candidate for its role.
    """
    order = topology.candidate_order("r1", _HOSTS)
    monkeypatch.setattr(_hub_search, "_FIRST_QUERIED_HOSTS", 1)
    monkeypatch.setattr(
        topology,
        "should_check_store",
        lambda *, own_host, candidates, rng: own_host == order[-1],
    )
    addresses = {host: _emulator.StoreAddress(store=store) for host in _HOSTS}
    port = free_port()
    nodes = []
    for host in order:
        nodes.append(
            start_node(
                make_settings(
                    f"node-{host}",
                    host,
                    peer_ports=(port, 0),
                    store_address=core.parse_address(addresses[host].address),
                )
            )
        )
        wait_until(lambda: len(hubs(nodes)) == 1)
    wait_until(lambda: conftest.followers(nodes) == len(nodes) - 1)
    yield nodes, addresses
    for address in addresses.values():
        address.stop()


def test_nodes_find_a_new_hub_that_none_of_the_first_candidates_knows(
    store, large_region
):
    """Guards against nodes that learn a change late because of their hub.

    The hub of a large region is cut off from the store, and the one node that
    notices becomes the new hub. The others ask just some nodes for it.
    """
    nodes, addresses = large_region
    (hub,) = hubs(nodes)
    addresses[hub.settings.host].resetting = True
    wait_until(lambda: not hub.region_member.role.store_reachable)
    add_route(store, 2)
    for caller in callers_of(nodes):
        wait_until(
            lambda caller=caller: caller.send("/new/a").status != 404,
            timeout=_CONFIG_APPLY_S,
        )


def test_node_finds_the_hub_behind_removed_nodes(
    store, make_settings, start_node, free_port
):
    """Guards against a second hub in a region whose nodes were replaced.

    Nodes that were removed stay registered, and come first in the order in
    which nodes are asked for the hub.
    """
    *removed, hub_host, other_host = topology.candidate_order(
        "r1", _REGISTERED_HOSTS
    )
    port = free_port()
    hub = start_node(make_settings("node-1", hub_host, peer_ports=(port, 0)))
    wait_until(lambda: hubs([hub]))
    for host in removed:
        store.put(f"wigeonrouter/nodes/r1/{host}", {})
    other = start_node(
        make_settings("node-2", other_host, peer_ports=(port, 0))
    )
    gevent.sleep(4.0)
    assert hubs([hub, other]) == [hub]
