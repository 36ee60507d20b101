"""Guards against requests lost while daemons start, stop and restart.

The daemons are real processes; the test simulates the callers.
"""

import contextlib
import http.client
import json
import signal
import time

import gevent
from gevent import event
from gevent import socket
import pytest

from wigeonrouter import core
from wigeonrouter import daemon as daemon_api
from wigeonrouter import settings as settings_api
from wigeonrouter import standins
from wigeonrouter.bench import _ports
from wigeonrouter.bench import _processes

_STORE, _SLOW = _ports.free_addresses(2)
_FAST = _ports.free_addresses(4)
_SLOW_MS = 1500
_TTL_MS = 300
_DAEMONS = {f"entry-{number}": _ports.free_ports(3) for number in range(3)}
_PLACE = core.Place(region="north", failure_domain="north-a")


def _document():
    def service(prefix, servers):
        return {
            "settings": {
                "match": {"path_prefixes": [prefix]},
                "kinds": {"write": {"idempotent": False}},
                "limits": {"default_timeout_ms": 30000},
                "groups": {
                    "all": {
                        "servers": {
                            f"s{index}": {
                                "address": address,
                                "region": "north",
                                "failure_domain": "north-a",
                                "slots": 2,
                            }
                            for index, address in enumerate(servers)
                        }
                    }
                },
            }
        }

    return {
        "children": {
            "fast": service("/fast", _FAST),
            "slow": service("/slow", [_SLOW]),
        }
    }


@pytest.fixture
def fleet(tmp_path):
    """Three daemons, a store, fast backend servers and a slow one."""
    with _processes.Fleet() as started:
        started.start_store(_STORE)
        started.start_backends("fast", _FAST, service_ms=5)
        started.start_backends("slow", [_SLOW], service_ms=_SLOW_MS)
        seed = f"127.0.0.1:{_DAEMONS['entry-0'][2]}"
        for daemon_id, ports in _DAEMONS.items():
            started.start_daemon(
                daemon_id=daemon_id,
                place=_PLACE,
                ports=ports,
                store=_STORE,
                seeds=[seed],
                entry_ttl_ms=_TTL_MS,
            )
        path = tmp_path / "document.json"
        path.write_text(json.dumps(_document()))
        admin = f"127.0.0.1:{_DAEMONS['entry-0'][1]}"
        _processes.run_cli("apply", "/", str(path), server=admin)
        for daemon_id in _DAEMONS:
            _wait_for(lambda name=daemon_id: len(_entries(name)) == 3)
            # The first response shows that the configuration has arrived.
            _wait_for(lambda name=daemon_id: _Connection(name).post("/fast"))
        yield started


def _wait_for(condition):
    deadline = time.monotonic() + 20
    while not condition():
        assert time.monotonic() < deadline
        gevent.sleep(0.02)


def _get_json(daemon_id, target):
    connection = http.client.HTTPConnection(
        "127.0.0.1", _DAEMONS[daemon_id][1], timeout=5
    )
    with contextlib.closing(connection):
        connection.request("GET", target)
        return json.loads(connection.getresponse().read())


def _entries(daemon_id, service=""):
    """Return the daemon ids in an entry response, home daemons first."""
    query = f"?service={service}" if service else ""
    return [
        entry["request_id_prefix"].partition("~")[0]
        for entry in _get_json(daemon_id, f"/v1/entries{query}")["entries"]
    ]


def _metric(daemon_id, name):
    connection = http.client.HTTPConnection(
        "127.0.0.1", _DAEMONS[daemon_id][1], timeout=5
    )
    with contextlib.closing(connection):
        connection.request("GET", "/metrics")
        text = connection.getresponse().read().decode()
    lines = [x for x in text.splitlines() if x.startswith(name + " ")]
    assert len(lines) == 1, text
    return float(lines[0].rpartition(" ")[2])


class _Connection:
    """A caller's connection; it does not retry requests."""

    _count = 0

    def __init__(self, daemon_id):
        self.daemon_id = daemon_id
        self._http = http.client.HTTPConnection(
            "127.0.0.1", _DAEMONS[daemon_id][0], timeout=40
        )
        self.asked_to_close = False

    def post(self, path):
        """Return whether the complete response to this request arrived."""
        _Connection._count += 1
        request_id = f"test-{_Connection._count}"
        self._http.request(
            "POST", path, body=b"x", headers={"X-Request-Id": request_id}
        )
        response = self._http.getresponse()
        body = response.read()
        self.asked_to_close = response.getheader("Connection") == "close"
        if response.status != 200:
            return False
        return json.loads(body)["request_id"] == request_id


class _Load:
    """Callers that send requests and cache entry responses while valid."""

    def __init__(self, *, callers, pause=0.005):
        self.complete = 0
        self.failed = []
        self._pause = pause
        self._stopping = event.Event()
        self._tasks = [gevent.spawn(self._call) for _ in range(callers)]

    def stop(self):
        """End the load and wait for the callers."""
        self._stopping.set()
        gevent.joinall(self._tasks, raise_error=True)

    def _call(self):
        expires, connection = 0.0, None
        while not self._stopping.is_set():
            if time.monotonic() >= expires:
                entry = self._query_entry()
                expires = time.monotonic() + _TTL_MS / 1000
                if connection is None or connection.daemon_id != entry:
                    connection = _Connection(entry)
            try:
                succeeded = connection.post("/fast")
            except (OSError, http.client.HTTPException) as error:
                self.failed.append((connection.daemon_id, repr(error)))
                connection = _Connection(connection.daemon_id)
                expires = 0.0
                gevent.sleep(0.05)
                continue
            if succeeded:
                self.complete += 1
            else:
                self.failed.append((connection.daemon_id, "refused"))
            gevent.sleep(self._pause)

    def _query_entry(self):
        for daemon_id in _DAEMONS:
            try:
                return _entries(daemon_id, "/fast")[0]
            except (OSError, http.client.HTTPException):
                # An entry query is safe to repeat at the next daemon.
                continue
            except KeyError:
                # A daemon without configuration responds with not-ready.
                continue
        raise AssertionError("no daemon responds to entry queries")


def test_sigterm_aborts_no_request(fleet):
    """Guards against requests that are aborted by a graceful shutdown.

    Covers long and queued requests, requests that arrive after SIGTERM, idle
    connections and a second SIGTERM.
    """
    home = _entries("entry-0", "/fast")[0]
    late, idle = _Connection(home), _Connection(home)
    assert late.post("/fast") and idle.post("/fast")
    # Two run in the slots and four queue: the last one ends in the third
    # round.
    slow = [gevent.spawn(_Connection(home).post, "/slow") for _ in range(6)]
    load = _Load(callers=8)
    gevent.sleep(0.2)
    fleet.send_signal(home, signal.SIGHUP)
    gevent.sleep(0.2)
    assert _metric(home, 'wigeonrouter_in_flight{service="/slow"}') == 2
    assert _metric(home, 'wigeonrouter_queue_length{service="/slow"}') == 4
    fleet.send_signal(home, signal.SIGTERM)
    gevent.sleep(0.1)
    assert late.post("/fast") and late.asked_to_close
    fleet.send_signal(home, signal.SIGTERM)
    gevent.sleep(0.1)
    # A caller with a cached entry response connects again.
    assert late.post("/fast") and late.asked_to_close
    gevent.joinall(slow, raise_error=True)
    assert [task.value for task in slow] == [True] * 6
    assert fleet.wait(home) == 0
    load.stop()
    assert load.failed == [] and load.complete > 0


def test_entry_responses_omit_a_daemon_that_shuts_down(fleet):
    """Guards against entry responses that name a daemon shutting down."""
    leaving = "entry-1"
    fleet.send_signal(leaving, signal.SIGTERM)
    for queried in _DAEMONS:
        _wait_for(lambda name=queried: leaving not in _entries(name))
        assert len(_entries(queried, "/fast")) == 2
    # It still serves callers with a cached entry response.
    assert _Connection(leaving).post("/fast")
    assert _get_json(leaving, "/readyz") == {"ready": False}
    assert fleet.wait(leaving) == 0


def test_daemon_without_configuration_refuses_callers():
    """Guards against a daemon that accepts callers without configuration."""
    caller, admin, peer, store = (
        core.parse_address(address) for address in _ports.free_addresses(4)
    )
    settings = settings_api.DaemonSettings(
        daemon_id="entry-9",
        place=_PLACE,
        caller_address=caller,
        admin_address=admin,
        peer_address=peer,
        store_address=store,
        store_timeout=0.2,
        entry_ttl=0.1,
    )
    daemon = daemon_api.Daemon(settings=settings)
    daemon.start()
    gevent.sleep(0.1)
    assert daemon.table.own.state is core.MemberState.STARTING
    assert daemon.table.alive == ()
    with pytest.raises(ConnectionRefusedError):
        socket.create_connection(("127.0.0.1", caller.port))
    store = standins.StoreStandin(address=settings.store_address)
    store.start()
    _wait_for(lambda: daemon.ready)
    socket.create_connection(("127.0.0.1", caller.port)).close()
    assert daemon.table.own.state is core.MemberState.ALIVE
    daemon.stop()
    store.stop()


def test_rolling_restart_loses_nothing(fleet):
    """Guards against lost requests while each daemon in turn restarts.

    A request is lost if callers are sent to a daemon that is not ready yet or
    has stopped already.
    """
    load = _Load(callers=12)
    for daemon_id in _DAEMONS:
        gevent.sleep(0.5)
        fleet.send_signal(daemon_id, signal.SIGTERM)
        assert fleet.wait(daemon_id) == 0
        fleet.restart_daemon(daemon_id)
    gevent.sleep(0.5)
    load.stop()
    assert load.failed == [] and load.complete > 0
