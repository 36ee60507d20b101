"""Fixtures that run nodes on loopback with emulated servers and callers."""

import dataclasses
import time

import gevent
from gevent import server as gevent_server
import geventhttpclient
import pytest

from wigeonrouter import core
from wigeonrouter import events as events_api
from wigeonrouter import node as node_api
from wigeonrouter import topology
from wigeonrouter.bench import _ports
from wigeonrouter.platform import _emulator
from wigeonrouter.platform import _feed
from wigeonrouter.platform import _http
from wigeonrouter.platform import _store

HOST = "shop.example"
_READY_TIMEOUT_S = 10.0
_HOSTS = ("127.0.0.11", "127.0.0.12", "127.0.0.13")
# Pause between two segments, so that they are received one after the other.
_SEGMENT_PAUSE_S = 0.02


def configuration(version=1, **changes):
    """Return an operator's configuration as a JSON document."""
    routes = {
        "r-read": {
            "host": HOST,
            "prefix": "/read/",
            "kind": "safe",
            "timeout": "1000ms",
            "target_latency": "200ms",
            "priority": 1,
            "service": "alpha",
            "max_attempts": 2,
        },
        "r-write": {
            "host": HOST,
            "prefix": "/write/",
            "kind": "unsafe",
            "timeout": "1000ms",
            "target_latency": "200ms",
            "priority": 0,
            "service": "alpha",
            "max_attempts": 2,
        },
    }
    routes.update(changes.pop("routes", {}))
    return {
        "version": f"{version:08x}",
        "routes": {name: r for name, r in routes.items() if r},
        "services": {
            name: {"health_path": "/health", "max_conns": 100}
            for name in ("alpha", "beta")
        },
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 1 << 20,
            "header_timeout": "3000ms",
            "idle_timeout": "15000ms",
        },
        **changes,
    }


@dataclasses.dataclass(kw_only=True)
class TimedResponse:
    """A response that a caller received, and its latency in seconds."""

    status: int
    body: bytes
    headers: dict
    seconds: float


class Caller:
    """Sends requests to a node, each over a new connection."""

    def __init__(self, *, address):
        self._address = address
        self._number = 0

    def send(
        self,
        path,
        *,
        method="GET",
        body=b"",
        remaining=2000,
        request_id=None,
        host=HOST,
        headers=(),
    ):
        """Send a request and return the TimedResponse.

        `remaining` is the request's deadline in ms, `headers` are pairs of
        further headers.
        """
        self._number += 1
        client = geventhttpclient.HTTPClient(
            self._address.host,
            self._address.port,
            network_timeout=remaining / 1000 + 1,
        )
        started = time.monotonic()
        response = client.request(
            method,
            path,
            body,
            {
                "Host": host,
                "Request-Id": request_id or f"id-{self._number}",
                "Deadline-Ms": str(remaining),
                **dict(headers),
            },
        )
        result = TimedResponse(
            status=response.status_code,
            body=bytes(response.read()),
            headers={k.lower(): v for k, v in response.items()},
            seconds=time.monotonic() - started,
        )
        client.close()
        return result


@pytest.fixture
def store():
    """Run an emulated store with a configuration."""
    server = _emulator.EmulatedStore()
    server.put("op/config", configuration())
    yield server
    server.stop()


@pytest.fixture
def backend(store):
    """Return a function that runs a registered backend server."""
    servers = []

    def start(instance, *, service="alpha", **options):
        server = _emulator.EmulatedBackend(
            instance=instance, service=service, **options
        )
        servers.append(server)
        store.put(f"servers/{instance}", server.registration())
        return server

    yield start
    for server in servers:
        server.stop()


@pytest.fixture
def free_port():
    """Return a function that returns a free port."""
    return lambda: _ports.free_ports(1)[0]


@pytest.fixture
def make_settings(store, free_port):
    """Return a function that makes topology.NodeSettings on loopback."""

    def make(name="node-1", host="127.0.0.1", **changes):
        settings = topology.NodeSettings(
            name=name,
            place=core.Place(region="r1", failure_domain="za"),
            host=host,
            caller_address=core.Address(host=host, port=free_port()),
            readiness_address=core.Address(host=host, port=free_port()),
            directory_address=core.Address(host=host, port=free_port()),
            control_address=core.Address(host=host, port=free_port()),
            store_address=core.parse_address(store.address),
            peer_ports=(free_port(), 0),
            seeds=(),
            capacity=1000,
            memory_bytes=200_000_000,
            regions={"za": "r1", "zb": "r1", "zc": "r2"},
            heartbeat=1.5,
            bounds=topology.Bounds(stop_grace=1.0, retry_ratio=0.2),
        )
        return dataclasses.replace(settings, **changes)

    return make


@pytest.fixture
def start_node():
    """Return a function that starts a node and waits until it is ready."""
    nodes = []

    def start(settings, *, servers=0, wait=True, make_feed=_feed.StoreFeed):
        node = node_api.Node(
            settings=settings,
            feed=make_feed(
                client=_store.StoreClient(
                    address=settings.store_address, timeout=0.5
                ),
                regions=settings.regions,
            ),
            codec=_http.HttpCodec(),
            events=events_api.EventLog(lines_per_second=0),
        )
        nodes.append(node)
        node.start()
        if wait:
            wait_until(lambda: node.ready and len(node.servers) >= servers)
        return node

    yield start
    for node in nodes:
        node.kill()


def wait_until(condition, timeout=_READY_TIMEOUT_S):
    """Wait for a condition; fail if it is not true within `timeout` s."""
    deadline = time.monotonic() + timeout
    while not condition():
        assert time.monotonic() < deadline, "condition was not met in time"
        gevent.sleep(0.01)


def start_ready(backend, node, *instances, **options):
    """Start backend servers and wait until the node knows them."""
    servers = [backend(instance, **options) for instance in instances]
    wait_until(lambda: set(instances) <= node.servers)
    return servers


@pytest.fixture
def node(make_settings, start_node):
    """Run one node without backend servers."""
    return start_node(make_settings(first_start=True))


@pytest.fixture
def caller(node):
    """Return a Caller of the node."""
    return Caller(address=node.settings.caller_address)


def hubs(nodes):
    """Return the nodes that are hubs."""
    kind = topology.RoleKind.HUB
    return [node for node in nodes if node.region_member.role.kind is kind]


def followers(nodes):
    """Return the number of nodes that are followers."""
    kind = topology.RoleKind.FOLLOWER
    return sum(node.region_member.role.kind is kind for node in nodes)


def callers_of(nodes):
    """Return a Caller of each node."""
    return [Caller(address=node.settings.caller_address) for node in nodes]


def home_of(nodes):
    """Return the node of a region that the directory names."""
    directory = Caller(address=nodes[0].settings.directory_address)
    body = directory.send(f"/api/resolve?name={HOST}&region=r1").body
    return next(
        node
        for node in nodes
        if str(node.settings.caller_address).encode() in body
    )


@pytest.fixture
def region(make_settings, start_node, free_port):
    """Run three nodes of a region and wait for one hub and two followers.

    The whole system starts for the first time.
    """
    port = free_port()
    nodes = [
        start_node(
            make_settings(
                f"node-{host}", host, peer_ports=(port, 0), first_start=True
            )
        )
        for host in _HOSTS
    ]
    wait_until(lambda: len(hubs(nodes)) == 1 and followers(nodes) == 2)
    wait_until(
        lambda: all(len(node.region_member.peers) == 3 for node in nodes)
    )
    return nodes


@pytest.fixture
def scripted_server():
    """Return a function that runs a server which sends prepared bytes.

    Args:
      segments_by_request: for each request on a connection, an iterable of
        the segments that the server sends.
    Returns:
      The server's core.Address.
    """
    servers = []

    def start(segments_by_request):
        def serve(sock, _):
            for segments in segments_by_request:
                if not sock.recv(65536):
                    return
                for segment in segments:
                    sock.sendall(segment)
                    gevent.sleep(_SEGMENT_PAUSE_S)
            sock.recv(1)

        server = gevent_server.StreamServer(("127.0.0.1", 0), serve)
        server.start()
        servers.append(server)
        return core.Address(host="127.0.0.1", port=server.server_port)

    yield start
    for server in servers:
        server.stop(timeout=0.1)
