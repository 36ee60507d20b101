"""Command that measures resource use per unit of size for docs/CAPACITY.md.

Each resource is measured at three sizes, and a line is fitted to them.
"""

import json
import statistics
import subprocess
import sys
import time
import urllib.request

import click
from gevent import pool
import geventhttpclient
from google.protobuf import json_format

from wigeonrouter import core
from wigeonrouter.bench import _capacity_parts
from wigeonrouter.bench import _measuring
from wigeonrouter.bench import _processes
from wigeonrouter.schema import settings_pb2

_STORE_ADDRESS = "127.0.0.1:27500"
_BACKEND_ADDRESSES = [f"127.0.0.1:{port}" for port in range(27510, 27518)]
_PORTS = (27520, 27521, 27522)
_ADMIN_ADDRESS = f"127.0.0.1:{_PORTS[1]}"
_DAEMON_ID = "entry-1"
_PLACE = core.Place(region="region-0", failure_domain="domain-0")
_SIZES_BY_PART = {
    "replica": (200, 600, 1700),
    "gossip": (50, 200, 800),
    "entries": (50, 200, 800),
    "node-configuration": (200, 600, 1700),
    "node-servers": (1500, 5000, 15000),
    "node-choice": (5, 20, 80),
    "node-queue": (10, 400, 5000),
    "node-roster": (15, 50, 150),
}
_CONNECTIONS = (4, 16, 64)
# Title, port, request target and number of requests.
_REQUEST_TYPES = (
    ("requests", _PORTS[0], "/load?n=1", 3000),
    ("entry queries", _PORTS[1], "/v1/entries?service=/load", 3000),
)
_IDLE_CONNECTIONS = (100, 300, 900)
_SERVICE_COUNTS = (200, 600, 1700)
_SERVICES_PER_CHANGE = 100


@click.command()
@click.option("--repeat", default=3, show_default=True)
@click.option("--node", is_flag=True, help="Only the measurements of a node.")
def capacity(repeat, node=False):
    """Measure the slopes from which docs/CAPACITY.md is calculated."""
    for part, sizes in _SIZES_BY_PART.items():
        if node and not part.startswith("node-"):
            continue
        rows = [_run_part(part, size, repeat) for size in sizes]
        _print(part, sizes, rows)
    if node:
        return
    with _processes.Fleet() as fleet:
        _start_processes(fleet)
        for title, port, target, count in _REQUEST_TYPES:
            rows = [
                _minimum_of_runs(
                    repeat, _measure_http, fleet, port, target, n, count
                )
                for n in _CONNECTIONS
            ]
            _print(f"{title} by connections", _CONNECTIONS, rows)
        rows = [_measure_idle(fleet, n) for n in _IDLE_CONNECTIONS]
        _print("idle caller connections", _IDLE_CONNECTIONS, rows)
        rows, services = [], 0
        for size in _SERVICE_COUNTS:
            _add_services(services, size)
            services = size
            rows.append(_minimum_of_runs(repeat, _measure_daemon_start, fleet))
        _print("start by services", _SERVICE_COUNTS, rows)


@click.command("capacity-part", hidden=True)
@click.argument("part", type=click.Choice(sorted(_capacity_parts.PARTS)))
@click.argument("size", type=int)
def capacity_part(part, size):
    """Run one measurement in this process and print its results as JSON."""
    click.echo(json.dumps(_capacity_parts.PARTS[part](size)))


def fit_line(sizes, values):
    """Return (slope, constant) of a least-squares line."""
    line = statistics.linear_regression(sizes, values)
    return line.slope, line.intercept


def _print(title, sizes, rows):
    click.echo(f"\n{title}")
    for size, row in zip(sizes, rows, strict=True):
        values_text = ", ".join(f"{k}={v:.6g}" for k, v in row.items())
        click.echo(f"  {size:6}: {values_text}")
    for name in rows[0]:
        slope, constant = fit_line(sizes, [row[name] for row in rows])
        click.echo(f"  {name}: {slope:.4g} each + {constant:.4g}")


def _run_part(part, size, repeat):
    command = [sys.executable, "-m", "wigeonrouter.bench.main"]
    command += ["capacity-part", part, str(size)]
    return _minimum_of_runs(
        repeat, lambda: json.loads(subprocess.check_output(command))
    )


def _minimum_of_runs(repeat, function, *arguments):
    """Return the minimum of each value over repeated runs.

    Other load on the machine can only increase the values.
    """
    rows = [function(*arguments) for _ in range(repeat)]
    return {name: min(row[name] for row in rows) for name in rows[0]}


def _start_processes(fleet):
    fleet.start_store(_STORE_ADDRESS)
    fleet.start_backends("backends", _BACKEND_ADDRESSES, service_ms=0)
    fleet.start_daemon(
        daemon_id=_DAEMON_ID,
        place=_PLACE,
        ports=_PORTS,
        store=_STORE_ADDRESS,
        entry_ttl_ms=100,
        log={"lines_per_second": 1},
    )
    node = settings_pb2.Node()
    node.settings.match.path_prefixes.append("/load")
    node.settings.kinds["read"].idempotent = True
    node.settings.limits.connections_per_server = 64
    for index, address in enumerate(_BACKEND_ADDRESSES):
        server = node.settings.groups["all"].servers[f"s{index}"]
        server.address = address
        server.region = _PLACE.region
        server.failure_domain = _PLACE.failure_domain
        server.slots = 32
    _put("/load", node)


def _put(path, node):
    body = json_format.MessageToJson(node, preserving_proto_field_name=True)
    request = urllib.request.Request(
        f"http://{_ADMIN_ADDRESS}/v1/config?path={path}"
        f"&change_id={time.time_ns()}",
        data=body.encode(),
        headers={"Authorization": f"Bearer {_processes.TOKEN}"},
        method="PUT",
    )
    with urllib.request.urlopen(request, timeout=60) as response:
        response.read()


def _measure_http(fleet, port, target, connections, count):
    """Measure the daemon's processor time and the wall time per request."""
    clients = [
        geventhttpclient.HTTPClient("127.0.0.1", port)
        for _ in range(connections)
    ]

    def call(client):
        for _ in range(count // connections):
            response = client.get(target)
            response.read()
            if response.status_code != 200:
                raise click.ClickException(f"status {response.status_code}")

    pid = fleet.pid(_DAEMON_ID)
    before, started = _measuring.process_cpu_seconds(pid), time.monotonic()
    pool.Pool(connections).map(call, clients)
    seconds = _measuring.process_cpu_seconds(pid) - before
    wall = time.monotonic() - started
    for client in clients:
        client.close()
    request_count = count // connections * connections
    return {
        "cpu_s_per_request": seconds / request_count,
        "wall_s_per_request": wall / request_count,
    }


def _measure_idle(fleet, connections):
    before = _measuring.resident_bytes(fleet.pid(_DAEMON_ID))
    clients = [
        geventhttpclient.HTTPClient("127.0.0.1", _PORTS[0])
        for _ in range(connections)
    ]
    for client in clients:
        client.get("/load?n=1").read()
    added_bytes = _measuring.resident_bytes(fleet.pid(_DAEMON_ID)) - before
    for client in clients:
        client.close()
    return {"resident_bytes": added_bytes}


def _add_services(first, last):
    """Add services to the settings tree, from number first up to last."""
    for start in range(first, last, _SERVICES_PER_CHANGE):
        node = settings_pb2.Node()
        for number in range(start, min(last, start + _SERVICES_PER_CHANGE)):
            _capacity_parts.fill_service(
                node.children[f"service-{number}"], number
            )
        _put(f"/team-{start}", node)


def _measure_daemon_start(fleet):
    """Measure time until a started daemon is ready, and its memory."""
    ports = tuple(port + 10 for port in _PORTS)
    started = time.monotonic()
    fleet.start_daemon(
        daemon_id="entry-2",
        place=_PLACE,
        ports=ports,
        store=_STORE_ADDRESS,
        entry_ttl_ms=100,
    )
    seconds = time.monotonic() - started
    resident = _measuring.resident_bytes(fleet.pid("entry-2"))
    fleet.end("entry-2")
    return {"ready_s": seconds, "resident_bytes": resident}
