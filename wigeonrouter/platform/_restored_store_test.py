"""End-to-end tests of nodes whose store is restored from an older copy.

The store loses the latest writes, gives out their revisions again and begins
a new era. Operators and backend servers write again what was lost.
"""

import gevent
import pytest

from wigeonrouter.platform import conftest

start_ready = conftest.start_ready
wait_until = conftest.wait_until
# An accepted configuration is in force within this time.
_CONFIG_APPLY_S = 2.5
# Writes that the restored store has lost.
_LOST_WRITES = 100


def _configuration_with_route(version):
    added = conftest.configuration(version)
    added["routes"]["r-new"] = dict(added["routes"]["r-read"], prefix="/new/")
    return added


def _write(store, count):
    for number in range(count):
        store.put(f"other/{number}", b"x")


def _statuses(nodes, path):
    return {caller.send(path).status for caller in conftest.callers_of(nodes)}


@pytest.mark.parametrize("writes_after", [0, 20, _LOST_WRITES])
def test_configuration_written_after_a_restore_is_in_force(
    store, backend, region, writes_after
):
    """Guards against changes that are missed once revisions went back.

    The first change after the restore has a revision that the nodes had seen
    already, or, after other writes, one that directly follows.
    """
    start_ready(backend, region[0], "i-1")
    copy = store.copy()
    _write(store, _LOST_WRITES)
    gevent.sleep(0.5)
    store.restore(copy)
    _write(store, writes_after)
    store.put("op/config", _configuration_with_route(2))
    wait_until(
        lambda: _statuses(region, "/new/a") == {200}, timeout=_CONFIG_APPLY_S
    )


def test_server_that_leaves_at_a_revision_given_out_again_is_dropped(
    store, backend, region
):
    """Guards against a watch that returns only the latest of the changes.

    When the nodes watch from the revision that they know, the store has it
    again, and lacks nothing that they ask for.
    """
    start_ready(backend, region[0], "i-1", "i-2", "i-3")
    copy = store.copy()
    _write(store, _LOST_WRITES)
    gevent.sleep(0.5)
    store.restore(copy)
    store.remove("servers/i-1")
    _write(store, 2 * _LOST_WRITES)
    wait_until(
        lambda: all("i-1" not in node.servers for node in region),
        timeout=_CONFIG_APPLY_S,
    )


def test_lost_configuration_stays_in_force_on_all_nodes(
    store, backend, region, make_settings, start_node
):
    """Guards against an older configuration that comes back with the copy.

    A node that starts before the operator has written the newest version
    again gets it from the nodes of its region, also after a change of hub.
    """
    start_ready(backend, region[0], "i-1")
    copy = store.copy()
    _write(store, _LOST_WRITES)
    store.put("op/config", _configuration_with_route(2))
    wait_until(lambda: _statuses(region, "/new/a") == {200}, timeout=3)
    store.restore(copy)
    gevent.sleep(1.0)
    assert _statuses(region, "/new/a") == {200}
    (hub,) = conftest.hubs(region)
    hub.kill()
    survivors = [node for node in region if node is not hub]
    wait_until(lambda: conftest.hubs(survivors), timeout=8)
    started = start_node(
        make_settings(
            "node-4", "127.0.0.14", peer_ports=survivors[0].settings.peer_ports
        ),
        servers=1,
    )
    wait_until(
        lambda: _statuses([*survivors, started], "/new/a") == {200}, timeout=2
    )


def test_node_that_starts_with_items_from_before_a_restore_follows_a_change(
    store, backend, region, make_settings, start_node
):
    """Guards against a node that keeps a configuration which the store lost.

    Its listing is stale and from before the restore, while the answer names
    the era and a revision after it. The new configuration has a revision that
    the listing has passed.
    """
    start_ready(backend, region[0], "i-1")
    copy = store.copy()
    _write(store, _LOST_WRITES)
    store.old_reads = True
    gevent.sleep(0.5)
    store.restore(copy)
    store.put("op/config", _configuration_with_route(2))
    _write(store, 2 * _LOST_WRITES)
    wait_until(lambda: _statuses(region, "/new/a") == {200}, timeout=3)
    started = start_node(
        make_settings(
            "node-4", "127.0.0.14", peer_ports=region[0].settings.peer_ports
        ),
        servers=1,
    )
    wait_until(
        lambda: _statuses([started], "/new/a") == {200},
        timeout=_CONFIG_APPLY_S,
    )


def test_server_that_left_does_not_come_back_with_the_copy(
    store, backend, region, make_settings, start_node
):
    """Guards against requests for servers whose leaving the store forgot.

    One server left and another began to drain after the copy was made.
    """
    servers = start_ready(backend, region[0], "i-1", "i-2", "i-3")
    copy = store.copy()
    _write(store, _LOST_WRITES)
    store.remove("servers/i-1")
    store.put(
        "servers/i-2", servers[1].registration(state="draining", sequence=2)
    )
    gevent.sleep(0.6)
    store.restore(copy)
    gevent.sleep(1.2)
    started = start_node(
        make_settings(
            "node-4", "127.0.0.14", peer_ports=region[0].settings.peer_ports
        ),
        servers=1,
    )
    wait_until(lambda: len(started.region_member.peers) == 4)
    before = [len(server.runs) for server in servers]
    for _ in range(5):
        assert _statuses([*region, started], "/read/a") == {200}
    assert [len(server.runs) for server in servers[:2]] == before[:2]


def test_live_server_that_the_store_forgot_is_kept_until_it_registers(
    store, backend, region
):
    """Guards against dropping a live server that registers again.

    Fewer than half of the servers registered after the copy was made.
    """
    start_ready(backend, region[0], "i-1", "i-2", "i-3")
    copy = store.copy()
    start_ready(backend, region[0], "i-4", "i-5")
    _write(store, _LOST_WRITES)
    gevent.sleep(0.6)
    store.restore(copy)
    gevent.sleep(1.2)
    assert all({"i-4", "i-5"} <= node.servers for node in region)
    gevent.sleep(2.5)
    assert all(not {"i-4", "i-5"} & node.servers for node in region)


def test_nodes_register_again_after_a_restore(store, region):
    """Guards against nodes that no other node finds after a restore."""
    keys = {key for key in store.keys() if "/nodes/" in key}
    assert len(keys) == len(region)
    copy = store.copy()
    for key in keys:
        store.remove(key)
    empty = store.copy()
    store.restore(copy)
    gevent.sleep(1.0)
    store.restore(empty)
    wait_until(lambda: keys <= set(store.keys()), timeout=6)
