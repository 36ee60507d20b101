"""Client of the platform's metadata store."""

import base64
import binascii
import json
import time
from urllib import parse

import gevent

from wigeonrouter import http1
from wigeonrouter import store

_CONNECT_TIMEOUT_S = 0.5
_RANGE_PATH = "/api/kv-range"
_WATCH_PATH = "/api/kv-watch"
_TRANSACTION_PATH = "/api/kv-txn"
_MAX_ANSWER_BYTES = 64 << 20
# A watch and a few short calls at the same time.
_MAX_CONNECTIONS = 8
# An idle connection that is older is not trusted any more.
_MAX_IDLE_S = 30.0


class StoreClient:
    """Calls of one process to the store. Times are in seconds."""

    def __init__(self, *, address, timeout):
        self._address = address
        self._timeout = timeout
        self._pool = http1.ConnectionPool(max_idle=_MAX_IDLE_S)

    def list(self, prefix, *, stale=False):
        """Read all items whose keys have a prefix.

        Args:
          prefix: text, "" for all keys.
          stale: accept an answer that may be seconds old.
        Returns:
          store.Listing; a watch from its revision on misses nothing. The
          revision is that of the first page, and where the answer may be
          old, at most that of its newest item.
        Raises:
          StoreError: there was no usable answer.
        """
        items, revision, after = [], None, None
        while True:
            query = {"prefix": prefix}
            if stale:
                query["stale_ok"] = "1"
            if after is not None:
                query["after"] = after
            document = self._get(_RANGE_PATH, query, self._timeout)
            rows = _field(document, "items", list)
            items.extend(_read_item(row) for row in rows)
            if revision is None:
                revision = _field(document, "as_of", int)
            if not document.get("has_more") or not rows:
                if stale:
                    newest = max((item.version for item in items), default=1)
                    revision = min(revision, newest)
                return store.Listing(items=tuple(items), revision=revision)
            after = items[-1].key

    def watch(self, prefix, *, revision, wait):
        """Wait for changes after a revision.

        Returns:
          store.Events, without any where none came in time.
        Raises:
          store.HistoryLost: all items have to be listed again.
          StoreError: there was no usable answer.
        """
        document = self._get(
            _WATCH_PATH,
            {
                "prefix": prefix,
                "after": str(revision),
                "wait_ms": str(round(wait * 1000)),
            },
            wait + self._timeout,
        )
        return store.Events(
            changes=tuple(
                _read_item(row) for row in _field(document, "events", list)
            ),
            revision=_field(document, "as_of", int),
        )

    def create(self, key, value):
        """Write a key unless it exists.

        Returns:
          Whether it was written now.
        Raises:
          StoreReplyLost: it may have been written, or may be later.
          StoreError: it was not written.
        """
        expected = [{"key": key, "revision": 0}]
        return self._write(key, value, expected) == 200

    def write(self, key, value):
        """Write a key, whatever it holds; raises as create() does."""
        self._write(key, value, [])

    def _write(self, key, value, expected):
        body = json.dumps(
            {
                "expected_rev": expected,
                "writes": [
                    {
                        "key": key,
                        "value": base64.b64encode(value).decode("ascii"),
                        "lease": 0,
                    }
                ],
                "remove": [],
            }
        )
        status, _ = self._call("POST", _TRANSACTION_PATH, body, self._timeout)
        if status not in (200, 412):
            raise store.StoreUnavailable(f"status {status}")
        return status

    def close(self):
        """Close the connections that are not in use."""
        self._pool.close_idle_to(self._address)

    def _get(self, path, query, timeout):
        target = f"{path}?{parse.urlencode(query)}"
        status, document = self._call("GET", target, "", timeout)
        if status == 410:
            raise store.HistoryLost()
        if status != 200:
            raise store.StoreUnavailable(f"status {status}")
        return document

    def _call(self, method, target, body, timeout):
        try:
            with gevent.Timeout(timeout, TimeoutError("no answer in time")):
                response = self._exchange(method, target, body)
            return response.status, _parse(response.body)
        except (
            OSError,
            ValueError,
            http1.RequestNotSent,
            http1.MalformedMessage,
        ) as error:
            raise store.StoreReplyLost(
                f"{type(error).__name__}: {error}"
            ) from error

    def _exchange(self, method, target, body):
        self._pool.close_idle()
        connection = self._pool.checkout(
            address=self._address,
            limit=_MAX_CONNECTIONS,
            deadline=time.monotonic() + _CONNECT_TIMEOUT_S,
        )
        reusable = False
        try:
            connection.send(self._render(method, target, body))
            reader = http1.ResponseReader(
                receive=connection.receive, max_bytes=_MAX_ANSWER_BYTES
            )
            response = reader.read(method.encode("ascii"))
            reusable = reader.reusable
            return response
        finally:
            if reusable:
                self._pool.checkin(self._address, connection)
            else:
                # The connection may still bring bytes of a late answer.
                self._pool.discard(self._address, connection)

    def _render(self, method, target, body):
        data = body.encode()
        return (
            f"{method} {target} HTTP/1.1\r\nHost: {self._address}\r\n"
            "Content-Type: application/json\r\n"
            f"Content-Length: {len(data)}\r\n\r\n"
        ).encode() + data


def _parse(data):
    # A refusal need not carry a document.
    if not data.startswith(b"{"):
        return {}
    return json.loads(data)


def _field(document, name, kind):
    found = document.get(name) if isinstance(document, dict) else None
    if not isinstance(found, kind):
        raise store.StoreUnavailable(f"answer without {name}")
    return found


def _read_item(row):
    key = _field(row, "key", str)
    version = _field(row, "revision", int)
    if row.get("deleted"):
        return store.Item(key=key, value=None, version=version)
    try:
        value = base64.b64decode(_field(row, "value", str), validate=True)
    except binascii.Error as error:
        raise store.StoreUnavailable(f"value of {key}: {error}") from error
    return store.Item(key=key, value=value, version=version)
