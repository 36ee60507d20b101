"""Fixtures: a caller server and handler with two backend stand-ins."""

import json
import random

import gevent
from gevent import socket
import pytest

from wigeonrouter import core
from wigeonrouter import request_path
from wigeonrouter import standins

PLACE = core.Place(region="north", failure_domain="north-a")
KINDS = (
    core.TrafficKind(
        name="read", idempotent=True, methods=frozenset(("GET", "HEAD"))
    ),
    core.TrafficKind(
        name="write", idempotent=False, methods=frozenset(("POST",))
    ),
    core.TrafficKind(name="search", idempotent=True, path_prefixes=("/s",)),
    core.TrafficKind(name="sell", idempotent=False, path_prefixes=("/s/w",)),
)


class PathHarness:
    """Caller server and request handler with one service on two servers."""

    def __init__(self, backends, *, daemon_id="d1", claim=None, **server):
        self.backends = backends
        self.member = core.Member(
            daemon_id=daemon_id,
            incarnation=1,
            state=core.MemberState.ALIVE,
            place=PLACE,
            caller_address=None,
            admin_address=None,
            peer_address=None,
        )
        self.records = []
        self.handler = request_path.RequestHandler(
            place=PLACE,
            own_member=lambda: self.member,
            claim_from_peer=claim or (lambda *_: None),
            observe=self.records.append,
            rng=random.Random(1),
        )
        self.server = request_path.CallerServer(
            address=core.Address(host="127.0.0.1", port=0),
            handler=self.handler,
            **server,
        )
        self.configure()
        self.server.start()

    def configure(self, *, retries=None, **limits):
        """Apply the retry settings and limits to the service."""
        service = core.EffectiveService(
            name="/s",
            match=core.MatchSettings(path_prefixes=("/",)),
            kinds=KINDS,
            servers=tuple(
                core.BackendServer(
                    name=f"b{number}",
                    address=core.Address(host="127.0.0.1", port=backend.port),
                    place=PLACE,
                )
                for number, backend in enumerate(self.backends)
            ),
            limits=core.LimitSettings(**limits),
            retries=retries or core.RetrySettings(),
        )
        self.handler.reconfigure({"/s": service})

    def set_faults(self, *faults):
        """Set one fault for each backend server, in order."""
        for backend, fault in zip(self.backends, faults, strict=True):
            backend.set_fault(**fault)

    def runs(self, request_id):
        """Return how many times the backend servers ran a request."""
        return sum(
            b.execution_counts.get(request_id, 0) for b in self.backends
        )

    def connect(self):
        """Return a new caller connection."""
        return socket.create_connection(
            ("127.0.0.1", self.server.port), timeout=10
        )

    def assert_released(self):
        """Wait until all slots and permits are released; check the queues."""
        wait_until(
            lambda: (
                self.handler.connections_in_use == 0
                and all(
                    view.in_flight == 0
                    for dispatcher in self.handler.dispatchers.values()
                    for view in dispatcher.views
                )
            )
        )
        for dispatcher in self.handler.dispatchers.values():
            assert dispatcher.queue_length == 0


class CallerResponse:
    """A response that a caller received.

    Attributes:
      reusable: whether the connection is reusable, that is, the response ended
        where its headers say and no surplus bytes followed.
    """

    def __init__(self, response, reusable):
        self.reusable = reusable
        self.status = response.status
        self.headers = dict(response.headers)
        self.body = response.body
        self.outcome = self.headers.get(b"x-outcome", b"ok").decode()

    @property
    def problem(self):
        """Name of the problem type, or ""."""
        if self.headers.get(b"content-type") != b"application/problem+json":
            return ""
        return json.loads(self.body)["type"].rpartition(":")[2]


def render(method="POST", *, request_id="", body=b"x", target="/r", **headers):
    """Return the bytes of a caller's request."""
    lines = [f"{method} {target} HTTP/1.1", "Host: a"]
    if request_id:
        lines.append(f"X-Request-Id: {request_id}")
    if method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    lines += [f"{k.replace('_', '-')}: {v}" for k, v in headers.items()]
    head = "\r\n".join([*lines, "", ""]).encode("latin-1")
    return head + (body if method == "POST" else b"")


def receive_response(sock, method="POST"):
    """Read one CallerResponse from a caller's socket."""
    response, reusable = request_path.read_response(
        receive=lambda: sock.recv(65536),
        method=method.encode(),
        max_bytes=1 << 24,
    )
    return CallerResponse(response, reusable)


def send(path, method="POST", **request):
    """Send a request on a new connection; return its CallerResponse."""
    with path.connect() as sock:
        sock.sendall(render(method, **request))
        return receive_response(sock, method)


def wait_until(condition, seconds=10.0):
    """Wait until a condition holds; the timeout allows for slow machines."""
    with gevent.Timeout(
        seconds, AssertionError("condition did not hold in time")
    ):
        while not condition():
            gevent.sleep(0.005)


@pytest.fixture
def backends():
    """Two running backend stand-ins."""
    running = [
        standins.BackendStandin(
            address=core.Address(host="127.0.0.1", port=0), service_ms=1
        )
        for _ in range(2)
    ]
    for backend in running:
        backend.start()
    yield running
    for backend in running:
        backend.stop()


@pytest.fixture
def path(backends):
    """A PathHarness."""
    harness = PathHarness(backends)
    yield harness
    harness.server.stop()
