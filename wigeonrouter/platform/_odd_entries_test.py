"""End-to-end tests of entries in the store that nobody expects.

Other writers left them among the entries of the operator, of the backend
servers or of the nodes themselves. They name nothing to use, and the others
hold.
"""

import pytest

from wigeonrouter.platform import conftest

wait_until = conftest.wait_until
_CONFIG_APPLY_S = 2.5
_NESTED = b'{"a":' * 100_000
_HUGE_NUMBER = b"9" * 5_000
_STATUS = b'"status":{"state":"ready","seq":1}'
_INFO = b'"info":{"service":"alpha","zone":"za","slots":%b}'
_SERVER = b'{"address":"%b",' + _INFO + b"," + _STATUS + b"}"

_ODD_ENTRIES = {
    "nested server": ("servers/i-odd", _NESTED),
    "nested list": ("servers/i-odd", b"[" * 100_000),
    "huge slots": (
        "servers/i-odd",
        _SERVER % (b"127.0.0.1:1", _HUGE_NUMBER),
    ),
    "many slots": ("servers/i-odd", _SERVER % (b"127.0.0.1:1", b"1e400")),
    "port out of range": (
        "servers/i-odd",
        _SERVER % (b"127.0.0.1:70000", b"2"),
    ),
    "negative port": ("servers/i-odd", _SERVER % (b"127.0.0.1:-1", b"2")),
    "huge port": (
        "servers/i-odd",
        _SERVER % (b"127.0.0.1:" + _HUGE_NUMBER, b"2"),
    ),
    "no bytes": ("servers/i-odd", b""),
    "key of no text": ("servers/\ud800", b"{}"),
    "own key of no text": ("wigeonrouter/nodes/r1/\ud800", b"{}"),
    "node of no address": ("wigeonrouter/nodes/r1/" + "x" * 150, b"{}"),
    "node of a bad label": ("wigeonrouter/nodes/r1/a..b", b"{}"),
    "huge caller timeout": ("wigeonrouter/waits/r-read", _HUGE_NUMBER),
    "long caller timeout": ("wigeonrouter/waits/r-read", b"9" * 400),
    "caller timeout of zero": ("wigeonrouter/waits/r-read", b"0"),
    "crash of no digest": ("wigeonrouter/crashes/x", b"{}"),
    "crash of no name": ("wigeonrouter/crashes/" + "a" * 32 + "/", b"{}"),
    "nested configuration": ("op/config", _NESTED),
    "huge version": (
        "op/config",
        b'{"version":"%b","routes":{},"services":{}}' % (b"f" * 9_000),
    ),
}
_ODD_ROWS = {
    "value of no base64": {"value": "%%%"},
    "value of another type": {"value": 7},
    "no value": {"value": None},
    "key of another type": {"key": 7},
    "revision of another type": {"revision": "x"},
    "huge revision": {"revision": 10**30},
    "negative revision": {"revision": -1},
}


def _assert_changes_arrive(store, backend, nodes):
    """Change configuration and servers; wait until the nodes have both."""
    server = backend("i-later")
    document = conftest.configuration(2)
    document["routes"]["r-new"] = dict(
        document["routes"]["r-read"], prefix="/new/"
    )
    store.put("op/config", document)
    wait_until(
        lambda: all(
            caller.send("/new/a").status == 200
            for caller in conftest.callers_of(nodes)
        ),
        timeout=_CONFIG_APPLY_S,
    )
    assert server.runs
    assert not any(node.counts["task-failed"] for node in nodes)


@pytest.mark.parametrize("name", _ODD_ENTRIES)
def test_nodes_follow_the_store_beside_an_odd_entry(
    store, backend, region, make_settings, start_node, name
):
    """Guards against nodes that stop reading, or cannot start any more."""
    store.put(*_ODD_ENTRIES[name])
    started = start_node(
        make_settings(
            "node-4", "127.0.0.14", peer_ports=region[0].settings.peer_ports
        ),
        wait=name not in ("nested configuration", "huge version"),
    )
    _assert_changes_arrive(store, backend, [*region, started])


@pytest.mark.parametrize("name", _ODD_ROWS)
def test_nodes_follow_the_store_beside_an_odd_row(
    store, backend, region, make_settings, start_node, name
):
    """Guards against a listing or watch that fails for one of its rows."""
    store.put_row("servers/i-odd", _ODD_ROWS[name])
    started = start_node(
        make_settings(
            "node-4", "127.0.0.14", peer_ports=region[0].settings.peer_ports
        )
    )
    _assert_changes_arrive(store, backend, [*region, started])
