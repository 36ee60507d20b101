"""Guards against lost or outdated configuration after process failures.

The daemons and the store are real processes.
"""

from concurrent import futures
import json
import signal
import time
import urllib.error
import urllib.request

import pytest

from wigeonrouter import core
from wigeonrouter import store as store_api
from wigeonrouter.bench import _ports
from wigeonrouter.bench import _processes
from wigeonrouter.schema import store_pb2

_PLACES = (
    ("north", "north-a"),
    ("north", "north-b"),
    ("south", "south-a"),
    ("south", "south-b"),
    ("south", "south-a"),
)
# Longer than the time after which peers declare a silent daemon dead.
_PAUSE_S = 9.0


class _DaemonFleet:
    """Four daemons and a store, each in its own process."""

    def __init__(self, processes):
        self._processes = processes
        (self._store,) = _ports.free_addresses(1)
        self._ports = [_ports.free_ports(3) for _ in _PLACES]
        processes.start_store(self._store)
        _wait_for(self._is_store_reachable)
        for number in range(4):
            self.start(number)
        self.wait_for_all("alive", range(4), range(4))

    def start(self, number):
        """Start a daemon and wait until it is ready."""
        region, domain = _PLACES[number]
        self._processes.start_daemon(
            daemon_id=f"d{number}",
            place=core.Place(region=region, failure_domain=domain),
            ports=self._ports[number],
            store=self._store,
            seeds=[f"127.0.0.1:{ports[2]}" for ports in self._ports[:2]],
        )

    def kill(self, number):
        self._processes.send_signal(f"d{number}", signal.SIGKILL)
        self._processes.wait(f"d{number}")

    def send_signal(self, number, signal_number):
        self._processes.send_signal(f"d{number}", signal_number)

    def set_fault(self, **fault):
        client = store_api.open_store(
            name="tcp", address=core.parse_address(self._store), timeout=5.0
        )
        client.inject(store_pb2.FaultCall(**fault))
        client.close()

    def status(self, number):
        return self._call("GET", number, "/v1/status")

    def accept(self, number, name, base=None):
        """Change the settings of a service; return the parsed response."""
        document = {"settings": {"match": {"service_header": name}}}
        path = f"/v1/config?path=/{name}&change_id={name}"
        if base is not None:
            path += f"&base={base}"
        return self._call("PUT", number, path, document)

    def wait_for_revision(self, revision, numbers):
        _wait_for(
            lambda: all(
                self.status(number)["revision"] >= revision
                for number in numbers
            )
        )

    def wait_for_all(self, state, members, observers):
        """Wait until all observers report the members in a state."""
        names = {f"d{number}" for number in members}
        _wait_for(
            lambda: all(
                names
                <= {
                    member["daemon_id"]
                    for member in self.status(observer)["members"]
                    if member["state"] == state
                }
                for observer in observers
            )
        )

    def _call(self, method, number, path, document=None):
        request = urllib.request.Request(
            f"http://127.0.0.1:{self._ports[number][1]}{path}",
            method=method,
            data=json.dumps(document).encode() if document else None,
            headers={"Authorization": f"Bearer {_processes.TOKEN}"},
        )
        with urllib.request.urlopen(request, timeout=20) as response:
            return json.load(response)

    def _is_store_reachable(self):
        try:
            self.set_fault()
        except store_api.StoreError:
            return False
        return True


def _wait_for(condition):
    """Wait until a function returns true; fail after 60 s."""
    deadline = time.monotonic() + 60
    while not condition():
        assert time.monotonic() < deadline, "condition was not met"
        time.sleep(0.1)


@pytest.fixture
def fleet():
    """Four ready daemons that see each other as alive."""
    with _processes.Fleet() as processes:
        yield _DaemonFleet(processes)


def test_acknowledged_change_survives_loss_of_its_daemon_and_the_store(fleet):
    """Guards against acknowledging a change before peers hold it.

    The store fails and the daemon is killed right after its response.
    """
    response = fleet.accept(0, "one")
    fleet.set_fault(down=True)
    fleet.kill(0)
    assert len(response["acknowledged_by"]) >= 2
    fleet.wait_for_revision(1, [1, 2, 3])
    fleet.wait_for_all("dead", [0], [1, 2, 3])
    with pytest.raises(urllib.error.HTTPError) as rejected:
        fleet.accept(1, "two")
    assert rejected.value.code == 503
    # A daemon that starts during the outage must fetch its peers' revision.
    fleet.start(4)
    assert fleet.status(4)["revision"] == 1
    fleet.set_fault()
    fleet.accept(4, "three")
    fleet.wait_for_revision(2, [1, 2, 3, 4])


def test_paused_daemon_is_declared_dead_and_catches_up(fleet):
    """Guards against outdated configuration after a long process pause.

    The store is down when the daemon resumes, so it must fetch the change
    that it missed from peers and rejoin them.
    """
    fleet.send_signal(1, signal.SIGSTOP)
    time.sleep(_PAUSE_S)
    fleet.wait_for_all("dead", [1], [0, 2, 3])
    fleet.accept(0, "one")
    fleet.set_fault(down=True)
    fleet.send_signal(1, signal.SIGCONT)
    fleet.wait_for_revision(1, [1])
    fleet.wait_for_all("alive", range(4), range(4))


def test_replaced_daemon_rejoins_under_its_old_name(fleet):
    """Guards against rejecting a new process that has a dead member's name.

    The store is down, so it must also fetch the configuration from peers.
    """
    fleet.accept(0, "one")
    fleet.kill(2)
    fleet.wait_for_all("dead", [2], [0, 1, 3])
    fleet.set_fault(down=True)
    fleet.start(2)
    assert fleet.status(2)["revision"] == 1
    fleet.wait_for_all("alive", range(4), range(4))


def test_concurrent_changes_get_distinct_revisions(fleet):
    """Guards against two daemons that accept changes as the same revision."""
    for batch in range(3):
        with futures.ThreadPoolExecutor() as pool:
            responses = list(
                pool.map(
                    lambda number, batch=batch: fleet.accept(
                        number, f"c{batch}-{number}", base=4 * batch
                    ),
                    range(4),
                )
            )
        assert {response["revision"] for response in responses} == set(
            range(4 * batch + 1, 4 * batch + 5)
        )
    fleet.wait_for_revision(12, range(4))
