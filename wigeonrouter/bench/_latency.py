"""Measures the time that the daemon adds to a call, and its throughput."""

import json
import os
import pathlib
import subprocess
import sys
import tempfile
import time

import click

from wigeonrouter import core
from wigeonrouter.bench import _processes
from wigeonrouter.bench import _result_lines

# Bound on the time added to a call for 99 in 100 calls.
ADDED_P99_BOUND_MS = 0.42
# Callers and the mean pause of each in seconds. The load stays far below
# saturation, where queueing and not the daemon's own work would be measured.
_LEVELS = ((1, 0.004), (8, 0.020), (32, 0.080))
_SATURATING_CALLERS = 32
_BACKENDS = 16
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
    """Compare direct calls with calls through the daemon, interleaved."""
    backends = [f"127.0.0.1:{port + 100 + n}" for n in range(_BACKENDS)]
    with _processes.Fleet() as fleet:
        _start(fleet, port, backends)
        daemon = [f"127.0.0.1:{port}"]
        _generate(daemon, backends, 8, 0.01, 2.0, seed)
        for callers, think in _LEVELS:
            result = _generate(daemon, backends, callers, think, seconds, seed)
            _report_level(callers, result)
        pid = fleet.pid("bench-1")
        _report_throughput(pid, daemon, seconds / 2, seed)


def _start(fleet, port, backends):
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


def _generate(daemon, backends, callers, think, seconds, seed):
    """Run the generator; backends may be empty for the daemon alone."""
    targets = [[_pair(address) for address in daemon]]
    if backends:
        targets.append([_pair(address) for address in backends])
    plan = {
        "targets": targets,
        "request": _REQUEST,
        "callers": callers,
        "think_s": think,
        "duration_s": seconds,
        # A request id must not repeat from one run to the next.
        "seed": f"{seed}-{callers}-{think}-{seconds}",
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


def _pair(address):
    parsed = core.parse_address(address)
    return parsed.host, parsed.port


def _report_level(callers, result):
    through, direct = (sorted(values) for values in result["latencies"])
    paired = sorted(a - b for a, b in zip(*result["latencies"], strict=True))
    name = f"{callers} callers"
    _line(f"{name}: pairs", len(paired), "1")
    _line(f"{name}: failures", result["failures"], "1", 0)
    _line(f"{name}: direct p50", _quantile_ms(direct, 50), "ms")
    _line(f"{name}: direct p99", _quantile_ms(direct, 99), "ms")
    for percent, bound in ((50, None), (99, ADDED_P99_BOUND_MS)):
        added = _quantile_ms(through, percent) - _quantile_ms(direct, percent)
        _line(f"{name}: added p{percent}", added, "ms", bound)
    _line(
        f"{name}: paired difference p99",
        _quantile_ms(paired, 99),
        "ms",
        ADDED_P99_BOUND_MS,
    )


def _report_throughput(pid, daemon, seconds, seed):
    before = _processor_seconds(pid)
    result = _generate(daemon, (), _SATURATING_CALLERS, 0.0, seconds, seed)
    used = _processor_seconds(pid) - before
    count = len(result["latencies"][0])
    _line("saturated: failures", result["failures"], "1", 0)
    _line("saturated: throughput", count / result["elapsed_s"], "1/s")
    _line("per core: throughput", count / used, "1/s")
    _line("per request: processor time", used / count * 1e6, "us")


def _line(name, value, unit, bound=None):
    _result_lines.write_line(name=name, value=value, unit=unit, bound=bound)


def _quantile_ms(ordered, percent):
    index = min(len(ordered) - 1, int(len(ordered) * percent / 100))
    return ordered[index] * 1000


def _processor_seconds(pid):
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2]
    user, system = fields.split()[11:13]
    return (int(user) + int(system)) / os.sysconf("SC_CLK_TCK")
