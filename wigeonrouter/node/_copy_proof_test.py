"""Tests of how a hub's proof reaches the age of a follower's copy."""

import gevent
import pytest

from wigeonrouter import store as store_api
from wigeonrouter.node import _follower
from wigeonrouter.node import _store_cache
from wigeonrouter.schema import node_pb2


class _ScriptedChannel:
    """Channel of a hub that has sent some messages and disconnects."""

    def __init__(self, messages):
        self._messages = list(messages)

    def send(self, message, *, timeout):
        pass

    def receive(self, *, timeout):
        return self._messages.pop(0)

    def close(self):
        pass


@pytest.fixture
def follow(monkeypatch):
    """Return a function that follows a hub which sends some pulses.

    The follower has read up to revision 7. Returns the ages of the copy in
    seconds that were confirmed to it.
    """

    def run(*pulses, era=1, stale=False):
        messages = [node_pb2.PeerMessage(pulse=pulse) for pulse in pulses]
        messages.append(
            node_pb2.PeerMessage(pulse=node_pb2.Pulse(leaving=True))
        )
        monkeypatch.setattr(
            _follower._channel,
            "connect",
            lambda **_: _ScriptedChannel(messages),
        )
        cache = _store_cache.StoreCache(apply=lambda *_: None)
        position = store_api.Position(era=era, revision=7)
        cache.replace_all((), position, stale=stale)
        ages = []
        _follower.Follower(
            hub="192.0.2.1",
            port=1,
            store_cache=cache,
            state_changed=gevent.event.Event(),
            callbacks=_follower.FollowerCallbacks(
                own_state=node_pb2.NodeState,
                roster=dict,
                on_roster=lambda roster: None,
                on_heartbeat=lambda reachable: None,
                on_confirmed=ages.append,
                on_successor=lambda host: None,
                on_store_lost=lambda: None,
                has_better_hub=lambda: False,
            ),
        ).run()
        return ages

    return run


def _pulse(*, revision, age_ms=None, era=1):
    return node_pb2.Pulse(
        store_answers=True,
        proof=node_pb2.CopyProof(age_ms=age_ms, revision=revision, era=era),
    )


def test_follower_takes_the_age_that_its_hub_names(follow):
    """Guards against followers that take a stuck hub's copy for current."""
    assert follow(_pulse(revision=7, age_ms=900)) == [0.9]


@pytest.mark.parametrize("newer", [{"revision": 8}, {"revision": 1, "era": 2}])
def test_proof_of_changes_that_a_follower_lacks_counts_nothing(follow, newer):
    """Guards against a follower that could not apply an update."""
    assert follow(_pulse(age_ms=0, **newer)) == []


def test_hub_that_never_read_the_store_proves_nothing(follow):
    """Guards against the stale listing of a hub's start."""
    assert follow(_pulse(revision=7)) == []


def test_heartbeat_of_an_earlier_build_counts_while_the_store_answers(follow):
    """Guards against hundreds of reads during an update of all nodes."""
    ages = follow(
        node_pb2.Pulse(store_answers=True), node_pb2.Pulse(store_answers=False)
    )
    assert ages == [0.0]


@pytest.mark.parametrize("hub_era", [1, 2])
def test_unconfirmed_copy_has_no_age(follow, hub_era):
    """Guards against a stale listing that a hub's heartbeat makes current.

    The listing names the era after a restore, and may be from before it.
    """
    pulse = _pulse(revision=5, age_ms=100, era=hub_era)
    assert follow(pulse, era=2, stale=True) == []
