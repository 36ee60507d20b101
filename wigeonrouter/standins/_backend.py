"""Stand-in for a backend server with a few slots.

It runs each request for a set time, counts how often each request id ran,
and reports its load on every answer. Faults are set by HTTP on /_fault.
"""

import json
import time

import gevent
from gevent import lock
from gevent import server as gevent_server
from gevent import socket
import httptools

_DEFAULT_FAULT = {
    "delay_ms": 0,
    "fail": False,
    "draining": False,
    "refuse": False,
    "silent": False,
    "truncate": False,
    "garble": False,
    # Bytes sent in place of the answer, as Latin-1 text.
    "raw": "",
    # Close the connection after this answer.
    "close": False,
}


class _Request:
    """Collects one request for httptools."""

    def __init__(self):
        self.url = b""
        self.headers = {}
        self.body = b""
        self.complete = False

    def on_url(self, url):
        self.url += url

    def on_header(self, name, value):
        self.headers[name.lower()] = value

    def on_body(self, body):
        self.body += body

    def on_message_complete(self):
        self.complete = True


class BackendStandin:
    """Serves HTTP on one address."""

    def __init__(self, *, address, slots=2, service_ms=5.0):
        self._slots = lock.Semaphore(slots)
        self._slot_count = slots
        self._service = service_ms / 1000
        self._in_flight = 0
        self._runs = {}
        self._probes = []
        self._fault = dict(_DEFAULT_FAULT)
        self._server = gevent_server.StreamServer(
            (address.host, address.port), self._serve
        )

    @property
    def execution_counts(self):
        """Number of completed or started runs by request id."""
        return dict(self._runs)

    @property
    def in_flight(self):
        """Number of requests that wait for a slot or run."""
        return self._in_flight

    @property
    def probe_times(self):
        """Times at which probes arrived, seconds on the monotonic clock."""
        return tuple(self._probes)

    @property
    def port(self):
        """Port that the server listens on."""
        return self._server.server_port

    def set_fault(self, **fault):
        """Set faults; those not named are cleared."""
        self._fault = {**_DEFAULT_FAULT, **fault}

    def start(self):
        """Listen."""
        self._server.start()

    def stop(self):
        """Stop listening."""
        self._server.stop(timeout=0.1)

    def _serve(self, sock, _):
        sock.setsockopt(6, 1, 1)  # TCP_NODELAY
        request = _Request()
        parser = httptools.HttpRequestParser(request)
        try:
            while True:
                data = sock.recv(1 << 16)
                if not data:
                    break
                parser.feed_data(data)
                if request.complete:
                    if not self._answer(sock, request, parser):
                        break
                    request = _Request()
                    parser = httptools.HttpRequestParser(request)
        except (OSError, httptools.HttpParserError):
            pass
        finally:
            sock.close()

    def _answer(self, sock, request, parser):
        path = request.url.decode()
        if path == "/_runs":
            return _send(sock, 200, json.dumps(self._runs).encode())
        if path == "/_fault":
            self.set_fault(**json.loads(request.body))
            return _send(sock, 200, b"{}")
        if path == "/healthz":
            self._probes.append(time.monotonic())
            if self._fault["fail"]:
                return _send(sock, 500, b"", self._load())
            return _send(sock, 200, b"{}", self._load())
        if self._fault["refuse"] or self._fault["draining"]:
            load = self._load() + "X-Not-Run: 1\r\n"
            return _send(sock, 503, b"", load)
        if self._fault["fail"]:
            return _send(sock, 500, b"", self._load())
        self._in_flight += 1
        try:
            with self._slots:
                body = self._run(sock, request, parser)
        finally:
            self._in_flight -= 1
        if self._fault["silent"]:
            _wait_for_close(sock, 3600)
        if self._fault["garble"]:
            sock.sendall(b"\x00\x01garbled\r\n\r\n")
            return False
        if self._fault["raw"]:
            sock.sendall(self._fault["raw"].encode("latin-1"))
            return not self._fault["close"]
        if self._fault["truncate"]:
            sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\npart")
            return False
        head = parser.get_method() == b"HEAD"
        _send(sock, 200, body, self._load(), head=head)
        return not self._fault["close"]

    def _run(self, sock, request, parser):
        request_id = request.headers.get(b"x-request-id", b"").decode()
        self._runs[request_id] = self._runs.get(request_id, 0) + 1
        started = time.time()
        _wait_for_close(sock, self._service + self._fault["delay_ms"] / 1000)
        return json.dumps(
            {
                "request_id": request_id,
                "path": request.url.decode(),
                "method": parser.get_method().decode(),
                "echo": request.body.decode("latin-1"),
                "started": started,
            }
        ).encode()

    def _load(self):
        state = "draining" if self._fault["draining"] else "ready"
        return (
            f"Backend-Load: in_flight={self._in_flight}, "
            f"slots={self._slot_count}, state={state}\r\n"
        )


def _wait_for_close(sock, seconds):
    """Wait; a caller that closes its connection cancels the request."""
    if seconds <= 0:
        return
    ends = time.monotonic() + seconds
    try:
        socket.wait_read(
            sock.fileno(), timeout=seconds, timeout_exc=TimeoutError
        )
    except TimeoutError:
        return
    if not sock.recv(1, socket.MSG_PEEK):
        raise ConnectionResetError("cancelled")
    gevent.sleep(max(0.0, ends - time.monotonic()))


def _send(sock, status, body, headers="", head=False):
    sock.sendall(
        (
            f"HTTP/1.1 {status} Status\r\nContent-Length: {len(body)}\r\n"
            f"Content-Type: application/json\r\n{headers}\r\n"
        ).encode()
        + (b"" if head else body)
    )
    return True
