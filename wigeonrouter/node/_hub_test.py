"""Tests of the roster that a hub sends to its followers."""

import gevent
from gevent import queue as gevent_queue
import hypothesis
from hypothesis import strategies
import pytest

from wigeonrouter.node import _channel
from wigeonrouter.node import _hub
from wigeonrouter.node import _roster
from wigeonrouter.node import _store_cache
from wigeonrouter.schema import node_pb2

HUB_HOST = "192.0.2.200"
WAIT_S = 5.0
_HOSTS = strategies.integers(0, 7).map(lambda number: f"192.0.2.{number}")
_ROSTERS = strategies.dictionaries(_HOSTS, strategies.booleans(), max_size=8)


def _state(host, *, ready=True):
    return node_pb2.NodeState(
        host=host,
        caller_address=f"{host}:8548",
        failure_domain="north-a",
        ready=ready,
        capacity_millicores=860,
    )


def _roster_of(readiness):
    return {
        host: _state(host, ready=ready) for host, ready in readiness.items()
    }


class _FollowerChannel:
    """Channel of a follower that applies the rosters which it receives."""

    def __init__(self):
        self.roster = None
        self.roster_bytes = 0
        self._incoming = gevent_queue.Queue()

    def send(self, message, *, timeout):
        kind = message.WhichOneof("body")
        if kind == "roster":
            self.roster = _roster.from_message(message.roster)
        elif kind == "roster_change":
            self.roster = _roster.apply_change(
                self.roster, message.roster_change
            )
        else:
            return
        self.roster_bytes += message.ByteSize()

    def receive(self, *, timeout, max_bytes):
        message = self._incoming.get()
        if message is None:
            raise _channel.ChannelClosed("closed by the peer")
        return message

    def report(self, state):
        self._incoming.put(node_pb2.PeerMessage(state=state))

    def close(self):
        self._incoming.put(None)


class _Clock:
    """Clock that is set by hand."""

    def __init__(self):
        self.now = 100.0

    def __call__(self):
        return self.now


@pytest.fixture
def clock():
    """Return the clock of the hub."""
    return _Clock()


@pytest.fixture
def hub(clock):
    """Return a hub of a region that expects no nodes yet."""
    return _hub.Hub(
        clock=clock,
        store_cache=_store_cache.StoreCache(apply=lambda *_: None),
        own_state=lambda: _state(HUB_HOST),
        on_roster=lambda roster: None,
    )


@pytest.fixture
def join(hub):
    """Return a function that lets a follower join; returns its channel."""
    tasks = []

    def start(host, *, accepts_roster_changes=True):
        channel = _FollowerChannel()
        message = node_pb2.Join(
            state=_state(host), accepts_roster_changes=accepts_roster_changes
        )
        tasks.append(gevent.spawn(hub.serve, channel, message))
        return channel

    yield start
    gevent.killall(tasks)


def _wait_for(channels, expected):
    """Wait until the followers have the expected readiness by host."""
    with gevent.Timeout(WAIT_S):
        while not all(
            channel.roster == _roster_of(expected) for channel in channels
        ):
            gevent.sleep(0.01)


def test_bytes_of_a_change_do_not_grow_with_the_region(join):
    """Guards against bytes that grow with the square of the region.

    The whole roster went to every follower after each change. With 104 nodes
    that was 490 KB for one node, over links of 10 Mbit/s.
    """
    hosts = [f"192.0.2.{number}" for number in range(60)]
    channels = [join(host) for host in hosts]
    expected = dict.fromkeys([*hosts, HUB_HOST], True)
    _wait_for(channels, expected)
    before = sum(channel.roster_bytes for channel in channels)
    channels[0].report(_state(hosts[0], ready=False))
    _wait_for(channels, expected | {hosts[0]: False})
    sent = sum(channel.roster_bytes for channel in channels) - before
    assert sent <= len(channels) * 100


def test_node_that_joins_and_leaves_within_a_batch_is_dropped(join):
    """Guards against a node that stays in the roster of those who joined."""
    first = join("192.0.2.1")
    short = join("192.0.2.2")
    second = join("192.0.2.3")
    gevent.sleep(0)
    short.close()
    hosts = ["192.0.2.1", "192.0.2.3", HUB_HOST]
    _wait_for([first, second], dict.fromkeys(hosts, True))


def test_follower_of_an_earlier_version_gets_whole_rosters(join):
    """Guards against an outdated roster while versions are mixed."""
    old = join("192.0.2.1", accepts_roster_changes=False)
    new = join("192.0.2.2")
    expected = dict.fromkeys(["192.0.2.1", "192.0.2.2", HUB_HOST], True)
    _wait_for([old, new], expected)
    before = old.roster_bytes
    expected["192.0.2.2"] = False
    new.report(_state("192.0.2.2", ready=False))
    _wait_for([old, new], expected)
    whole = node_pb2.PeerMessage(
        roster=_roster.to_message(_roster_of(expected))
    )
    assert old.roster_bytes - before == whole.ByteSize()


@hypothesis.given(before=_ROSTERS, after=_ROSTERS)
def test_applied_change_gives_the_new_roster(before, after):
    """Guards against a change that leaves out or keeps a node."""
    old, new = _roster_of(before), _roster_of(after)
    change = _roster.find_change(old, new)
    if change is None:
        assert old == new
        return
    assert _roster.apply_change(old, change) == new
    # A change may be applied to a roster that has a part of it already.
    assert _roster.apply_change(new, change) == new


def test_only_one_follower_at_a_time_may_take_over(hub, clock):
    """Guards against as many hubs as followers that reach the store."""
    hub.set_store_reachable(False)
    assert hub.grant_take_over("192.0.2.1")
    assert not hub.grant_take_over("192.0.2.2")
    assert hub.grant_take_over("192.0.2.1")
    # The first one has ended before it was the hub.
    clock.now += 1.6
    assert hub.grant_take_over("192.0.2.2")
    assert not hub.grant_take_over("192.0.2.1")


def test_nobody_takes_over_from_a_hub_that_reaches_the_store(hub):
    """Guards against a change of the hub after a short outage."""
    hub.set_store_reachable(False)
    hub.set_store_reachable(True)
    assert not hub.grant_take_over("192.0.2.1")
