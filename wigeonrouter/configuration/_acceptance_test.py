"""Tests of acceptance: conflicts, lost replies and idempotent retries.

Guards against lost, duplicated or reverted configuration changes.
"""

import gevent
from returns import pipeline

from wigeonrouter import configuration
from wigeonrouter.schema import settings_pb2
from wigeonrouter.schema import store_pb2


def _proposal(change_id, path="/a", base=0, queue=1):
    node = settings_pb2.Node()
    node.settings.limits.max_queue = queue
    return configuration.Proposal(
        change_id=change_id,
        author="operator",
        base_revision=base,
        changes=(settings_pb2.Change(path=path, node=node),),
    )


def _accept(store, replica, proposal):
    return configuration.accept(
        store=store, replica=replica, proposal=proposal, now_ms=0
    )


def test_of_concurrent_changes_of_one_path_one_is_accepted(store):
    first, second = configuration.Replica(), configuration.Replica()
    tasks = [
        gevent.spawn(_accept, store, replica, _proposal(name))
        for name, replica in (("one", first), ("two", second))
    ]
    gevent.joinall(tasks)
    results = [task.get() for task in tasks]
    assert sorted(map(pipeline.is_successful, results)) == [False, True]
    conflict = next(
        r for r in results if not pipeline.is_successful(r)
    ).failure()
    assert conflict.base_revision == 0
    assert conflict.current_revision == 1


def test_concurrent_changes_of_different_paths_are_accepted(store):
    first, second = configuration.Replica(), configuration.Replica()
    assert _accept(store, first, _proposal("one", path="/a")).unwrap()
    entry = _accept(store, second, _proposal("two", path="/b")).unwrap()
    assert entry.revision == 2


def test_a_lost_reply_is_resolved_by_reading_back(store, store_standin):
    store_standin.inject(store_pb2.FaultCall(lost_replies=1))
    replica = configuration.Replica()
    entry = _accept(store, replica, _proposal("one")).unwrap()
    assert entry.revision == replica.revision == 1


def test_repeating_a_change_id_applies_it_once(store):
    replica = configuration.Replica()
    first = _accept(store, replica, _proposal("one")).unwrap()
    again = _accept(store, replica, _proposal("one", queue=2)).unwrap()
    assert first == again
    assert replica.revision == 1


def test_an_outage_rejects_the_change(store, store_standin):
    store_standin.inject(store_pb2.FaultCall(down=True))
    failure = _accept(store, configuration.Replica(), _proposal("one"))
    assert isinstance(failure.failure(), configuration.StoreDown)


def test_a_writer_paused_while_the_log_wraps_around_fails(store):
    # The paused writer read slot 1 while it was empty.
    key = configuration.log_key(1)
    newer = settings_pb2.LogEntry(revision=4097, change_id="newer")
    assert store.compare_and_swap(
        key=key, expected_version=0, value=newer.SerializeToString()
    )
    stale = settings_pb2.LogEntry(revision=1, change_id="stale")
    assert not store.compare_and_swap(
        key=key, expected_version=0, value=stale.SerializeToString()
    )
