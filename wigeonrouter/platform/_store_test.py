"""Tests of the store client against the emulated store."""

import time
import tracemalloc

import gevent
import pytest

from wigeonrouter import core
from wigeonrouter import store as store_api
from wigeonrouter.platform import _emulator
from wigeonrouter.platform import _store

MAX_RESPONSE_BYTES = 2 << 20
TIMEOUT_S = 0.3


@pytest.fixture
def emulated_store():
    """Run an emulated store."""
    emulated_store = _emulator.EmulatedStore()
    yield emulated_store
    emulated_store.stop()


@pytest.fixture
def client(emulated_store):
    """Return a client of the emulated store."""
    client = _store.StoreClient(
        address=core.parse_address(emulated_store.address),
        timeout=TIMEOUT_S,
        max_response_bytes=MAX_RESPONSE_BYTES,
    )
    yield client
    client.close()


def test_pages_are_read_to_the_end(emulated_store, client):
    """Guards against a listing that misses items after the first page."""
    for number in range(1100):
        emulated_store.put(f"k/{number:04}", b"v")
    listing = client.list("k/")
    assert len(listing.items) == 1100
    assert listing.items[7].value == b"v"


def test_watch_returns_writes_and_removals(emulated_store, client):
    """Guards against a removal that is mistaken for a write."""
    revision = client.list("").position.revision
    emulated_store.put("a", b"1")
    emulated_store.remove("a")
    events = client.watch("", revision=revision, wait=1.0)
    assert [item.value for item in events.changes] == [b"1", None]
    later = client.watch("", revision=events.position.revision, wait=0.05)
    assert later.changes == () and later.position == events.position


def test_watch_after_a_stale_listing_misses_nothing(emulated_store, client):
    """Guards against losing changes between stale items and the revision.

    The store reports its current revision with the stale items, and a watch
    from there would miss the changes in between.
    """
    emulated_store.put("a", b"1")
    emulated_store.old_reads = True
    emulated_store.put("b", b"2")
    listing = client.list("", stale=True)
    assert [item.key for item in listing.items] == ["a"]
    events = client.watch("", revision=listing.position.revision, wait=1.0)
    assert [item.key for item in events.changes] == ["b"]


def test_watch_after_pages_of_unequal_age_misses_nothing(
    emulated_store, client
):
    """Guards against a change of a page that is older than the others.

    The first page of a stale listing is from before a change and a removal,
    the second one has a newer item than these.
    """
    emulated_store.page_items = 2
    for key in "abcd":
        emulated_store.put(key, b"1")
    emulated_store.old_reads = True
    emulated_store.old_pages = 1
    emulated_store.put("a", b"2")
    emulated_store.remove("b")
    emulated_store.put("d", b"2")
    listing = client.list("", stale=True)
    assert [item.value for item in listing.items] == [b"1", b"1", b"1", b"2"]
    events = client.watch("", revision=listing.position.revision, wait=1.0)
    changes = {item.key: item.value for item in events.changes}
    assert changes["a"] == b"2" and changes["b"] is None


def test_create_writes_once(emulated_store, client):
    """Guards against overwriting a key that another process wrote."""
    assert client.create("k", b"1")
    assert not client.create("k", b"2")
    assert client.list("k").items[0].value == b"1"


@pytest.mark.parametrize(
    ("fault", "error"),
    [
        ("silent", store_api.StoreReplyLost),
        ("resetting", store_api.StoreReplyLost),
        ("refusing", store_api.StoreUnavailable),
    ],
)
def test_failed_calls_raise_typed_errors(emulated_store, client, fault, error):
    """Guards against calls that hang or raise an untyped error.

    Also checks that the client works again after the fault.
    """
    client.list("")
    setattr(emulated_store, fault, True)
    with pytest.raises(error):
        client.list("")
    setattr(emulated_store, fault, False)
    client.list("")


def test_lost_history_is_reported(emulated_store, client):
    """Guards against changes that are lost without an error."""
    revision = client.list("").position.revision
    emulated_store.put("a", b"1")
    emulated_store.forget_history()
    with pytest.raises(store_api.HistoryLost):
        client.watch("", revision=revision, wait=0.1)


def test_concurrent_calls_get_their_own_responses(emulated_store, client):
    """Guards against a response that is given to another task's call."""
    emulated_store.put("a", b"1")
    revision = client.list("").position.revision
    watch = gevent.spawn(client.watch, "", revision=revision, wait=0.2)
    calls = [gevent.spawn(client.list, "a") for _ in range(3)]
    assert [call.get().items[0].value for call in calls] == [b"1"] * 3
    assert watch.get().changes == ()


def test_response_without_end_does_not_use_up_the_memory(scripted_server):
    """Guards against a node that ends with the requests of its callers."""
    head = b"HTTP/1.1 200 OK\r\nContent-Length: 60000000\r\n\r\n"
    address = scripted_server([[head, b"x" * 30_000_000]])
    client = _store.StoreClient(
        address=address, timeout=2.0, max_response_bytes=MAX_RESPONSE_BYTES
    )
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    try:
        with pytest.raises(store_api.StoreReplyLost):
            client.list("")
        _, peak = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert peak - before < 3 * MAX_RESPONSE_BYTES


def test_more_changes_than_one_response_may_have_are_listed(
    emulated_store, client
):
    """Guards against a watch that fails for good after many large changes."""
    revision = client.list("").position.revision
    for _ in range(4):
        emulated_store.put("op/config", b"x" * 700_000)
    with pytest.raises(store_api.HistoryLost):
        client.watch("", revision=revision, wait=0.1)
    assert len(client.list("").items) == 1


def test_response_that_keeps_arriving_is_read_to_its_end(
    emulated_store, client
):
    """Guards against large configurations that no slow link ever delivers."""
    emulated_store.put("op/config", b"x" * 300_000)
    emulated_store.bytes_per_s = 500_000
    listing = client.list("")
    assert len(listing.items[0].value) == 300_000


def test_response_that_stalls_is_given_up_at_once(emulated_store, client):
    """Guards against a node that waits for a store which hangs midway."""
    emulated_store.put("op/config", b"x" * 300_000)
    emulated_store.stalls_after = 100_000
    began = time.monotonic()
    with pytest.raises(store_api.StoreReplyLost):
        client.list("")
    assert time.monotonic() - began < 2 * TIMEOUT_S


def test_response_that_hardly_arrives_is_given_up(scripted_server):
    """Guards against a call that a few bytes now and then keep alive."""
    head = b"HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\n"
    address = scripted_server([[head, *[b"x"] * 200]])
    client = _store.StoreClient(address=address, timeout=TIMEOUT_S)
    began = time.monotonic()
    with pytest.raises(store_api.StoreReplyLost):
        client.list("")
    assert time.monotonic() - began < 3 * TIMEOUT_S


def test_changes_that_are_larger_than_a_listing_are_listed(
    emulated_store, client
):
    """Guards against versions that a slow link transfers for nothing.

    Each of them supersedes the one before.
    """
    emulated_store.put("op/config", b"x" * 450_000)
    revision = client.list("").position.revision
    emulated_store.put("op/config", b"y" * 450_000)
    events = client.watch("", revision=revision, wait=0.1)
    assert len(events.changes) == 1
    for _ in range(2):
        emulated_store.put("op/config", b"z" * 450_000)
    with pytest.raises(store_api.HistoryLost):
        client.watch("", revision=events.position.revision, wait=0.1)
