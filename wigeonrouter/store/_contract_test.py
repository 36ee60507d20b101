"""Contract tests of a Store adapter under the faults of the platform.

The type of an error matters: StoreUnavailable guarantees that a write had no
effect.
"""

import gevent
import pytest

from wigeonrouter import core
from wigeonrouter import standins
from wigeonrouter import store as store_api
from wigeonrouter.schema import store_pb2

_WRITE = {"key": "k", "expected_version": 0, "value": b"v"}
_CALLS = {
    "get": lambda store: store.get("k"),
    "compare_and_swap": lambda store: store.compare_and_swap(**_WRITE),
    "list": lambda store: store.list(""),
    "watch": lambda store: store.watch("k", known_version=0, timeout=0.1),
    "grant_lease": lambda store: store.grant_lease(ttl=1),
    "renew_lease": lambda store: store.renew_lease(1),
    "list_vms": lambda store: store.list_vms(),
}


@pytest.mark.parametrize("call", _CALLS)
def test_a_call_during_an_outage_fails_with_a_timeout(
    store, store_standin, call
):
    store_standin.inject(store_pb2.FaultCall(down=True))
    with pytest.raises(store_api.StoreReplyLost):
        _CALLS[call](store)
    store_standin.inject(store_pb2.FaultCall())
    _CALLS[call](store)


@pytest.mark.parametrize("call", _CALLS)
def test_a_refused_connection_means_that_the_call_had_no_effect(call):
    standin = standins.StoreStandin(
        address=core.Address(host="127.0.0.1", port=0)
    )
    standin.start()
    port = standin.port
    standin.stop()
    store = store_api.open_store(
        name="tcp",
        address=core.Address(host="127.0.0.1", port=port),
        timeout=0.3,
    )
    with pytest.raises(store_api.StoreUnavailable):
        _CALLS[call](store)


@pytest.mark.parametrize("call", _CALLS)
@pytest.mark.parametrize("delay_ms", [100, 600])
def test_a_slow_call_returns_or_its_reply_counts_as_lost(
    store, store_standin, call, delay_ms
):
    """The client's timeout is 300 ms, and a watch may take 1.1 s."""
    store_standin.inject(store_pb2.FaultCall(delay_ms=delay_ms))
    if delay_ms < 300 or call == "watch":
        _CALLS[call](store)
        return
    with pytest.raises(store_api.StoreReplyLost):
        _CALLS[call](store)


def test_a_write_whose_reply_was_late_takes_effect(store, store_standin):
    store_standin.inject(store_pb2.FaultCall(delay_ms=400))
    with pytest.raises(store_api.StoreReplyLost):
        store.compare_and_swap(**_WRITE)
    gevent.sleep(0.3)
    store_standin.inject(store_pb2.FaultCall())
    assert store.get("k").value == b"v"


def test_a_write_whose_reply_was_lost_takes_effect_once(store, store_standin):
    store_standin.inject(store_pb2.FaultCall(lost_replies=1))
    with pytest.raises(store_api.StoreReplyLost):
        store.compare_and_swap(**_WRITE)
    assert store.get("k").value == b"v"
    assert not store.compare_and_swap(**_WRITE)


@pytest.mark.parametrize(
    ("expected", "value", "swapped", "after"),
    [
        ("absent", b"new", False, b"old"),
        ("current", b"new", True, b"new"),
        ("current", None, True, None),
        ("older", b"new", False, b"old"),
    ],
)
def test_compare_and_swap_needs_the_current_version(
    store, expected, value, swapped, after
):
    store.compare_and_swap(key="k", expected_version=0, value=b"first")
    older = store.get("k").version
    store.compare_and_swap(key="k", expected_version=older, value=b"old")
    versions = {
        "absent": 0,
        "older": older,
        "current": store.get("k").version,
    }
    assert (
        store.compare_and_swap(
            key="k", expected_version=versions[expected], value=value
        )
        is swapped
    )
    item = store.get("k")
    assert (item and item.value) == after


def test_a_deleted_and_rewritten_key_has_a_new_version(store):
    """Guards against a paused writer that overwrites the new value."""
    store.compare_and_swap(**_WRITE)
    first = store.get("k").version
    store.compare_and_swap(key="k", expected_version=first, value=None)
    store.compare_and_swap(**_WRITE)
    assert store.get("k").version != first


def test_an_expired_lease_deletes_its_key_and_cannot_be_used(
    store, store_standin
):
    """The holder may be paused and not notice that its lease expired."""
    lease = store.grant_lease(ttl=60)
    assert store.compare_and_swap(**_WRITE, lease=lease)
    assert store.renew_lease(lease)
    store_standin.inject(store_pb2.FaultCall(lapse_leases=True))
    assert store.get("k") is None
    assert not store.renew_lease(lease)
    assert not store.compare_and_swap(**_WRITE, lease=lease)
    assert store.compare_and_swap(**_WRITE)


def test_a_key_rewritten_without_a_lease_outlives_the_old_lease(
    store, store_standin
):
    lease = store.grant_lease(ttl=60)
    store.compare_and_swap(**_WRITE, lease=lease)
    version = store.get("k").version
    store.compare_and_swap(key="k", expected_version=version, value=b"new")
    store_standin.inject(store_pb2.FaultCall(lapse_leases=True))
    assert store.get("k").value == b"new"


@pytest.mark.parametrize("change", ["write", "delete", "none", "earlier"])
def test_a_watch_returns_at_each_change_or_its_timeout(store, change):
    store.compare_and_swap(**_WRITE)
    version = store.get("k").version
    known = 0 if change == "earlier" else version
    timeout = 0.2 if change == "none" else 20.0
    task = gevent.spawn(store.watch, "k", known_version=known, timeout=timeout)
    gevent.sleep(0.05)
    if change in ("write", "delete"):
        value = b"new" if change == "write" else None
        store.compare_and_swap(key="k", expected_version=version, value=value)
    item = task.get(timeout=10)
    expected = {"write": b"new", "delete": None}.get(change, b"v")
    assert (item and item.value) == expected


def test_a_pending_watch_does_not_block_other_calls(store):
    task = gevent.spawn(store.watch, "k", known_version=0, timeout=5.0)
    gevent.sleep(0.05)
    assert store.get("other") is None
    task.kill()


def test_the_vm_list_is_returned_only_after_a_change(store, store_standin):
    vm = store_pb2.Vm(name="e1", role="entry", address="10.0.0.1")
    store_standin.set_vms([vm])
    listing = store.list_vms()
    assert [listed.name for listed in listing.vms] == ["e1"]
    assert store.list_vms(known_version=listing.version) is None
    store_standin.set_vms([])
    assert store.list_vms(known_version=listing.version).vms == ()
