"""Measures the latency that the daemon adds and its throughput."""

import json
import pathlib
import subprocess
import sys
import tempfile
import time

import click

from wigeonrouter import core
from wigeonrouter.bench import _measuring
from wigeonrouter.bench import _processes
from wigeonrouter.bench import _result_lines

# Required upper bound on the 99th percentile of the added latency.
ADDED_P99_BOUND_MS = 0.42
# Number of callers and mean think time of each in seconds. The load stays far
# below saturation, where queueing delay would dominate the daemon's own work.
_LOAD_LEVELS = ((1, 0.004), (8, 0.020), (32, 0.080))
_SATURATING_CALLERS = 32
_BACKEND_COUNT = 16
_REQUEST = (
    "POST /echo HTTP/1.1\r\nHost: bench\r\nX-Request-Id: {id}\r\n"
    "X-Tenant: bench\r\nX-Request-Timeout-Ms: 2000\r\n"
    "Content-Type: application/json\r\nContent-Length: 20\r\n\r\n"
    '{"lane":4,"hour":19}'
)


@click.command()
@click.option("--port", default=25000, show_default=True, help="first port")
@click.option("--seconds", default=10.0, show_default=True, help="per level")
@click.option("--seed", default=1, show_default=True)
def latency(port, seconds, seed):
    """Compare direct requests with requests through the daemon.

    Each caller alternates between the two.
    """
    backends = [f"127.0.0.1:{port + 100 + n}" for n in range(_BACKEND_COUNT)]
    with _processes.Fleet() as fleet:
        _start_processes(fleet, port, backends)
        daemon = [f"127.0.0.1:{port}"]
        _run_generator(daemon, backends, 8, 0.01, 2.0, seed)
        for callers, think_time in _LOAD_LEVELS:
            result = _run_generator(
                daemon, backends, callers, think_time, seconds, seed
            )
            _report_level(callers, result)
        pid = fleet.pid("bench-1")
        _report_throughput(pid, daemon, seconds / 2, seed)


def _start_processes(fleet, port, backends):
    store = f"127.0.0.1:{port + 10}"
    fleet.start_store(store)
    half = len(backends) // 2
    for name, part in (("a", backends[:half]), ("b", backends[half:])):
        fleet.start_backends(f"backends-{name}", part, service_ms=0)
    fleet.start_daemon(
        daemon_id="bench-1",
        place=core.Place(region="north", failure_domain="north-a"),
        ports=(port, port + 1, port + 2),
        store=store,
        entry_ttl_ms=1000,
    )
    with tempfile.TemporaryDirectory() as directory:
        path = pathlib.Path(directory, "settings.json")
        path.write_text(json.dumps(_settings(backends)))
        _processes.run_cli(
            "apply", "/bench", str(path), server=f"127.0.0.1:{port + 1}"
        )
    time.sleep(1)


def _settings(backends):
    servers = {
        f"server-{number:02}": {
            "address": address,
            "region": "north",
            "failure_domain": "north-a",
            "slots": 2,
        }
        for number, address in enumerate(backends)
    }
    return {
        "children": {
            "echo": {
                "settings": {
                    "match": {"path_prefixes": ["/echo"]},
                    "kinds": {"write": {"idempotent": False}},
                    "groups": {"all": {"servers": servers}},
                }
            }
        }
    }


def _run_generator(daemon, backends, callers, think_time, seconds, seed):
    """Run the load generator; return its results as a dict.

    Without backends, all requests go through the daemon.
    """
    targets = [[_host_and_port(address) for address in daemon]]
    if backends:
        targets.append([_host_and_port(address) for address in backends])
    plan = {
        "targets": targets,
        "request": _REQUEST,
        "callers": callers,
        "think_s": think_time,
        "duration_s": seconds,
        # Request ids must be unique across runs.
        "seed": f"{seed}-{callers}-{think_time}-{seconds}",
    }
    done = subprocess.run(
        [
            sys.executable,
            "-m",
            "wigeonrouter.bench._generator",
            json.dumps(plan),
        ],
        check=True,
        capture_output=True,
        text=True,
        timeout=seconds + 60,
    )
    return json.loads(done.stdout)


def _host_and_port(address):
    parsed = core.parse_address(address)
    return parsed.host, parsed.port


def _report_level(callers, result):
    through_daemon, direct = (sorted(values) for values in result["latencies"])
    paired = sorted(a - b for a, b in zip(*result["latencies"], strict=True))
    name = f"{callers} callers"
    _print_result(f"{name}: pairs", len(paired), "1")
    _print_result(f"{name}: failures", result["failures"], "1", 0)
    _print_result(f"{name}: direct p50", _percentile_ms(direct, 50), "ms")
    _print_result(f"{name}: direct p99", _percentile_ms(direct, 99), "ms")
    for percent, bound in ((50, None), (99, ADDED_P99_BOUND_MS)):
        added = _percentile_ms(through_daemon, percent) - _percentile_ms(
            direct, percent
        )
        _print_result(f"{name}: added p{percent}", added, "ms", bound)
    _print_result(
        f"{name}: paired difference p99",
        _percentile_ms(paired, 99),
        "ms",
        ADDED_P99_BOUND_MS,
    )


def _report_throughput(pid, daemon, seconds, seed):
    before = _measuring.process_cpu_seconds(pid)
    result = _run_generator(
        daemon, (), _SATURATING_CALLERS, 0.0, seconds, seed
    )
    cpu_seconds = _measuring.process_cpu_seconds(pid) - before
    count = len(result["latencies"][0])
    _print_result("saturated: failures", result["failures"], "1", 0)
    _print_result("saturated: throughput", count / result["elapsed_s"], "1/s")
    _print_result("per core: throughput", count / cpu_seconds, "1/s")
    _print_result(
        "per request: processor time", cpu_seconds / count * 1e6, "us"
    )


def _print_result(name, value, unit, bound=None):
    _result_lines.write_line(name=name, value=value, unit=unit, bound=bound)


def _percentile_ms(ordered, percent):
    index = min(len(ordered) - 1, int(len(ordered) * percent / 100))
    return ordered[index] * 1000
