"""Tests of several nodes of a region, on different loopback addresses."""

import gevent

from wigeonrouter.platform import conftest

callers_of = conftest.callers_of
hubs = conftest.hubs
wait_until = conftest.wait_until
# Maximum time until a changed configuration is in force.
_CONFIG_APPLY_S = 2.5
_RETRY_RATIO = 0.2


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
