"""Emulators of the platform's store and backend servers, for tests.

They speak the platform's protocol on loopback and inject faults on demand,
so that tests do not need the platform itself.
"""

import base64
import bisect
import dataclasses
import json
import time
from urllib import parse

import gevent
from gevent import event
from gevent import select
from gevent import server as gevent_server
from gevent import socket

from wigeonrouter import http1

_MAX_BODY_BYTES = 1 << 20
_PAGE_ITEMS = 500
# Interval at which a busy backend server checks whether the caller is still
# connected.
_CANCEL_CHECK_INTERVAL_S = 0.005
# Faults of a backend server that sends bytes until its caller closes: the
# start of the response, and what follows again and again.
_ENDLESS_BYTES = {
    "endless-garbage": (b"", b"\x00" * 4096),
    "endless-head": (b"HTTP/1.1 200 OK\r\n@id@", b"X-Padding: 1\r\n" * 300),
    "endless-interim": (b"", b"HTTP/1.1 103 Early Hints\r\n\r\n" * 100),
    "endless-body": (b"HTTP/1.1 200 OK\r\n@id@\r\n", b"x" * 65536),
    "endless-length": (
        b"HTTP/1.1 200 OK\r\n@id@Content-Length: 999999999999\r\n\r\n",
        b"x" * 65536,
    ),
    "endless-chunks": (
        b"HTTP/1.1 200 OK\r\n@id@Transfer-Encoding: chunked\r\n\r\n",
        b"10000\r\n" + b"x" * 65536 + b"\r\n",
    ),
    "endless-tiny-chunks": (
        b"HTTP/1.1 200 OK\r\n@id@Transfer-Encoding: chunked\r\n\r\n",
        b"1\r\nx\r\n" * 1000,
    ),
    "endless-chunk-line": (
        b"HTTP/1.1 200 OK\r\n@id@Transfer-Encoding: chunked\r\n\r\n",
        b"0" * 4096,
    ),
    "endless-trailers": (
        b"HTTP/1.1 200 OK\r\n@id@Transfer-Encoding: chunked\r\n\r\n0\r\n",
        b"X-Padding: 1\r\n" * 300,
    ),
}


def _respond(status, document=None, headers=()):
    body = b"" if document is None else json.dumps(document).encode()
    return http1.HttpResponse(
        status=status,
        headers=(*headers, (b"content-type", b"application/json")),
        body=body,
    )


class EmulatedServer:
    """Base class that accepts connections; subclasses handle requests.

    Attributes:
      silent: handle requests, but withhold responses while it is set.
      resetting: close each connection on its first request.
      losing: handle each request, then close instead of responding.
      delay: delay before each request is handled, seconds.
    """

    def __init__(self, *, port=0):
        self.silent = False
        self.resetting = False
        self.losing = False
        self.delay = 0.0
        self._connections = set()
        self._server = gevent_server.StreamServer(
            ("127.0.0.1", port), self._serve
        )
        self._server.start()

    @property
    def port(self):
        """Port that the server listens on."""
        return self._server.server_port

    @property
    def address(self):
        """Address of the server, as HOST:PORT."""
        return f"127.0.0.1:{self.port}"

    def stop(self):
        """Stop the server and close all connections immediately."""
        self._server.stop(timeout=0.1)
        for sock in list(self._connections):
            sock.close()

    def handle(self, request, sock):
        """Return the HttpResponse for a request, None to never respond."""
        raise NotImplementedError

    def closes_after_response(self):
        """Return whether the connection is closed after each response."""
        return False

    def _serve(self, sock, _):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._connections.add(sock)
        reader = http1.RequestReader(
            body_limit=lambda request: _MAX_BODY_BYTES
        )
        try:
            while True:
                request = reader.read(lambda: sock.recv(65536))
                if request is None or self.resetting:
                    return
                gevent.sleep(self.delay)
                response = self.handle(request, sock)
                if self.losing:
                    return
                while response is None or self.silent:
                    gevent.sleep(0.05)
                self.send(sock, request, response)
                if self.closes_after_response():
                    return
        except (OSError, http1.MalformedMessage):
            return
        finally:
            self._connections.discard(sock)
            sock.close()

    def send(self, sock, request, response):
        """Send a response."""
        sock.sendall(self.render(request, response))

    def render(self, request, response):
        """Return the bytes of a response."""
        return http1.render_response(
            response=response, close=False, method=request.method
        )


class EmulatedStore(EmulatedServer):
    """Emulates the metadata store.

    Attributes:
      refusing: respond with 503 to all calls.
      refusing_lists: respond with 503 to listings.
      calls: number of calls received.
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
        super().__init__()

    def put(self, key, document):
        """Write a JSON document; bytes are written unchanged."""
        value = document
        if not isinstance(document, bytes):
            value = json.dumps(document).encode()
        self._write(key, value)

    def remove(self, key):
        """Remove a key."""
        self._revision += 1
        self._items.pop(key, None)
        self._append({"key": key, "revision": self._revision, "deleted": True})

    def forget_history(self):
        """Drop the change history, so that watches of old revisions fail."""
        self._log.clear()

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

    def handle(self, request, sock):
        """Handle one call."""
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
        return _respond(404)

    def _range(self, query):
        items = self._items
        if self._old_items is not None and query.get("stale_ok") == "1":
            items = self._old_items
        keys = sorted(k for k in items if k.startswith(query["prefix"]))
        keys = keys[bisect.bisect_right(keys, query.get("after", "")) :]
        return _respond(
            200,
            {
                "items": [items[key] for key in keys[:_PAGE_ITEMS]],
                "has_more": len(keys) > _PAGE_ITEMS,
                "as_of": self._revision,
            },
        )

    def _watch(self, query):
        after = int(query["after"])
        deadline = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            oldest = self._log[0]["revision"] if self._log else None
            if after < self._revision and (
                oldest is None or oldest > after + 1
            ):
                return _respond(410)
            events = [
                row
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

    def _transact(self, document):
        for row in document["expected_rev"]:
            item = self._items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                return _respond(412, {"items": [item] if item else []})
        for row in document["writes"]:
            self._write(row["key"], base64.b64decode(row["value"]))
        return _respond(200, {"revision": self._revision})

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


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Run:
    """A request that a backend server has begun to execute.

    Attributes:
      deadline_ms: value of the request's deadline header, 0 without one.
      started: monotonic seconds.
    """

    request_id: str
    method: str
    target: str
    body: bytes
    deadline_ms: int
    started: float


class EmulatedBackend(EmulatedServer):
    """Emulates a backend server with a limited number of slots.

    Attributes:
      slowdown: current service time divided by the undisturbed one.
      runs: Run of each request that it began to execute.
      probes: number of health checks received.
      rejected_count: number of requests rejected for lack of a slot.
      arrivals: (monotonic seconds, ID) of each request, rejected or not.
      cancelled: IDs whose connection was closed before the response.
      ended: dict from ID to the end of its execution, monotonic seconds.
      fault: "" or one of "errors", "hang", "reset", "shed", "garbage",
        "truncate", "stray", "unframed", or a key of _ENDLESS_BYTES.
    """

    def __init__(
        self, *, instance, service, zone="za", service_time=0.02, slots=2
    ):
        self.instance = instance
        self.service = service
        self.slowdown = 1.0
        self.fault = ""
        self.runs = []
        self.probes = 0
        self.rejected_count = 0
        self.cancelled = []
        self.arrivals = []
        self.ended = {}
        self._zone = zone
        self._service_time = service_time
        self._slots = slots
        self._running = 0
        super().__init__()

    def registration(self, *, state="ready", sequence=1, **changes):
        """Return the server's registration as a JSON document."""
        return {
            "address": self.address,
            "info": {
                "service": self.service,
                "version": "v1",
                "zone": self._zone,
                "slots": self._slots,
            },
            "status": {
                "state": state,
                "seq": sequence,
                "warmup_left": "0ms",
            },
            **changes,
        }

    def handle(self, request, sock):
        """Handle one request or health check."""
        if request.target == b"/health":
            self.probes += 1
            return self._respond_with_load(request, 200, b"")
        self.arrivals.append(
            (time.monotonic(), request.header(b"request-id").decode())
        )
        expected = request.header(b"expect-instance").decode()
        if expected not in ("", self.instance):
            return self._respond_with_load(request, 421, b"")
        if self._running >= self._slots or self.fault == "shed":
            self.rejected_count += 1
            return self._respond_with_load(
                request, 503, b"", ((b"not-executed", b"1"),)
            )
        return self._run(request, sock)

    def render(self, request, response):
        """Return the bytes of a response, corrupted if a fault is set."""
        data = super().render(request, response)
        if request.target == b"/health":
            return data
        if self.fault == "garbage":
            return b"\x00garbage\r\n\r\n"
        if self.fault == "truncate":
            return data[:-3]
        if self.fault == "stray":
            stray = dataclasses.replace(
                response, headers=((b"request-id", b"other"),), fields=None
            )
            return super().render(request, stray) + data
        if self.fault == "unframed":
            length = b"content-length: %d\r\n" % len(response.body)
            return data.replace(length, b"")
        return data

    def send(self, sock, request, response):
        """Send a response, or bytes without end if such a fault is set."""
        endless = _ENDLESS_BYTES.get(self.fault)
        if endless is None or request.target == b"/health":
            super().send(sock, request, response)
            return
        start, repeated = endless
        request_id = b"Request-Id: %b\r\n" % request.header(b"request-id")
        sock.sendall(start.replace(b"@id@", request_id))
        while True:
            sock.sendall(repeated)

    def closes_after_response(self):
        """Return whether the connection is closed after each response."""
        return self.fault in ("unframed", "truncate")

    def _run(self, request, sock):
        self.runs.append(
            Run(
                request_id=request.header(b"request-id").decode(),
                method=request.method.decode(),
                target=request.target.decode(),
                body=request.body,
                deadline_ms=int(request.header(b"deadline-ms") or 0),
                started=time.monotonic(),
            )
        )
        if self.fault == "hang":
            return None
        if self.fault == "reset":
            raise ConnectionResetError("fault")
        self._running += 1
        try:
            self._execute(request, sock)
            status = 500 if self.fault == "errors" else 200
            return self._respond_with_load(
                request, status, b"body of " + request.target
            )
        finally:
            self._running -= 1
            request_id = request.header(b"request-id").decode()
            self.ended[request_id] = time.monotonic()

    def _execute(self, request, sock):
        ends_at = time.monotonic() + self._service_time * self.slowdown
        while time.monotonic() < ends_at:
            gevent.sleep(_CANCEL_CHECK_INTERVAL_S)
            if sock.fileno() < 0:
                raise ConnectionResetError("server stopped")
            poller = select.poll()
            poller.register(sock, select.POLLIN)
            if poller.poll(0) and not sock.recv(1, socket.MSG_PEEK):
                self.cancelled.append(request.header(b"request-id").decode())
                raise ConnectionResetError("caller disconnected")

    def _respond_with_load(self, request, status, body, headers=()):
        load = f"{self._running},0,{self._slots},{self.slowdown * 100:.0f}"
        return http1.HttpResponse(
            status=status,
            headers=(
                *headers,
                (b"request-id", request.header(b"request-id")),
                (b"server-stamp", b"stamp." + self.instance.encode()),
                (b"instance-id", self.instance.encode()),
                (b"server-load", load.encode()),
            ),
            body=body,
        )
