"""Emulator of the platform's metadata store, for tests."""

import base64
import bisect
import dataclasses
import json
import math
import time
from urllib import parse

import gevent
from gevent import event

from wigeonrouter import http1
from wigeonrouter.platform import _emulated_server
from wigeonrouter.platform import _fields

_PAGE_ITEMS = 500
_SEGMENT_BYTES = 8192


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StoreCopy:
    """A copy of the store's contents, from which it can be restored."""

    items: dict
    log: tuple
    revision: int


class EmulatedStore(_emulated_server.EmulatedServer):
    """Emulates the metadata store.

    Attributes:
      refusing: respond with 503 to all calls.
      refusing_lists: respond with 503 to listings.
      calls: number of calls received.
      page_items: number of items on a page of a listing.
      old_pages: number of pages of a stale listing that old_reads affects.
      era: number of the store's present era; each restore begins a new one.
      bytes_per_s: bandwidth that all responses share.
      stalls_after: number of bytes of a response after which no more follow.
    """

    def __init__(self):
        self._old_items = None
        self.refusing = False
        self.refusing_lists = False
        self._items = {}
        self._log = []
        self._revision = 1
        self._changed = event.Event()
        self.calls = 0
        self.page_items = _PAGE_ITEMS
        self.old_pages = math.inf
        self.era = 1
        self.bytes_per_s = math.inf
        self.stalls_after = math.inf
        self._link_free_at = 0.0
        self._odd_fields = {}
        self._last_lease = 0
        self._lease_ends = {}
        super().__init__()

    def put(self, key, document):
        """Write a JSON document; bytes are written unchanged."""
        value = document
        if not isinstance(document, bytes):
            value = json.dumps(document).encode()
        self._write(key, value)

    def put_row(self, key, fields):
        """Write a key whose row has some other fields than it should."""
        self._odd_fields[key] = fields
        self._write(key, b"{}")

    def remove(self, key):
        """Remove a key."""
        self._revision += 1
        self._items.pop(key, None)
        self._append({"key": key, "revision": self._revision, "deleted": True})

    def forget_history(self):
        """Drop the change history, so that watches of old revisions fail."""
        self._log.clear()

    def copy(self):
        """Return a StoreCopy of the present contents."""
        return StoreCopy(
            items=dict(self._items),
            log=tuple(self._log),
            revision=self._revision,
        )

    def restore(self, copy):
        """Go back to a StoreCopy; later writes are lost.

        Revisions that the lost writes had are given out again. Connections
        are closed.
        """
        self._items = dict(copy.items)
        self._log = list(copy.log)
        self._revision = copy.revision
        self.era += 1
        self.close_connections()

    @property
    def old_reads(self):
        """Whether stale listings return the items as of when this was set."""
        return self._old_items is not None

    @old_reads.setter
    def old_reads(self, old):
        self._old_items = dict(self._items) if old else None

    def keys(self):
        """Return all keys, sorted."""
        return sorted(self._items)

    def send(self, sock, request, response):
        """Send a response at the bandwidth of the link."""
        data = self.render(request, response)
        sent = 0
        while sent < len(data):
            if sent >= self.stalls_after:
                event.Event().wait()
            segment = data[sent : sent + _SEGMENT_BYTES]
            self._wait_for_link(len(segment))
            sock.sendall(segment)
            sent += len(segment)

    def _wait_for_link(self, size):
        now = time.monotonic()
        begins = max(now, self._link_free_at)
        self._link_free_at = begins + size / self.bytes_per_s
        gevent.sleep(self._link_free_at - now)

    def handle(self, request, sock):
        """Handle one call; the response names the era."""
        response = self._handle(request)
        return dataclasses.replace(
            response,
            headers=(*response.headers, (b"store-era", b"%d" % self.era)),
            fields=None,
        )

    def _handle(self, request):
        self.calls += 1
        if self.refusing:
            return _respond(503)
        path, _, text = request.target.decode().partition("?")
        query = dict(parse.parse_qsl(text, keep_blank_values=True))
        if path == "/api/kv-range":
            if self.refusing_lists:
                return _respond(503)
            return self._range(query)
        if path == "/api/kv-watch":
            return self._watch(query)
        if path == "/api/kv-txn":
            return self._transact(json.loads(request.body))
        if path == "/api/kv-lease":
            return self._grant_lease(json.loads(request.body))
        return _respond(404)

    def _range(self, query):
        items = self._items
        if query.get("stale_ok") == "1" and self._is_old_page(query):
            items = self._old_items
        keys = sorted(k for k in items if k.startswith(query["prefix"]))
        keys = keys[bisect.bisect_right(keys, query.get("after", "")) :]
        return _respond(
            200,
            {
                "items": [
                    self._render(items[key]) for key in keys[: self.page_items]
                ],
                "has_more": len(keys) > self.page_items,
                "as_of": self._revision,
            },
        )

    def _is_old_page(self, query):
        """Return whether a page of a stale listing is one of the old ones."""
        if self._old_items is None:
            return False
        last_key = query.get("after", "")
        items_before = sum(
            key <= last_key and key.startswith(query["prefix"])
            for key in self._old_items
        )
        return items_before < self.old_pages * self.page_items

    def _watch(self, query):
        after = int(query["after"])
        deadline = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            if self._has_lost_history(after):
                return _respond(410)
            events = [
                self._render(row)
                for row in self._log
                if row["revision"] > after
                and row["key"].startswith(query["prefix"])
            ]
            remaining = deadline - time.monotonic()
            if events or remaining <= 0:
                return _respond(
                    200, {"events": events, "as_of": self._revision}
                )
            self._changed.clear()
            self._changed.wait(timeout=remaining)

    def _render(self, row):
        return {**row, **self._odd_fields.get(row["key"], {})}

    def _has_lost_history(self, after):
        if after >= self._revision:
            return after > self._revision
        return not self._log or self._log[0]["revision"] > after + 1

    def _transact(self, document):
        for row in document["expected_rev"]:
            item = self._items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                return _respond(412, {"items": [item] if item else []})
        for row in document["writes"]:
            if row["lease"] and row["lease"] not in self._lease_ends:
                return _respond(404)
        for row in document["writes"]:
            self._write(row["key"], base64.b64decode(row["value"]))
            if row["lease"]:
                gevent.spawn_later(
                    self._lease_ends[row["lease"]] - time.monotonic(),
                    self.remove,
                    row["key"],
                )
        for key in document["remove"]:
            if key in self._items:
                self.remove(key)
        return _respond(200, {"revision": self._revision})

    def _grant_lease(self, document):
        self._last_lease += 1
        ttl = _fields.parse_duration(document["ttl_time"])
        self._lease_ends[self._last_lease] = time.monotonic() + ttl
        return _respond(
            200,
            {"lease": self._last_lease, "ttl_time": document["ttl_time"]},
        )

    def _write(self, key, value):
        self._revision += 1
        previous = self._items.get(key)
        item = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self._revision,
            "created_rev": previous["created_rev"]
            if previous
            else self._revision,
            "lease": 0,
        }
        self._items[key] = item
        self._append(item)

    def _append(self, row):
        self._log.append(row)
        self._changed.set()


class StoreAddress(_emulated_server.EmulatedServer):
    """Another address of an EmulatedStore, with faults of its own."""

    def __init__(self, *, store):
        self._store = store
        super().__init__()

    def handle(self, request, sock):
        """Handle one call."""
        return self._store.handle(request, sock)


def _respond(status, document=None, headers=()):
    body = b"" if document is None else json.dumps(document).encode()
    return http1.HttpResponse(
        status=status,
        headers=(*headers, (b"content-type", b"application/json")),
        body=body,
    )
