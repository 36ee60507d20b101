"""Tests of acceptance and replication under faults.

Guards against forks, reverts and lost changes while the store and daemons
fail.
"""

from hypothesis import settings as hypothesis_settings
from hypothesis import stateful
from hypothesis import strategies
import pytest
from returns import pipeline

from wigeonrouter import configuration
from wigeonrouter import settings
from wigeonrouter import store as store_api
from wigeonrouter.configuration import _acceptance
from wigeonrouter.configuration import _snapshots
from wigeonrouter.schema import settings_pb2

_REPLICAS = 4
_PATHS = ("/a", "/a/b", "/c", "/d/e")


class FaultyStore:
    """An in-memory store with fault injection.

    Versions are counted per key, which is the hardest case: a version that
    was read from one slot may also be the current one of another slot.
    """

    def __init__(self):
        self.items = {}
        self.faults = []
        self.delayed = []
        self.down = False
        self.after_gets = []

    def get(self, key):
        item = self._get(key)
        if self.after_gets:
            hook = self.after_gets.pop(0)
            if hook:
                hook()
        return item

    def compare_and_swap(self, *, key, expected_version, value, lease=0):
        if self.down:
            raise store_api.StoreUnavailable("down")
        write = (key, expected_version, value)
        fault = self.faults.pop(0) if self.faults else None
        if fault == "refuse":
            raise store_api.StoreUnavailable("refused")
        if fault == "drop":
            raise store_api.StoreReplyLost("request lost")
        if fault == "delay":
            self.delayed.append(write)
            raise store_api.StoreReplyLost("request delayed")
        if fault == "outage":
            self.delayed.append(write)
            self.down = True
            raise store_api.StoreReplyLost("outage")
        swapped = self._write(*write)
        if fault == "lose":
            raise store_api.StoreReplyLost("reply lost")
        return swapped

    def list(self, prefix, *, limit=0):
        if self.down:
            raise store_api.StoreUnavailable("down")
        return tuple(
            self._get(key)
            for key, (value, _) in self.items.items()
            if key.startswith(prefix) and value is not None
        )

    def deliver_delayed(self):
        for write in self.delayed:
            self._write(*write)
        self.delayed = []

    def _get(self, key):
        if self.down:
            raise store_api.StoreUnavailable("down")
        value, version = self.items.get(key, (None, 0))
        if value is None:
            return None
        return store_api.Item(key=key, value=value, version=version)

    def _write(self, key, expected_version, value):
        _, version = self.items.get(key, (None, 0))
        if version != expected_version:
            return False
        self.items[key] = (value, version + 1)
        return True


def proposal(change_id, *, path="/a", base=0, queue=1):
    change = settings_pb2.Change(path=path)
    # A change of a parent's settings leaves its children in place.
    changed = change.settings if path == "/a" else change.node.settings
    if path == "/a":
        changed.limits.max_body_bytes = queue
    else:
        changed.limits.max_queue = queue
    changed.match.service_header = path
    return configuration.Proposal(
        change_id=change_id,
        author="operator",
        base_revision=base,
        changes=(change,),
    )


def accept(store, replica, requested, **more):
    return configuration.accept(
        store=store, replica=replica, proposal=requested, now_ms=0, **more
    )


@pytest.fixture
def small_log(monkeypatch):
    """Reduces the log to 16 slots, so that it wraps around often."""
    monkeypatch.setattr(_acceptance, "LOG_SLOTS", 16)
    monkeypatch.setattr(_acceptance, "MAX_REVISIONS_SINCE_SNAPSHOT", 12)
    monkeypatch.setattr(_snapshots, "SNAPSHOT_INTERVAL_REVISIONS", 4)


class AcceptanceMachine(stateful.RuleBasedStateMachine):
    """Several daemons accept changes while store, network and daemons fail."""

    def __init__(self):
        super().__init__()
        self.store = FaultyStore()
        self.replicas = [
            configuration.Replica(retained=6) for _ in range(_REPLICAS)
        ]
        self.served_revisions = [0] * _REPLICAS
        # Result per change id, and log entry per revision.
        self.acknowledged = {}
        self.undetermined = set()
        self.rejected = set()
        self.log = {}
        self.number = 0

    numbers = strategies.integers(0, _REPLICAS - 1)

    @stateful.rule(
        number=numbers,
        path=strategies.sampled_from(_PATHS),
        lag=strategies.integers(0, 3),
        faults=strategies.lists(
            strategies.sampled_from(
                ["", "refuse", "drop", "delay", "outage", "lose"]
            ),
            max_size=3,
        ),
    )
    def propose(self, number, path, lag, faults):
        self.store.faults = faults
        self._accept(number, path, lag)
        self.store.faults = []

    @stateful.rule(
        first=numbers,
        second=numbers,
        path=strategies.sampled_from(_PATHS),
        reads=strategies.integers(0, 3),
        push=strategies.booleans(),
    )
    def race_between_calls(self, first, second, path, reads, push):
        """Let a second daemon write between the store calls of the first."""

        def interfere():
            self._accept(second, path, 0)
            if push:
                self._copy(second, first)

        self.store.after_gets = [None] * reads + [interfere]
        self._accept(first, _PATHS[0], 0)
        self.store.after_gets = []

    @stateful.rule(number=numbers)
    def repeat_undetermined(self, number):
        for change_id in sorted(self.undetermined):
            self._resolve(number, change_id)

    @stateful.rule(number=numbers)
    def catch_up_from_store(self, number):
        try:
            configuration.catch_up(
                store=self.store, replica=self.replicas[number]
            )
        except store_api.StoreError:
            pass

    @stateful.rule(number=numbers)
    def write_snapshot(self, number):
        try:
            configuration.write_snapshot_if_due(
                store=self.store, replica=self.replicas[number]
            )
        except store_api.StoreError:
            pass

    @stateful.rule(source=numbers, receiver=numbers)
    def gossip(self, source, receiver):
        self._copy(source, receiver)

    @stateful.rule(source=numbers, receiver=numbers, count=numbers)
    def deliver_out_of_order(self, source, receiver, count):
        """Deliver entries and snapshots early, late or twice."""
        source, receiver = self.replicas[source], self.replicas[receiver]
        receiver.apply_entries(source.history()[-count:])
        if count == 0:
            receiver.load_snapshot(source.snapshot())

    @stateful.rule(number=numbers)
    def replace(self, number):
        """Replace a daemon by one that reads the store, or else all peers."""
        new = configuration.Replica(retained=6)
        old = self.replicas[number]
        self.replicas[number] = new
        self.served_revisions[number] = 0
        try:
            configuration.catch_up(store=self.store, replica=new)
        except store_api.StoreError:
            for peer in range(_REPLICAS):
                self._copy(peer, number)
        peers = [r.revision for r in self.replicas if r is not new]
        assert new.revision >= max(peers), (new.revision, old.revision)

    @stateful.rule(down=strategies.booleans())
    def set_store_down(self, down):
        self.store.down = down

    @stateful.rule()
    def deliver_delayed_writes(self):
        self.store.deliver_delayed()

    @stateful.invariant()
    def never_reverts_and_never_forks(self):
        for number, replica in enumerate(self.replicas):
            assert replica.revision >= self.served_revisions[number]
            self.served_revisions[number] = replica.revision
            for entry in replica.history():
                known = self.log.setdefault(entry.revision, entry)
                assert known == entry

    def teardown(self):
        self.store.down = False
        self.store.deliver_delayed()
        for number, replica in enumerate(self.replicas):
            configuration.catch_up(store=self.store, replica=replica)
            for change_id in sorted(self.undetermined):
                self._resolve(number, change_id)
            configuration.catch_up(store=self.store, replica=replica)
        self.never_reverts_and_never_forks()
        ids = [entry.change_id for entry in self.log.values()]
        assert len(ids) == len(set(ids))
        for change_id, revision in self.acknowledged.items():
            if revision in self.log:
                assert self.log[revision].change_id == change_id
        assert not self.rejected & set(ids)
        first = self.replicas[0]
        for other in self.replicas[1:]:
            assert other.revision == first.revision
            assert other.root == first.root
        assert first.services == settings.build_services(first.root)

    def _accept(self, number, path, lag):
        self.number += 1
        base = max(0, self.replicas[number].revision - lag)
        self._propose(
            proposal(
                f"change-{self.number}",
                path=path,
                base=base,
                queue=self.number,
            ),
            number,
        )

    def _resolve(self, number, change_id):
        """Repeat a change id, which either took effect or is now rejected."""
        self._propose(proposal(change_id, path="/a", base=0), number)

    def _propose(self, requested, number):
        accepted = accept(self.store, self.replicas[number], requested)
        name = requested.change_id
        if pipeline.is_successful(accepted):
            self.undetermined.discard(name)
            revision = accepted.unwrap().revision
            assert self.acknowledged.setdefault(name, revision) == revision
        elif isinstance(accepted.failure(), configuration.Undetermined):
            self.undetermined.add(name)
        elif name not in self.undetermined:
            self.rejected.add(name)

    def _copy(self, source, target):
        source, target = self.replicas[source], self.replicas[target]
        entries = source.entries_after(target.revision)
        if entries is None:
            target.load_snapshot(source.snapshot())
        else:
            target.apply_entries(entries)


def test_no_fork_no_revert_and_no_loss_under_faults(small_log):
    stateful.run_state_machine_as_test(
        AcceptanceMachine,
        settings=hypothesis_settings(
            max_examples=150,
            stateful_step_count=40,
            derandomize=True,
            deadline=None,
        ),
    )


@pytest.mark.parametrize(
    ("faults", "outcome", "written"),
    [
        ([], "accepted", True),
        (["lose"], "accepted", True),
        (["drop"], "accepted", True),
        (["delay"], "accepted", True),
        (["lose", "lose"], "accepted", True),
        (["refuse"], "store-down", False),
        # The delayed write may still take effect, so StoreDown, which
        # promises that nothing was written, would be wrong.
        (["delay", "refuse"], "undetermined", True),
        (["outage"], "undetermined", True),
        (["drop"] * 100, "undetermined", False),
    ],
)
def test_each_write_fault_has_the_expected_outcome(faults, outcome, written):
    store, replica = FaultyStore(), configuration.Replica()
    store.faults = list(faults)
    accepted = accept(store, replica, proposal("one"))
    if outcome == "accepted":
        assert accepted.unwrap().revision == 1
    else:
        failure = {
            "store-down": configuration.StoreDown,
            "undetermined": configuration.Undetermined,
        }[outcome]
        assert isinstance(accepted.failure(), failure)
    store.down = False
    store.deliver_delayed()
    late_reader = configuration.Replica()
    configuration.catch_up(store=store, replica=late_reader)
    assert late_reader.revision == int(written)


def test_a_full_log_rejects_changes_until_a_snapshot_is_written(small_log):
    store, replica = FaultyStore(), configuration.Replica()
    for number in range(12):
        assert accept(store, replica, proposal(f"{number}", base=number))
    rejected = accept(store, replica, proposal("more", base=12))
    assert isinstance(rejected.failure(), configuration.StoreDown)
    assert configuration.write_snapshot_if_due(store=store, replica=replica)
    assert accept(store, replica, proposal("more", base=12)).unwrap()


def test_a_reader_that_lags_by_the_whole_log_loads_the_snapshot(small_log):
    store, replica = FaultyStore(), configuration.Replica()
    lagging = configuration.Replica()
    accept(store, replica, proposal("0"))
    configuration.catch_up(store=store, replica=lagging)
    for number in range(1, 40):
        assert accept(store, replica, proposal(f"{number}", base=number))
        configuration.write_snapshot_if_due(store=store, replica=replica)
    configuration.catch_up(store=store, replica=lagging)
    assert lagging.revision == 40
    assert lagging.root == replica.root
    chunks = [key for key in store.items if key.startswith("config/snap")]
    live = [key for key in chunks if store.items[key][0] is not None]
    assert len(live) == 2, "chunks of old snapshots were not deleted"


def test_a_change_id_is_recognised_after_a_snapshot(small_log):
    store, replica = FaultyStore(), configuration.Replica()
    for number in range(5):
        accept(store, replica, proposal(f"{number}", base=number))
    configuration.write_snapshot_if_due(store=store, replica=replica)
    new = configuration.Replica()
    configuration.catch_up(store=store, replica=new)
    again = accept(store, new, proposal("3", base=5, queue=9)).unwrap()
    assert again.revision == 4
    assert new.revision == 5


def test_a_damaged_snapshot_or_entry_is_not_loaded():
    store = FaultyStore()
    store.items[configuration.log_key(1)] = (b"\xff", 1)
    with pytest.raises(configuration.LogUnreadable):
        configuration.catch_up(store=store, replica=configuration.Replica())
    pointer = settings_pb2.SnapshotPointer(revision=3, chunks=1, tag="t")
    store.items = {
        "config/snapshot": (pointer.SerializeToString(), 1),
        "config/snapshot/3.t/0": (
            settings_pb2.Snapshot(revision=3).SerializeToString(),
            1,
        ),
    }
    replica = configuration.Replica()
    configuration.catch_up(store=store, replica=replica)
    assert replica.revision == 0
