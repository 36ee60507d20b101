"""Guards against drains that reach only some of the daemons.

The daemons are real processes. The test acts as callers, backend servers and
VM list.
"""

import json
import signal
import time

import gevent
import geventhttpclient
import pytest

from wigeonrouter import core
from wigeonrouter import standins
from wigeonrouter.bench import _ports
from wigeonrouter.bench import _processes

# Requirement: a draining backend server gets no new requests after a few
# seconds.
_MAX_DRAIN_PROPAGATION_S = 5.0
_BACKENDS = 3
_PROBES_PER_SECOND = 2.0
_WINDOW_S = 5.0


@pytest.fixture
def backends():
    """Three backend server stand-ins in this process."""
    started = [
        standins.BackendStandin(
            address=core.Address(host="127.0.0.1", port=port), service_ms=20
        )
        for port in _ports.free_ports(_BACKENDS)
    ]
    for standin in started:
        standin.start()
    yield started
    for standin in started:
        standin.stop()


@pytest.fixture
def fleet(backends, tmp_path):
    """A store and two configured daemons in different failure domains."""
    (store,) = _ports.free_addresses(1)
    ports = [_ports.free_ports(3) for _ in range(2)]
    with _processes.Fleet() as running_fleet:
        running_fleet.start_store(store)
        for number, daemon_ports in enumerate(ports):
            running_fleet.start_daemon(
                daemon_id=f"d{number}",
                place=core.Place(region="r", failure_domain=f"r-{number}"),
                ports=daemon_ports,
                store=store,
                seeds=[f"127.0.0.1:{ports[0][2]}"],
            )
        running_fleet.admins = [
            f"127.0.0.1:{daemon_ports[1]}" for daemon_ports in ports
        ]
        running_fleet.callers = [daemon_ports[0] for daemon_ports in ports]
        path = tmp_path / "settings.json"
        path.write_text(json.dumps(_document(backends)))
        _processes.run_cli(
            "apply", "/s", str(path), server=running_fleet.admins[0]
        )
        for port in running_fleet.callers:
            _wait(lambda port=port: _send(port, 1) == [200])
        yield running_fleet


def _document(backends):
    servers = {
        f"s{number}": {
            "address": f"127.0.0.1:{standin.port}",
            "region": "r",
            "failure_domain": "r-0",
        }
        for number, standin in enumerate(backends)
    }
    return {
        "settings": {
            "match": {"path_prefixes": ["/"]},
            "health": {"probes_per_second": _PROBES_PER_SECOND},
            "groups": {"g": {"servers": servers}},
        }
    }


def _send(port, count):
    client = geventhttpclient.HTTPClient("127.0.0.1", port, concurrency=count)

    def call():
        response = client.post("/x", b"x")
        response.read()
        return response.status_code

    tasks = [gevent.spawn(call) for _ in range(count)]
    gevent.joinall(tasks, raise_error=True)
    client.close()
    return [task.value for task in tasks]


def _wait(condition):
    deadline = time.monotonic() + 30
    while not condition():
        assert time.monotonic() < deadline, "condition not reached in 30 s"
        gevent.sleep(0.1)


def _assert_gets_no_requests(fleet, backend):
    """Fill all slots through both daemons; none may be on this backend."""
    gevent.sleep(_MAX_DRAIN_PROPAGATION_S)
    before = sum(backend.execution_counts.values())
    for _ in range(5):
        for port in fleet.callers:
            assert set(_send(port, 2 * _BACKENDS)) == {200}
    assert sum(backend.execution_counts.values()) == before


def test_drain_action_reaches_all_daemons_while_the_store_is_paused(
    fleet, backends
):
    fleet.send_signal("store", signal.SIGSTOP)
    _processes.run_cli(
        "drain", f"127.0.0.1:{backends[0].port}", server=fleet.admins[0]
    )
    _assert_gets_no_requests(fleet, backends[0])


def test_drain_announcement_seen_by_one_daemon_reaches_all(fleet, backends):
    backends[0].set_fault(draining=True)
    _wait(lambda: set(_send(fleet.callers[0], 2 * _BACKENDS)) == {200})
    # From here on neither its responses nor its probes announce the drain.
    backends[0].set_fault()
    _assert_gets_no_requests(fleet, backends[0])


def test_drain_in_settings_reaches_all_daemons(fleet, backends, tmp_path):
    document = _document(backends)
    servers = document["settings"]["groups"]["g"]["servers"]
    servers["s0"]["state"] = "draining"
    path = tmp_path / "drain.json"
    path.write_text(json.dumps(document))
    _processes.run_cli("apply", "/s", str(path), server=fleet.admins[1])
    _assert_gets_no_requests(fleet, backends[0])


def test_probe_budget_holds_while_the_prober_is_paused(fleet, backends):
    """Probes are counted at the backend servers while the prober changes."""
    for standin in backends:
        standin.set_fault(fail=True)
    callers = [gevent.spawn(_keep_sending, port) for port in fleet.callers]
    # Longer than the hold-off that follows the start of both daemons.
    gevent.sleep(10)
    times = sorted(t for standin in backends for t in standin.probe_times)
    assert times, "no probe was sent, so the test shows nothing"
    for name in ("d0", "d1"):
        fleet.send_signal(name, signal.SIGSTOP)
        gevent.sleep(4)
        fleet.send_signal(name, signal.SIGCONT)
        gevent.sleep(1)
    gevent.killall(callers)
    times = sorted(t for standin in backends for t in standin.probe_times)
    for start in times:
        window = [t for t in times if start <= t < start + _WINDOW_S]
        assert len(window) <= _PROBES_PER_SECOND * _WINDOW_S + 1


def _keep_sending(port):
    while True:
        client = geventhttpclient.HTTPClient(
            "127.0.0.1", port, network_timeout=1, connection_timeout=1
        )
        try:
            client.post("/x", b"x").read()
        except OSError:
            pass
        client.close()
        gevent.sleep(0.05)
