"""Guards against duplicates that run twice through different daemons."""

import time
import types

import gevent
from gevent import event
from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies
import pytest

from wigeonrouter import core
from wigeonrouter.request_path import _deduplicator
from wigeonrouter.request_path import _request_ids
from wigeonrouter.request_path.conftest import PathHarness
from wigeonrouter.request_path.conftest import render
from wigeonrouter.request_path.conftest import send
from wigeonrouter.request_path.conftest import wait_until

_DAEMONS = 3
_MAX_IDS = 4


class _Cluster:
    """Three daemons that claim ids from each other without a network."""

    def __init__(self):
        self.now = 1000.0
        self.incarnation = 0
        # Offset of each daemon's wall clock, seconds.
        self.clock_skews_s = [0.0] * _DAEMONS
        self.members = [None] * _DAEMONS
        self.deduplicators = [None] * _DAEMONS
        # "up", "frozen" (claims are not delivered) or "reply lost".
        self.links = ["up"] * _DAEMONS
        for number in range(_DAEMONS):
            self.replace(number)

    def replace(self, number):
        self.incarnation += 100
        self.members[number] = types.SimpleNamespace(
            daemon_id=f"d{number}",
            incarnation=self.incarnation,
            instance=self.incarnation,
        )
        claimant = f"d{number}~{self.incarnation}"
        self.deduplicators[number] = _deduplicator.Deduplicator(
            own_member=lambda: self.members[number],
            claim_from_peer=lambda parsed, request_id: self._claim(
                int(parsed.daemon_id[1:]), request_id, claimant
            ),
            clock=lambda: self.now,
            wall_clock=lambda: self.now + self.clock_skews_s[number],
            max_ids=_MAX_IDS,
        )

    def mint(self, number, nonce):
        member = self.members[number]
        time_ms = int(self.now * 1000)
        return f"{member.daemon_id}~{member.instance}.{time_ms}.{nonce}"

    def _claim(self, owner, request_id, claimant):
        if self.links[owner] == "frozen":
            return None
        state = self.deduplicators[owner].handle_claim(request_id, claimant)
        if self.links[owner] == "reply lost":
            return None
        return types.SimpleNamespace(
            seen=state is not None, outcome=state or ""
        )


_daemon = strategies.integers(0, _DAEMONS - 1)


class _DuplicatesMachine(stateful.RuleBasedStateMachine):
    """No request runs concurrently with, or after, one with the same id."""

    request_ids = stateful.Bundle("request_ids")

    def __init__(self):
        super().__init__()
        self.cluster = _Cluster()
        self.running = {}
        self.may_have_run = set()
        self.nonce = 0

    @stateful.rule(target=request_ids, number=_daemon)
    def mint(self, number):
        self.nonce += 1
        return self.cluster.mint(number, self.nonce)

    @stateful.rule(request_id=request_ids, number=_daemon)
    def begin(self, request_id, number):
        failure = self.cluster.deduplicators[number].begin(request_id)
        if failure is None:
            assert request_id not in self.may_have_run
            assert request_id not in self.running
            self.running[request_id] = (
                number,
                self.cluster.deduplicators[number],
            )
        elif failure.problem.outcome is core.Outcome.NOT_RUN:
            assert request_id not in self.may_have_run
            assert request_id not in self.running

    @stateful.precondition(lambda self: self.running)
    @stateful.rule(
        index=strategies.integers(0, 99),
        outcome=strategies.sampled_from(core.Outcome),
    )
    def finish(self, index, outcome):
        request_id = sorted(self.running)[index % len(self.running)]
        _, deduplicator = self.running.pop(request_id)
        deduplicator.finish(request_id, outcome)
        if outcome is not core.Outcome.NOT_RUN:
            self.may_have_run.add(request_id)

    @stateful.rule(number=_daemon)
    def replace(self, number):
        for request_id, (where, _) in list(self.running.items()):
            if where == number:
                del self.running[request_id]
                self.may_have_run.add(request_id)
        self.cluster.replace(number)

    @stateful.rule(number=_daemon)
    def refute_suspicion(self, number):
        self.cluster.members[number].incarnation += 1

    @stateful.rule(
        number=_daemon,
        link=strategies.sampled_from(("up", "frozen", "reply lost")),
    )
    def change_link(self, number, link):
        self.cluster.links[number] = link

    @stateful.rule(seconds=strategies.sampled_from((1, 30, 60, 116, 126)))
    def wait(self, seconds):
        self.cluster.now += seconds


_DuplicatesMachine.TestCase.settings = settings(
    max_examples=300, stateful_step_count=40, deadline=None, derandomize=True
)
test_duplicates_never_run_twice = _DuplicatesMachine.TestCase


@pytest.fixture
def cluster():
    """Three daemons with fake clocks."""
    return _Cluster()


@pytest.mark.parametrize("outcome", core.Outcome)
def test_duplicate_at_a_third_daemon_is_refused_after_a_claim(
    cluster, outcome
):
    request_id = cluster.mint(0, "n")
    assert cluster.deduplicators[1].begin(request_id) is None
    cluster.deduplicators[1].finish(request_id, outcome)
    for number in (0, 2):
        problem = cluster.deduplicators[number].begin(request_id).problem
        assert problem.outcome is core.Outcome.UNKNOWN
    again = cluster.deduplicators[1].begin(request_id)
    assert (again is None) == (outcome is core.Outcome.NOT_RUN)


@pytest.mark.parametrize(
    "change, problem",
    [
        ("replace", "id-owner-unreachable"),
        ("freeze", "id-owner-unreachable"),
        ("wait", "id-expired"),
        ("fill", "id-table-full"),
        ("begin", "duplicate-in-progress"),
    ],
)
def test_refused_duplicate_at_another_daemon_names_the_reason(
    cluster, change, problem
):
    request_id = cluster.mint(0, "n")
    if change == "replace":
        cluster.replace(0)
        assert (
            cluster.deduplicators[0].begin(request_id).problem.name
            == "id-owner-unreachable"
        )
        cluster.links[0] = "frozen"
    elif change == "freeze":
        cluster.links[0] = "frozen"
    elif change == "wait":
        cluster.now += _request_ids.RETENTION_S
    elif change == "fill":
        for number in range(_MAX_IDS):
            cluster.deduplicators[0].begin(f"other form {number}")
    else:
        cluster.deduplicators[0].begin(request_id)
    assert cluster.deduplicators[1].begin(request_id).problem.name == problem


def test_claim_is_refused_after_the_owner_may_have_expired_the_id(cluster):
    """The claimant's clock is behind, so to it the id has not expired."""
    request_id = cluster.mint(0, "n")
    assert cluster.deduplicators[0].begin(request_id) is None
    cluster.deduplicators[0].finish(request_id, core.Outcome.OK)
    cluster.now += 126
    cluster.deduplicators[0].begin("another, which expires the first")
    cluster.clock_skews_s[1] = -60
    assert (
        cluster.deduplicators[1].begin(request_id).problem.name == "id-expired"
    )


def test_only_the_claimant_may_repeat_a_claim(cluster):
    request_id = cluster.mint(0, "n")
    cluster.links[0] = "reply lost"
    assert cluster.deduplicators[1].begin(request_id) is not None
    cluster.links[0] = "up"
    assert (
        cluster.deduplicators[2].begin(request_id).problem.name == "duplicate"
    )
    assert cluster.deduplicators[1].begin(request_id) is None


def test_restarted_claimant_cannot_repeat_its_claim(cluster):
    """Its table is lost, so it does not know the outcome of the request."""
    request_id = cluster.mint(0, "n")
    assert cluster.deduplicators[1].begin(request_id) is None
    cluster.replace(1)
    assert (
        cluster.deduplicators[1].begin(request_id).problem.name == "duplicate"
    )


def test_id_of_a_request_in_progress_does_not_expire(cluster):
    assert cluster.deduplicators[0].begin("free form") is None
    cluster.now += 1000
    assert cluster.deduplicators[0].begin("free form") is not None


def test_full_table_refuses_new_ids_and_evicts_none(cluster):
    for number in range(_MAX_IDS):
        assert cluster.deduplicators[0].begin(f"n{number}") is None
        cluster.deduplicators[0].finish(f"n{number}", core.Outcome.OK)
    assert (
        cluster.deduplicators[0].begin("new").problem.name == "id-table-full"
    )
    assert cluster.deduplicators[0].begin("n0").problem.name == "duplicate"
    assert len(cluster.deduplicators[0]) == _MAX_IDS


def test_request_ids_with_dots_in_the_daemon_id_are_parsed():
    parsed = _request_ids.parse_request_id("a.b-1~7.123.x.y")
    assert (parsed.daemon_id, parsed.instance) == ("a.b-1", 7)
    for text in ("", "a", "a~1", "a~1.2", "a~1.2.", "~1.2.x", "a~b.2.x"):
        assert _request_ids.parse_request_id(text) is None


@pytest.mark.parametrize("limit", [1, 4])
def test_refused_duplicate_reports_the_outcome_of_the_first_request(
    path, limit
):
    """An early refusal must not report NOT_RUN for a request that ran."""
    assert send(path, request_id="w").status == 200
    path.configure(max_body_bytes=limit)
    response = send(path, request_id="w", body=b"12345")
    assert (response.problem, response.outcome) == ("duplicate", "unknown")
    path.handler.reconfigure({})
    assert send(path, request_id="w").outcome == "unknown"
    assert send(path, request_id="new").outcome == "not-run"


def test_concurrent_duplicates_run_once(backends):
    """All of them wait for the owner's reply before one is recorded."""
    release = event.Event()

    def claim(*_):
        release.wait()
        return types.SimpleNamespace(seen=False, outcome="")

    path = PathHarness(backends, claim=claim)
    request_id = f"d9~1.{_now_ms()}.n"
    tasks = [gevent.spawn(send, path, request_id=request_id) for _ in range(4)]
    wait_until(lambda: path.server.requests_in_progress == 4)
    release.set()
    statuses = [task.get(timeout=10).status for task in tasks]
    assert sorted(statuses) == [200, 409, 409, 409]
    assert path.runs(request_id) == 1
    path.server.stop()


def test_nothing_is_sent_if_a_claim_outlasts_the_deadline(backends):
    def claim(*_):
        gevent.sleep(0.1)
        return types.SimpleNamespace(seen=False, outcome="")

    path = PathHarness(backends, claim=claim)
    request_id = f"d9~1.{_now_ms()}.n"
    response = send(path, request_id=request_id, X_Request_Timeout_Ms=20)
    assert (response.problem, path.runs(request_id)) == ("deadline-passed", 0)
    path.server.stop()


def test_duplicate_of_a_request_in_progress_is_refused(path):
    path.set_faults({"silent": True}, {"silent": True})
    with path.connect() as sock:
        sock.sendall(render(request_id="w"))
        wait_until(lambda: path.runs("w") == 1)
        assert send(path, request_id="w").problem == "duplicate-in-progress"
    assert path.runs("w") == 1


def _now_ms():
    return int(time.time() * 1000)
