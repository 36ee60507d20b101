"""Stand-in for a backend server with a fixed number of slots.

It executes each request for a fixed service time, counts the executions of
each request id, and reports its load in its responses. Faults are injected by
set_fault() or by an HTTP request to /_fault.
"""

import json
import time

import gevent
from gevent import lock
from gevent import server as gevent_server
from gevent import socket
import httptools

_NO_FAULTS = {
    "delay_ms": 0,
    "fail": False,
    "draining": False,
    "refuse": False,
    "silent": False,
    "truncate": False,
    "garble": False,
    # Bytes that are sent instead of the response, as Latin-1 text.
    "raw": "",
    # Close the connection after the response.
    "close": False,
}


class _Request:
    """Collects the parts of one request; implements httptools callbacks."""

    def __init__(self):
        self.url = b""
        self.headers = {}
        self.body = b""
        self.complete = False

    @property
    def request_id(self):
        """Id of the request, "" for none."""
        return self.headers.get(b"x-request-id", b"").decode()

    def on_url(self, url):
        self.url += url

    def on_header(self, name, value):
        self.headers[name.lower()] = value

    def on_body(self, body):
        self.body += body

    def on_message_complete(self):
        self.complete = True


class BackendStandin:
    """Serves HTTP on one address.

    Args:
      address: core.Address to listen on, port 0 for any free one.
      slots: number of requests that are executed concurrently.
      service_ms: service time of a request in milliseconds.
    """

    def __init__(self, *, address, slots=2, service_ms=5.0):
        self._slots = lock.Semaphore(slots)
        self._slot_count = slots
        self._service_time_s = service_ms / 1000
        self._in_flight = 0
        self._execution_counts = {}
        self._probe_times = []
        self._faults = dict(_NO_FAULTS)
        self._server = gevent_server.StreamServer(
            (address.host, address.port), self._serve
        )

    @property
    def execution_counts(self):
        """Dict from request id to its number of executions that started."""
        return dict(self._execution_counts)

    @property
    def in_flight(self):
        """Number of requests that are executed or wait for a slot."""
        return self._in_flight

    @property
    def probe_times(self):
        """Arrival times of probes, seconds on the monotonic clock."""
        return tuple(self._probe_times)

    @property
    def port(self):
        """Port that the server listens on."""
        return self._server.server_port

    def set_fault(self, **faults):
        """Set the named faults and clear all others.

        Args:
          faults: values for keys of _NO_FAULTS.
        """
        self._faults = {**_NO_FAULTS, **faults}

    def start(self):
        """Start to listen."""
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
                    if not self._respond(sock, request, parser):
                        break
                    request = _Request()
                    parser = httptools.HttpRequestParser(request)
        except (OSError, httptools.HttpParserError):
            pass
        finally:
            sock.close()

    def _respond(self, sock, request, parser):
        path = request.url.decode()
        if path == "/_runs":
            return _send(
                sock, 200, json.dumps(self._execution_counts).encode()
            )
        if path == "/_fault":
            self.set_fault(**json.loads(request.body))
            return _send(sock, 200, b"{}")
        if path == "/healthz":
            self._probe_times.append(time.monotonic())
            if self._faults["fail"]:
                return _send(sock, 500, b"", self._load_header())
            return _send(sock, 200, b"{}", self._load_header())
        if self._faults["refuse"] or self._faults["draining"]:
            headers = self._headers(request) + "X-Not-Run: 1\r\n"
            return _send(sock, 503, b"", headers)
        if self._faults["fail"]:
            return _send(sock, 500, b"", self._headers(request))
        self._in_flight += 1
        try:
            with self._slots:
                body = self._execute(sock, request, parser)
        finally:
            self._in_flight -= 1
        if self._faults["silent"]:
            _wait_unless_closed(sock, 3600)
        if self._faults["garble"]:
            sock.sendall(b"\x00\x01garbled\r\n\r\n")
            return False
        if self._faults["raw"]:
            sock.sendall(self._faults["raw"].encode("latin-1"))
            return not self._faults["close"]
        if self._faults["truncate"]:
            sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\npart")
            return False
        omit_body = parser.get_method() == b"HEAD"
        _send(sock, 200, body, self._headers(request), omit_body=omit_body)
        return not self._faults["close"]

    def _execute(self, sock, request, parser):
        request_id = request.request_id
        self._execution_counts[request_id] = (
            self._execution_counts.get(request_id, 0) + 1
        )
        started = time.time()
        _wait_unless_closed(
            sock, self._service_time_s + self._faults["delay_ms"] / 1000
        )
        return json.dumps(
            {
                "request_id": request_id,
                "path": request.url.decode(),
                "method": parser.get_method().decode(),
                "echo": request.body.decode("latin-1"),
                "started": started,
            }
        ).encode()

    def _headers(self, request):
        """Return the headers of a response, which name the id of a request."""
        headers = self._load_header()
        if request.request_id:
            headers += f"X-Request-Id: {request.request_id}\r\n"
        return headers

    def _load_header(self):
        state = "draining" if self._faults["draining"] else "ready"
        return (
            f"Backend-Load: in_flight={self._in_flight}, "
            f"slots={self._slot_count}, state={state}\r\n"
        )


def _wait_unless_closed(sock, seconds):
    """Wait for a number of seconds unless the peer closes the connection.

    Raises:
      ConnectionResetError: the peer closed the connection, which cancels the
        request.
    """
    if seconds <= 0:
        return
    deadline = time.monotonic() + seconds
    try:
        socket.wait_read(
            sock.fileno(), timeout=seconds, timeout_exc=TimeoutError
        )
    except TimeoutError:
        return
    if not sock.recv(1, socket.MSG_PEEK):
        raise ConnectionResetError("cancelled")
    gevent.sleep(max(0.0, deadline - time.monotonic()))


def _send(sock, status, body, headers="", omit_body=False):
    sock.sendall(
        (
            f"HTTP/1.1 {status} Status\r\nContent-Length: {len(body)}\r\n"
            f"Content-Type: application/json\r\n{headers}\r\n"
        ).encode()
        + (b"" if omit_body else body)
    )
    return True
