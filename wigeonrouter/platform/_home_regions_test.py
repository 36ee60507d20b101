"""Tests of requests with home regions through a whole node."""

import json

import pytest

from wigeonrouter.platform import conftest

wait_until = conftest.wait_until


@pytest.fixture
def restrict(store):
    """Return a function that sets the home regions of the route /read/."""

    def write(*regions):
        document = conftest.configuration(2)
        document["routes"]["r-read"]["allowed_regions"] = list(regions)
        store.put("op/config", document)

    return write


@pytest.mark.parametrize("spill_over", [False, True])
def test_requests_reach_servers_of_their_home_region_only(
    backend, restrict, make_settings, start_node, spill_over
):
    """Guards against a part of the request path that ignores home regions."""
    restrict("r2")
    local = backend("i-1", zone="za")
    remote = backend("i-2", zone="zc")
    node = start_node(make_settings(spill_over=spill_over), servers=2)
    caller = conftest.Caller(address=node.settings.caller_address)
    for _ in range(5):
        assert caller.send("/read/a").status == 200
    assert len(remote.runs) == 5
    assert not local.arrivals


def test_home_region_without_servers_is_rejected_at_once(
    backend, restrict, make_settings, start_node
):
    """Guards against a request that waits or that leaves its home."""
    restrict("r3")
    local = backend("i-1", zone="za")
    node = start_node(make_settings(), servers=1)
    caller = conftest.Caller(address=node.settings.caller_address)
    response = caller.send("/read/a")
    assert response.status == 503
    assert "retry-after" in response.headers
    assert not local.arrivals


def test_directory_names_no_node_of_a_region_that_is_no_home(
    store, restrict, make_settings, start_node
):
    """Guards against callers of other regions that send bodies here.

    A node of r1 is asked by callers of r1, of r2, which is a home, and of r3.
    """
    restrict("r2")
    store.put("wigeonrouter/nodes/r2/127.0.0.9", {})
    node = start_node(make_settings())
    directory = conftest.Caller(address=node.settings.directory_address)
    wait_until(lambda: "127.0.0.9" in node.known_hosts)

    def entries(region):
        path = f"/api/resolve?name={conftest.HOST}&region={region}"
        return json.loads(directory.send(path).body)["addresses"]

    port = node.settings.caller_address.port
    assert entries("r1") == [str(node.settings.caller_address)]
    assert entries("r2") == entries("r3") == [f"127.0.0.9:{port}"]
