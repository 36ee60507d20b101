"""Guards against lost or old configuration when real processes fail."""

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
# Longer than the time after which a silent daemon is declared dead.
_FREEZE_S = 9.0


class _Fleet:
    """Four daemons and a store, all processes of their own."""

    def __init__(self, processes):
        self._processes = processes
        (self._store,) = _ports.free_addresses(1)
        self._ports = [_ports.free_ports(3) for _ in _PLACES]
        processes.start_store(self._store)
        _wait_for(self._store_answers)
        for number in range(4):
            self.start(number)
        self.wait_for_all("alive", range(4), range(4))

    def start(self, number):
        """Start a daemon; it is ready afterwards."""
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

    def send_signal(self, number, which):
        self._processes.send_signal(f"d{number}", which)

    def set_fault(self, **fault):
        client = store_api.open_store(
            name="tcp", address=core.parse_address(self._store), timeout=5.0
        )
        client.inject(store_pb2.FaultCall(**fault))
        client.close()

    def status(self, number):
        return self._call("GET", number, "/v1/status")

    def accept(self, number, name, base=None):
        """Accept a change; return the reply."""
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
        """Wait until the observers see the members in a state."""
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
        with urllib.request.urlopen(request, timeout=20) as reply:
            return json.load(reply)

    def _store_answers(self):
        try:
            self.set_fault()
        except store_api.StoreError:
            return False
        return True


def _wait_for(condition):
    """Wait; the time only bounds a failing test."""
    ends = time.monotonic() + 60
    while not condition():
        assert time.monotonic() < ends, "condition was not met"
        time.sleep(0.1)


@pytest.fixture
def fleet():
    """Four ready daemons that know each other."""
    with _processes.Fleet() as processes:
        yield _Fleet(processes)


def test_an_acknowledged_change_outlives_its_daemon_and_the_store(fleet):
    """SIGKILL right after the answer, and the store fails as well."""
    reply = fleet.accept(0, "one")
    fleet.set_fault(down=True)
    fleet.kill(0)
    assert len(reply["acknowledged_by"]) >= 2
    fleet.wait_for_revision(1, [1, 2, 3])
    fleet.wait_for_all("dead", [0], [1, 2, 3])
    with pytest.raises(urllib.error.HTTPError) as refused:
        fleet.accept(1, "two")
    assert refused.value.code == 503
    # A daemon that starts during the outage is not older than its peers.
    fleet.start(4)
    assert fleet.status(4)["revision"] == 1
    fleet.set_fault()
    fleet.accept(4, "three")
    fleet.wait_for_revision(2, [1, 2, 3, 4])


def test_a_frozen_daemon_is_left_out_and_catches_up(fleet):
    fleet.send_signal(1, signal.SIGSTOP)
    time.sleep(_FREEZE_S)
    fleet.wait_for_all("dead", [1], [0, 2, 3])
    fleet.accept(0, "one")
    fleet.set_fault(down=True)
    fleet.send_signal(1, signal.SIGCONT)
    fleet.wait_for_revision(1, [1])
    fleet.wait_for_all("alive", range(4), range(4))


def test_a_replaced_daemon_is_taken_back_under_its_old_name(fleet):
    fleet.accept(0, "one")
    fleet.kill(2)
    fleet.wait_for_all("dead", [2], [0, 1, 3])
    fleet.set_fault(down=True)
    fleet.start(2)
    assert fleet.status(2)["revision"] == 1
    fleet.wait_for_all("alive", range(4), range(4))


def test_racing_daemons_accept_each_revision_once(fleet):
    for turn in range(3):
        with futures.ThreadPoolExecutor() as pool:
            replies = list(
                pool.map(
                    lambda number, turn=turn: fleet.accept(
                        number, f"c{turn}-{number}", base=4 * turn
                    ),
                    range(4),
                )
            )
        assert {reply["revision"] for reply in replies} == set(
            range(4 * turn + 1, 4 * turn + 5)
        )
    fleet.wait_for_revision(12, range(4))
