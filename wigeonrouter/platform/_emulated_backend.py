"""Emulator of a backend server with slots and faults, for tests."""

import dataclasses
import time

import gevent
from gevent import select
from gevent import socket

from wigeonrouter import http1
from wigeonrouter.platform import _emulated_server
from wigeonrouter.platform import _surplus_responses

# Interval at which a busy backend server checks whether the caller is still
# connected.
_CANCEL_CHECK_INTERVAL_S = 0.005
# Pause in the middle of a response in halves.
_HALVES_PAUSE_S = 0.8
# Faults of a backend server that sends bytes until its caller closes: the
# start of the response, and what follows again and again.
ENDLESS_BYTES = {
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


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Run:
    """A request that a backend server has begun to execute.

    Attributes:
      deadline_ms: value of the request's deadline header, 0 without one.
      started: monotonic seconds.
      headers: pairs of name in lower case and value.
    """

    request_id: str
    method: str
    target: str
    body: bytes
    deadline_ms: int
    started: float
    headers: tuple[tuple[bytes, bytes], ...] = ()


class EmulatedBackend(_emulated_server.EmulatedServer):
    """Emulates a backend server with a limited number of slots.

    Attributes:
      slowdown: current service time divided by the undisturbed one.
      extra_time: seconds that requests take longer, which no response tells.
      rate_limit: limit that its responses name, requests per second; None
        for no limit. The server does not enforce it.
      cold_until: time until which its responses to health checks say that it
        is cold, monotonic seconds.
      names_limit_in_probes: whether responses to health checks name it too.
      names_instance_in_probes: whether responses to health checks name the
        instance.
      surplus: SurplusWriter, which writes earlier responses again if its
        option says so.
      runs: Run of each request that it began to execute.
      probes: number of health checks received.
      rejected_count: number of requests rejected for lack of a slot.
      arrivals: (monotonic seconds, ID) of each request, rejected or not.
      misdirected: those of them that were meant for another instance.
      cancelled: IDs whose connection was closed before the response.
      ended: dict from ID to the end of its execution, monotonic seconds.
      leaving: whether all of its responses say that it is about to end.
      pause: text of the Retry-After in its rejections, None for none.
      resting: whether it rejects all requests.
      run_status: status of the responses to requests that it ran.
      crash_target: the server ends when it runs a request with this target;
        None for no such target.
      on_crash: called with the server after it has ended so.
      fault: "" or one of "errors", "hang", "reset", "shed", "garbage",
        "truncate", "cut-head", "stray", "unframed", "unframed-halves", or a
        key of ENDLESS_BYTES.
    """

    def __init__(
        self, *, instance, service, zone="za", service_time=0.02, slots=2
    ):
        self.instance = instance
        self.service = service
        self.slowdown = 1.0
        self.extra_time = 0.0
        self.rate_limit = None
        self.cold_until = float("-inf")
        self.names_limit_in_probes = True
        self.names_instance_in_probes = True
        self.surplus = _surplus_responses.SurplusWriter()
        self.leaving = False
        self.pause = None
        self.resting = False
        self.run_status = 200
        self.crash_target = None
        self.on_crash = lambda server: None
        self.fault = ""
        self.runs = []
        self.probes = 0
        self.rejected_count = 0
        self.cancelled = []
        self.arrivals = []
        self.misdirected = set()
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

    def prepare(self, request, sock):
        """Write the surplus responses that are due before the request."""
        self.surplus.on_request(sock, request.header(b"request-id"))

    def handle(self, request, sock):
        """Handle one request or health check."""
        if request.target == b"/health":
            self.probes += 1
            return self._respond_with_load(request, 200, b"")
        arrival = (time.monotonic(), request.header(b"request-id").decode())
        self.arrivals.append(arrival)
        expected = request.header(b"expect-instance").decode()
        if expected not in ("", self.instance):
            self.misdirected.add(arrival)
            return self._respond_with_load(request, 421, b"")
        if (
            self._running >= self._slots
            or self.resting
            or self.fault == "shed"
        ):
            self.rejected_count += 1
            return self._respond_with_load(
                request,
                503,
                b"",
                ((b"not-executed", b"1"), *self._pause_headers()),
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
        if self.fault == "cut-head":
            return data[: data.index(b"\r\n\r\n") - 3]
        if self.fault == "stray":
            stray = dataclasses.replace(
                response, headers=((b"request-id", b"other"),), fields=None
            )
            return super().render(request, stray) + data
        if self.fault in ("unframed", "unframed-halves"):
            length = b"content-length: %d\r\n" % len(response.body)
            return data.replace(length, b"")
        return data

    def send(self, sock, request, response):
        """Send a response, in halves or without end if a fault says so."""
        if self.fault == "unframed-halves" and request.target != b"/health":
            data = self.render(request, response)
            middle = len(data) - len(response.body) // 2
            sock.sendall(data[:middle])
            gevent.sleep(_HALVES_PAUSE_S)
            sock.sendall(data[middle:])
            return
        endless = ENDLESS_BYTES.get(self.fault)
        if endless is None or request.target == b"/health":
            super().send(sock, request, response)
            self._copy(sock, request, response)
            return
        start, repeated = endless
        request_id = b"Request-Id: %b\r\n" % request.header(b"request-id")
        sock.sendall(start.replace(b"@id@", request_id))
        while True:
            sock.sendall(repeated)

    def _copy(self, sock, request, response):
        """Offer a response to the writer of surplus responses."""
        if not self.fault:
            self.surplus.on_response(
                sock,
                request.header(b"request-id"),
                self.render(request, response),
            )

    def closes_after_response(self):
        """Return whether the connection is closed after each response."""
        return self.fault in (
            "unframed",
            "unframed-halves",
            "truncate",
            "cut-head",
        )

    def _run(self, request, sock):
        self.runs.append(
            Run(
                request_id=request.header(b"request-id").decode(),
                method=request.method.decode(),
                target=request.target.decode(),
                body=request.body,
                deadline_ms=int(request.header(b"deadline-ms") or 0),
                started=time.monotonic(),
                headers=request.headers,
            )
        )
        if request.target == self.crash_target:
            gevent.sleep(self._service_time)
            self.stop()
            self.on_crash(self)
            raise ConnectionResetError("crashed")
        if self.fault == "hang":
            return None
        if self.fault == "reset":
            raise ConnectionResetError("fault")
        self._running += 1
        try:
            self._execute(request, sock)
            status = 500 if self.fault == "errors" else self.run_status
            return self._respond_with_load(
                request, status, b"body of " + request.target
            )
        finally:
            self._running -= 1
            request_id = request.header(b"request-id").decode()
            self.ended[request_id] = time.monotonic()

    def _execute(self, request, sock):
        service_time = self._service_time * self.slowdown + self.extra_time
        ends_at = time.monotonic() + service_time
        while time.monotonic() < ends_at:
            gevent.sleep(_CANCEL_CHECK_INTERVAL_S)
            self.wait_until_moving()
            if sock.fileno() < 0:
                raise ConnectionResetError("server stopped")
            poller = select.poll()
            poller.register(sock, select.POLLIN)
            if poller.poll(0) and not sock.recv(1, socket.MSG_PEEK):
                self.cancelled.append(request.header(b"request-id").decode())
                raise ConnectionResetError("caller disconnected")

    def _respond_with_load(self, request, status, body, headers=()):
        is_probe = request.target == b"/health"
        load = f"{self._running},0,{self._slots},{self.slowdown * 100:.0f}"
        return http1.HttpResponse(
            status=status,
            headers=(
                *headers,
                (b"request-id", request.header(b"request-id")),
                (b"server-stamp", b"stamp." + self.instance.encode()),
                *(
                    [(b"instance-id", self.instance.encode())]
                    if self.names_instance_in_probes or not is_probe
                    else ()
                ),
                (b"server-load", load.encode()),
                *self._limit_headers(request),
                *self._cold_headers(request),
                *([(b"server-leaving", b"1")] if self.leaving else ()),
            ),
            body=body,
        )

    def _pause_headers(self):
        if self.pause is None:
            return ()
        return ((b"retry-after", str(self.pause).encode()),)

    def _cold_headers(self, request):
        left = self.cold_until - time.monotonic()
        if request.target != b"/health" or left <= 0.0:
            return ()
        return ((b"warmup-ms", b"%d" % (left * 1000)),)

    def _limit_headers(self, request):
        if self.rate_limit is None or (
            request.target == b"/health" and not self.names_limit_in_probes
        ):
            return ()
        return ((b"server-limit", b"%g" % self.rate_limit),)
