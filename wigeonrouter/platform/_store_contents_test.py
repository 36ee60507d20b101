"""End-to-end tests of one node while the contents of the store change.

The store may also be down, stale or without its history.
"""

import gevent
import pytest

from wigeonrouter.platform import conftest

start_ready = conftest.start_ready
wait_until = conftest.wait_until


def test_draining_server_gets_no_new_requests(store, backend, node, caller):
    """Guards against sending new requests to a draining server."""
    draining, _ = start_ready(backend, node, "i-1", "i-2")
    store.put(
        "servers/i-1", draining.registration(state="draining", sequence=2)
    )
    gevent.sleep(0.5)
    before = len(draining.runs)
    for _ in range(10):
        assert caller.send("/read/a").status == 200
    assert len(draining.runs) == before


def test_reused_address_does_not_run_misdirected_requests(
    store, backend, node, caller
):
    """Guards against executing a request on another service's server.

    The address of a server is taken by one of another service before the
    node is notified.
    """
    (reassigned,) = start_ready(backend, node, "i-1")
    reassigned.instance, reassigned.service = "i-9", "beta"
    response = caller.send("/write/a", method="POST", body=b"x")
    assert response.status == 503 and not reassigned.runs


@pytest.mark.parametrize(
    "value",
    [
        b"\xff\xfe",
        {},
        {"address": 7},
        {"address": "127.0.0.1:1", "info": [], "status": {}},
        {"address": "127.0.0.1:1", "info": {"service": "alpha"}},
    ],
)
def test_invalid_registration_does_not_affect_others(
    store, backend, node, caller, value
):
    """Guards against a node that fails because of an invalid registration."""
    start_ready(backend, node, "i-1")
    store.put("servers/i-bad", value)
    store.put("servers/i-2", {"address": "127.0.0.1:1"})
    gevent.sleep(0.4)
    assert node.servers == {"i-1"}
    assert caller.send("/read/a").status == 200


def test_new_configuration_is_applied_and_older_one_ignored(
    store, backend, node, caller
):
    """Guards against a configuration that is applied late or reverted."""
    start_ready(backend, node, "i-1")
    added = conftest.configuration(2)
    added["routes"]["r-new"] = dict(added["routes"]["r-read"], prefix="/new/")
    store.put("op/config", added)
    wait_until(lambda: caller.send("/new/a").status == 200, timeout=2.0)
    store.put("op/config", conftest.configuration(1))
    gevent.sleep(0.6)
    assert caller.send("/new/a").status == 200


@pytest.mark.parametrize("value", [b"{", {"version": "zz"}, {"routes": 1}])
def test_invalid_configuration_is_ignored(store, backend, node, caller, value):
    """Guards against losing all routes because of one invalid write."""
    start_ready(backend, node, "i-1")
    store.put("op/config", value)
    gevent.sleep(0.4)
    assert caller.send("/read/a").status == 200


def test_requests_continue_during_a_store_outage(store, backend, node, caller):
    """Guards against rejecting requests while the store is unreachable."""
    start_ready(backend, node, "i-1")
    store.silent = True
    gevent.sleep(2.0)
    assert caller.send("/read/a").status == 200
    store.silent = False
    backend("i-2")
    wait_until(lambda: "i-2" in node.servers, timeout=5)


def test_node_started_from_a_stale_listing_catches_up(
    store, backend, make_settings, start_node
):
    """Guards against a new node that misses changes after a stale listing."""
    store.old_reads = True
    changed = conftest.configuration(2)
    changed["routes"]["r-new"] = dict(
        changed["routes"]["r-read"], prefix="/n/"
    )
    store.put("op/config", changed)
    backend("i-1")
    node = start_node(make_settings())
    caller = conftest.Caller(address=node.settings.caller_address)
    wait_until(lambda: caller.send("/n/a").status == 200, timeout=1.5)


def test_lost_history_triggers_a_new_listing(store, backend, node):
    """Guards against missing changes that the store's history has dropped."""
    start_ready(backend, node, "i-1")
    store.refusing = True
    gevent.sleep(1.3)
    backend("i-2")
    store.remove("servers/i-1")
    store.forget_history()
    store.refusing = False
    wait_until(lambda: node.servers == {"i-2"}, timeout=5)


def test_failed_listing_is_retried_with_backoff(store, backend, node):
    """Guards against flooding a failing store with calls.

    The history was dropped, and the listing that it requires fails.
    """
    start_ready(backend, node, "i-1")
    store.refusing = True
    gevent.sleep(1.3)
    backend("i-2")
    store.forget_history()
    store.refusing_lists = True
    store.refusing = False
    gevent.sleep(0.6)
    before = store.calls
    gevent.sleep(1.0)
    assert store.calls - before < 15
    store.refusing_lists = False
    wait_until(lambda: "i-2" in node.servers, timeout=5)


def test_lapsed_registrations_are_kept_for_renewal(
    store, backend, node, caller
):
    """Guards against losing all servers after an outage of the store.

    The registrations lapse during the outage, because the servers cannot
    renew them. They are kept until the servers had time to do so.
    """
    servers = start_ready(backend, node, "i-1", "i-2", "i-3")
    store.refusing = True
    gevent.sleep(1.3)
    for server in servers:
        store.remove(f"servers/{server.instance}")
    store.refusing = False
    wait_until(lambda: store.calls and node.region_member.role.store_reachable)
    gevent.sleep(0.3)
    assert caller.send("/read/a").status == 200
    store.put("servers/i-1", servers[0].registration(sequence=2))
    wait_until(lambda: node.servers == {"i-1"}, timeout=5)


def test_stored_caller_timeout_survives_a_restart(
    store, backend, make_settings, start_node
):
    """Guards against mistaking late requests for new ones after a restart.

    The age of a request is estimated from its remaining time and the usual
    timeout of its callers, which is therefore kept in the store.
    """
    store.put("wigeonrouter/waits/r-read", b"4000")
    settings = make_settings()
    node = start_node(settings)
    start_ready(backend, node, "i-1")
    caller = conftest.Caller(address=settings.caller_address)
    assert caller.send("/read/a", remaining=3900).status == 200
    assert node.stored_caller_timeouts == {"r-read": 4.0}
