"""Tests of a replica that pauses while it builds services.

Guards against readers that see a mix of revisions, and against stalls.
"""

import gevent
import pytest

from wigeonrouter import configuration
from wigeonrouter import settings
from wigeonrouter.configuration import _replica
from wigeonrouter.schema import settings_pb2

_SERVICES = 5 * _replica.SERVICES_PER_PAUSE


def _entry(revision, queue):
    entry = settings_pb2.LogEntry(revision=revision, change_id=str(revision))
    if revision > 1:
        change = entry.changes.add(path="/")
        change.settings.limits.max_queue = queue
        return entry
    node = entry.changes.add(path="/").node
    for number in range(_SERVICES):
        match = node.children[f"s{number}"].settings.match
        match.service_header = f"s{number}"
    return entry


def _queues(replica):
    return {s.limits.max_queue for s in replica.services.values()}


@pytest.mark.parametrize("by_snapshot", [False, True])
def test_readers_get_one_revision_while_services_are_built(by_snapshot):
    observed = []

    def pause():
        observed.append((replica.revision, _queues(replica)))
        gevent.sleep(0)

    replica = configuration.Replica(pause=pause)
    replica.apply_entries([_entry(1, 0)])
    replica.apply_entries([_entry(2, 20)])
    observed.clear()
    if by_snapshot:
        other = configuration.Replica()
        other.apply_entries([_entry(1, 0), _entry(2, 20), _entry(3, 30)])
        replica.load_snapshot(other.snapshot())
    else:
        replica.apply_entries([_entry(3, 30)])
    assert observed == [(2, {20})] * 5
    assert (replica.revision, _queues(replica)) == (3, {30})


def test_changes_wait_while_services_are_built():
    """Without a lock they would modify the tree that is being read."""
    notified = []
    replica = configuration.Replica(pause=lambda: gevent.sleep(0))
    replica.subscribe(lambda r: notified.append((r.revision, _queues(r))))
    entries = [_entry(1, 0)] + [_entry(n, n) for n in range(2, 7)]
    replica.apply_entries(entries[:1])
    notified.clear()
    tasks = [
        gevent.spawn(replica.apply_entries, entries[: count + 1])
        for count in range(1, 6)
    ]
    gevent.sleep(0)
    snapshot = replica.snapshot()
    gevent.joinall(tasks, raise_error=True)
    assert notified == [(n, {n}) for n in range(2, 7)]
    assert replica.services == settings.build_services(replica.root)
    copy = configuration.Replica()
    copy.load_snapshot(snapshot)
    expected = copy.revision
    assert _queues(copy) == {expected if expected > 1 else 256}


def test_a_validation_is_repeated_if_the_replica_advanced(store):
    """The slot that was read first belongs to an older revision by then."""
    replica, peer = configuration.Replica(), configuration.Replica()
    changes = _entry(1, 0).changes

    def propose(change_id, onto, pause=None):
        return configuration.accept(
            store=store,
            replica=onto,
            proposal=configuration.Proposal(
                change_id=change_id,
                author="operator",
                base_revision=0,
                changes=changes,
            ),
            now_ms=0,
            pause=pause,
        )

    def interfere():
        if peer.revision == 0:
            propose("first", peer)
            replica.apply_entries(peer.history())

    rejected = propose("second", replica, pause=interfere)
    assert isinstance(rejected.failure(), configuration.Conflict)
    assert rejected.failure().current_revision == 1
