"""Client of the platform's metadata store."""

import base64
import binascii
import json
from urllib import parse

import gevent
import geventhttpclient
from geventhttpclient import response as http_response

from wigeonrouter import store

_CONNECT_TIMEOUT_S = 0.5
# Longer than any wait of a watch and its answer.
_MAX_CALL_S = 60.0
_RANGE_PATH = "/api/kv-range"
_WATCH_PATH = "/api/kv-watch"
_TRANSACTION_PATH = "/api/kv-txn"
_JSON = {"Content-Type": "application/json"}


class StoreClient:
    """Calls of one process to the store. Times are in seconds."""

    def __init__(self, *, address, timeout):
        self._address = address
        self._timeout = timeout
        self._client = None

    def list(self, prefix, *, stale=False):
        """Read all items whose keys have a prefix.

        Args:
          prefix: text, "" for all keys.
          stale: accept an answer that may be seconds old.
        Returns:
          store.Listing; its revision is that of the first page: a watch
          from there on misses nothing.
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
        body = json.dumps(
            {
                "expected_rev": [{"key": key, "revision": 0}],
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
        if status in (200, 412):
            return status == 200
        raise store.StoreUnavailable(f"status {status}")

    def close(self):
        """Close the connection."""
        if self._client is not None:
            self._client.close()
            self._client = None

    def _get(self, path, query, timeout):
        target = f"{path}?{parse.urlencode(query)}"
        status, document = self._call("GET", target, "", timeout)
        if status == 410:
            raise store.HistoryLost()
        if status != 200:
            raise store.StoreUnavailable(f"status {status}")
        return document

    def _call(self, method, target, body, timeout):
        if self._client is None:
            self._client = geventhttpclient.HTTPClient(
                self._address.host,
                self._address.port,
                connection_timeout=_CONNECT_TIMEOUT_S,
                network_timeout=_MAX_CALL_S,
                disable_ipv6=True,
            )
        whole = False
        try:
            with gevent.Timeout(timeout, TimeoutError("no answer in time")):
                response = self._client.request(
                    method, target, body, _JSON if body else None
                )
                data = bytes(response.read())
            document = _parse(data)
            whole = True
            return response.status_code, document
        except (OSError, ValueError, http_response.HTTPParseError) as error:
            raise store.StoreReplyLost(
                f"{type(error).__name__}: {error}"
            ) from error
        finally:
            if not whole:
                # The connection may still bring bytes of a late answer.
                self.close()


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
