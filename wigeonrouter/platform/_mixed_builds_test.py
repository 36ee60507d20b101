"""Tests of requests with keys beside nodes that pass the keys on."""

import dataclasses

import pytest

from wigeonrouter import core
from wigeonrouter.platform import _emulated_links
from wigeonrouter.platform import _partitioned_node_test
from wigeonrouter.platform import _tenants_test
from wigeonrouter.platform import conftest

links = _partitioned_node_test.links
servers = _partitioned_node_test.servers
start_linked_node = _partitioned_node_test.start_linked_node
wait_until = conftest.wait_until
_HOSTS = ("127.0.0.61", "127.0.0.62", "127.0.0.63")
_KEY_LINE = b"Key: " + _tenants_test.KEY.encode()


def _announce_earlier_build(node, store):
    """Let a node appear to the others as one of an earlier build."""
    member = node.region_member
    facts = member._facts
    member._facts = lambda: dataclasses.replace(facts(), checks_keys=False)
    member.broadcast_state()
    region = node.settings.place.region
    key = f"wigeonrouter/nodes/{region}/{node.settings.host}"
    wait_until(lambda: key in store.keys())
    store.put(key, {})


def _notices_cut(node):
    """Send a request, as a node needs to find out, and return if it has."""
    _tenants_test.send_raw(node, [_KEY_LINE], path="/patient/cut")
    return node._link_monitor.cut


@pytest.fixture
def run_cut(store, servers, links, start_linked_node):
    """Return a function that runs two nodes, the first of which is cut off.

    The other one may announce itself as of an earlier build, and may be in
    another region.
    """

    def run(*, earlier, remote):
        changes = {}
        if remote:
            changes["place"] = core.Place(region="r2", failure_domain="zc")
        first = start_linked_node(_HOSTS[0], links[0])
        other = start_linked_node(_HOSTS[1], links[1], **changes)
        if earlier:
            _announce_earlier_build(other, store)
        _tenants_test.put_tenants(store, 2, _tenants_test.tenants())
        _tenants_test.wait_for_version([first, other], 2)
        state = first._cluster_state
        wait_until(
            lambda: (
                state.remote_hosts("r1") == ({_HOSTS[1]} if remote else set())
            )
        )
        wait_until(
            lambda: (
                bool(state.remote_key_checkers("r1"))
                == (remote and not earlier)
            )
        )
        wait_until(
            lambda: (
                remote
                or [
                    peer.checks_keys
                    for peer in first.region_member.peers
                    if peer.host == _HOSTS[1]
                ]
                == [not earlier]
            )
        )
        links[0].cut(_emulated_links.Cut.RESET)
        wait_until(lambda: _notices_cut(first))
        return first

    return run


@pytest.mark.parametrize("remote", [False, True], ids=["region", "remote"])
@pytest.mark.parametrize(
    "lines",
    [[_KEY_LINE], [_KEY_LINE, b"Connection: key", b"Tenant: zeta"]],
    ids=["plain", "connection"],
)
def test_forwarded_request_keeps_its_key(run_cut, servers, lines, remote):
    """Guards against a node that cannot authenticate what it is passed on.

    A caller may name its key in Connection, which ends it at the first node.
    """
    first = run_cut(earlier=False, remote=remote)
    assert _tenants_test.send_raw(first, lines).status == 200
    runs = [run for server in servers for run in server.runs]
    assert runs
    for run in runs:
        assert _tenants_test.identity(run) == [(b"tenant", b"acme")]


@pytest.mark.parametrize("remote", [False, True], ids=["region", "remote"])
@pytest.mark.parametrize(
    ("lines", "path"), [([_KEY_LINE], "/read/a"), ([_KEY_LINE], "/public/a")]
)
def test_no_request_is_forwarded_to_a_node_that_passes_keys_on(
    run_cut, servers, lines, path, remote
):
    """Guards against a key that reaches a server through an earlier build."""
    first = run_cut(earlier=True, remote=remote)
    assert _tenants_test.send_raw(first, lines, path=path).status == 503
    assert not any(server.arrivals for server in servers)


def test_directory_prefers_nodes_that_check_keys(
    store, make_settings, start_node, free_port
):
    """Guards against callers who are sent to a node that passes keys on."""
    port = free_port()
    nodes = [
        start_node(make_settings(host, host, peer_ports=(port, 0)))
        for host in _HOSTS
    ]
    wait_until(
        lambda: all(len(node.region_member.peers) == 3 for node in nodes)
    )
    home = conftest.home_of(nodes)
    _announce_earlier_build(home, store)
    wait_until(
        lambda: all(
            sum(peer.checks_keys for peer in node.region_member.peers) == 2
            for node in nodes
        )
    )
    assert conftest.home_of(nodes) is home
    _tenants_test.put_tenants(store, 2, _tenants_test.tenants())
    _tenants_test.wait_for_version(nodes, 2)
    assert conftest.home_of(nodes) is not home


def test_registration_of_an_earlier_build_is_replaced(
    store, make_settings, start_node
):
    """Guards against a node that counts as an earlier build for good."""
    settings = make_settings()
    key = f"wigeonrouter/nodes/r1/{settings.host}"
    store.put(key, {})
    node = start_node(settings)
    state = node._cluster_state
    wait_until(lambda: state.is_registered("r1", settings.host))
    assert state.remote_key_checkers("r2") == {settings.host}
