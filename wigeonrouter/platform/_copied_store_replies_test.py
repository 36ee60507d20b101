"""Tests of replies that the store writes again where the next one is due.

Replies of the store have no ID. A copy that arrives after the next call was
sent is the first response to it.
"""

import gevent
import pytest

from wigeonrouter import core
from wigeonrouter import http1
from wigeonrouter import store as store_api
from wigeonrouter.platform import _emulator
from wigeonrouter.platform import _store

TIMEOUT_S = 2.0
WATCH_S = 0.6


class CopyingStore(_emulator.EmulatedStore):
    """Writes each response once more when the next call has arrived.

    Attributes:
      next_status: status with which the next call is refused, None for none.
      executing: whether a call that gets next_status is executed.
    """

    def __init__(self):
        self._copies = {}
        self.next_status = None
        self.executing = False
        super().__init__()

    def handle(self, request, sock):
        """Handle a call after the copy of the previous response."""
        if sock in self._copies:
            sock.sendall(self._copies[sock])
        if self.next_status is None:
            return super().handle(request, sock)
        status, self.next_status = self.next_status, None
        if self.executing:
            super().handle(request, sock)
        return http1.HttpResponse(status=status, headers=(), body=b"")

    def send(self, sock, request, response):
        """Send a response and remember it."""
        self._copies[sock] = self.render(request, response)
        super().send(sock, request, response)


@pytest.fixture
def copying_store():
    """Run a CopyingStore with two keys."""
    store = CopyingStore()
    store.put("k/1", b"1")
    store.put("k/2", b"2")
    yield store
    store.stop()


@pytest.fixture
def client(copying_store):
    """Return a client of the copying store."""
    client = _store.StoreClient(
        address=core.parse_address(copying_store.address), timeout=TIMEOUT_S
    )
    yield client
    client.close()


def _refused(status):
    """Return a function that makes a call which the store refuses."""

    def call(store, client):
        store.next_status = status
        with pytest.raises(store_api.StoreError):
            client.list("")

    return call


def _watch(store, client):
    client.watch("", revision=client.list("").position.revision, wait=WATCH_S)


def _watch_change(store, client):
    revision = client.list("").position.revision
    store.put("k/2", b"changed")
    client.watch("", revision=revision, wait=WATCH_S)


EARLIER_CALLS = {
    "check": lambda store, client: client.check("absent"),
    "listing": lambda store, client: client.list(""),
    "watch": _watch,
    "watch with a change": _watch_change,
    "create": lambda store, client: client.create("earlier", b""),
    "create of an existing key": lambda store, client: client.create(
        "k/1", b""
    ),
    "write with a lease": lambda store, client: client.write_leased(
        {"earlier": b""}, ttl=60
    ),
    "refused with 503": _refused(503),
    "refused with 429": _refused(429),
    "refused with 404": _refused(404),
    "refused with 410": _refused(410),
}


def _check_create(store, client):
    assert client.create("new", b"")
    assert "new" in store.keys()


def _check_create_of_existing_key(store, client):
    assert not client.create("k/1", b"")


def _check_write(store, client):
    client.write("new", b"")
    assert "new" in store.keys()


def _check_write_with_lease(store, client):
    client.write_leased({"new/1": b"", "new/2": b""}, ttl=60)
    assert {"new/1", "new/2"} <= set(store.keys())


def _check_removal(store, client):
    client.remove(["k/1"])
    assert "k/1" not in store.keys()


def _check_listing(store, client):
    store.put("new", b"")
    listing = client.list("")
    assert [item.key for item in listing.items] == store.keys()


def _check_pages(store, client):
    store.page_items = 1
    listing = client.list("")
    assert [item.key for item in listing.items] == store.keys()


NEXT_CALLS = {
    "create": _check_create,
    "create of an existing key": _check_create_of_existing_key,
    "write": _check_write,
    "write with a lease": _check_write_with_lease,
    "removal": _check_removal,
    "listing": _check_listing,
    "listing of some pages": _check_pages,
}


@pytest.mark.parametrize("check", NEXT_CALLS.values(), ids=NEXT_CALLS)
@pytest.mark.parametrize("call", EARLIER_CALLS.values(), ids=EARLIER_CALLS)
def test_copied_reply_is_not_that_of_the_next_call(
    copying_store, client, call, check
):
    """Guards against a write that is taken for done, or a lost listing.

    A node that takes itself for registered does not try again, and the copy
    of an empty listing removes all servers.
    """
    call(copying_store, client)
    check(copying_store, client)


@pytest.mark.parametrize("call", EARLIER_CALLS.values(), ids=EARLIER_CALLS)
def test_copied_reply_hides_no_change_from_a_watch(
    copying_store, client, call
):
    """Guards against "no change" for a store that has changed."""
    revision = client.list("").position.revision
    events = client.watch("", revision=revision, wait=0.001)
    call(copying_store, client)
    events = client.watch("", revision=events.position.revision, wait=WATCH_S)
    position = client.list("").position
    for number in range(3):
        key = f"new/{number}"
        copying_store.put(key, b"")
        events = client.watch("", revision=position.revision, wait=WATCH_S)
        assert [item.key for item in events.changes] == [key]
        position = events.position


@pytest.mark.parametrize("wait", [0.001, WATCH_S])
def test_copied_reply_of_a_watch_is_no_proof_of_a_current_copy(
    copying_store, client, wait
):
    """Guards against a copy of the store that counts as current.

    The store changes while the copied reply "no change" is on its way.
    """
    revision = client.list("").position.revision
    client.watch("", revision=revision, wait=wait)
    copying_store.put("new", b"")
    events = client.watch("", revision=revision, wait=wait)
    assert [item.key for item in events.changes] == ["new"]


def test_events_of_an_earlier_watch_are_no_present_ones(copying_store, client):
    """Guards against an answer that is always that of the watch before."""
    position = client.list("").position
    for number in range(4):
        copying_store.put("k/1", b"%d" % number)
        events = client.watch("", revision=position.revision, wait=WATCH_S)
        assert [item.value for item in events.changes] == [b"%d" % number]
        position = events.position


@pytest.mark.parametrize("status", [500, 502, 504, 408])
def test_other_status_does_not_say_that_a_write_was_not_done(
    copying_store, client, status
):
    """Guards against "nothing was done" for a write that was done."""
    copying_store.next_status, copying_store.executing = status, True
    with pytest.raises(store_api.StoreReplyLost):
        client.create("new", b"")
    assert "new" in copying_store.keys()


@pytest.mark.parametrize("status", [503, 429, 403, 404])
def test_refusal_says_that_a_write_was_not_done(copying_store, client, status):
    """Guards against a refusal that is taken for a lost reply."""
    copying_store.next_status = status
    with pytest.raises(store_api.StoreUnavailable):
        client.create("new", b"")
    assert "new" not in copying_store.keys()


@pytest.mark.parametrize(
    "body", [b"", b"{}", b'{"items":[],"as_of":7}', b'{"revision":"x"}']
)
def test_reply_without_a_revision_does_not_answer_a_write(
    scripted_server, body
):
    """Guards against a write that is taken for done, or for not done."""
    head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
    client = _store.StoreClient(
        address=scripted_server([[head + body]]), timeout=TIMEOUT_S
    )
    with pytest.raises(store_api.StoreReplyLost):
        client.write("k", b"")


def test_quiet_watches_share_a_connection():
    """Guards against a new connection for each watch."""
    store = _CountingStore()
    store.put("k", b"")
    client = _store.StoreClient(
        address=core.parse_address(store.address), timeout=TIMEOUT_S
    )
    revision = client.list("").position.revision
    before = len(store.seen)
    for _ in range(3):
        client.watch("", revision=revision, wait=WATCH_S)
    gevent.sleep(0)
    assert len(store.seen) <= before + 1
    store.stop()


class _CountingStore(_emulator.EmulatedStore):
    """Counts the connections that have carried a call."""

    def __init__(self):
        self.seen = set()
        super().__init__()

    def handle(self, request, sock):
        """Handle one call."""
        self.seen.add(sock)
        return super().handle(request, sock)
