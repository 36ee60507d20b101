"""Tests of how a hub reads and writes the levels of grant bounds."""

import pytest

from wigeonrouter import store
from wigeonrouter import topology
from wigeonrouter.node import _quota_levels
from wigeonrouter.node import conftest


class _Feed:
    """Store with one entry.

    Attributes:
      failing: whether calls fail.
      written: the levels of each write.
    """

    def __init__(self):
        self.failing = False
        self.written = []
        self.revision = 0

    def write_quota_levels(self, *, region, levels):
        if self.failing:
            raise store.StoreUnavailable("down")
        if levels.revision != self.revision:
            return None
        self.revision += 1
        self.written.append(levels.levels)
        return self.revision


class _ClusterState:
    record = None

    def quota_levels(self, region):
        return self.record


@pytest.fixture
def feed():
    """Return the store's interface."""
    return _Feed()


@pytest.fixture
def cluster_state():
    """Return what the node knows of the store."""
    return _ClusterState()


@pytest.fixture
def clock():
    """Return a list with the present time."""
    return [100.0]


@pytest.fixture
def levels(feed, cluster_state, clock):
    """Return the QuotaLevels of a hub that has just begun."""
    levels = _quota_levels.QuotaLevels(
        region="r1",
        cluster_state=cluster_state,
        store_era=lambda: 1,
        feed=feed,
        events=conftest.SilentEvents(),
        clock=lambda: clock[0],
    )
    levels.start(ledger=7, first_start=True)
    return levels


def test_nothing_is_written_before_the_store_was_read(levels, feed):
    """Guards against an entry that replaces one which is not known yet."""
    levels.want("acme", 400)
    assert levels.write() and not feed.written
    levels.on_read()
    assert levels.write() and feed.written == [{"acme": 400}]


def test_hub_that_writes_the_first_entry_has_no_predecessor(levels):
    """Guards against refusals at the first start of the system."""
    levels.on_read()
    assert levels.levels("acme", quota=9, rate=1).prior is None
    levels.write()
    assert levels.levels("acme", quota=9, rate=1).prior == 0


def test_only_one_hub_of_a_first_start_has_no_predecessor(
    levels, feed, cluster_state
):
    """Guards against several hubs that each grant the whole quota at once."""
    feed.revision = 1
    levels.on_read()
    assert not levels.write()
    cluster_state.record = topology.QuotaLevelsWritten(
        region="r1", ledger=5, starts=0, general=100, levels={}, revision=1
    )
    assert levels.levels("acme", quota=9, rate=1).prior is None


def test_raise_waits_for_the_store(levels, feed, clock):
    """Guards against grants that no later hub could know of."""
    levels.on_read()
    levels.write()
    feed.failing = True
    levels.want("acme", 400)
    clock[0] += 1.0
    assert not levels.write()
    assert levels.levels("acme", quota=9, rate=1).level == 100
    feed.failing = False
    assert not levels.write()
    clock[0] += 1.0
    assert levels.write()
    assert levels.levels("acme", quota=9, rate=1).level == 400


def test_lowered_levels_are_written_seldom(levels, feed, clock):
    """Guards against a store call at each fall of a tenant's demand."""
    levels.on_read()
    levels.want("acme", 400)
    levels.write()
    levels.want("acme", 320)
    clock[0] += 10.0
    assert levels.write() and len(feed.written) == 1
    clock[0] += 1.0
    assert levels.write() and feed.written[1:] == [{"acme": 320}]
    levels.want("acme", 250)
    clock[0] += 9.0
    assert levels.write() and len(feed.written) == 2
    clock[0] += 1.0
    assert levels.write() and feed.written[2:] == [{"acme": 250}]


def test_ledger_has_begun_when_the_store_has_it(levels, feed, clock):
    """Guards against callers that are refused while a hub begins."""
    assert not levels.begun
    levels.on_read()
    feed.failing = True
    levels.write()
    assert not levels.begun
    feed.failing = False
    clock[0] += 1.0
    assert levels.write() and levels.begun
    levels.start(ledger=9, first_start=False)
    assert not levels.begun
