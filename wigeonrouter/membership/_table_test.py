"""Tests of the member table and of peer selection.

Guards against members that are wrongly seen as alive or dead.
"""

import dataclasses
import random

from hypothesis import settings as hypothesis_settings
from hypothesis import stateful
from hypothesis import strategies
import pytest

from wigeonrouter import core
from wigeonrouter.membership import _schedule
from wigeonrouter.membership import _table

_STATES = core.MemberState
_NODES = 6


def member(number, *, state=_STATES.ALIVE, incarnation=1, place=None):
    region = f"r{number % 2}"
    address = core.Address(host="127.0.0.1", port=1000 + number)
    return core.Member(
        daemon_id=f"d{number}",
        incarnation=incarnation,
        state=state,
        place=place or core.Place(region=region, failure_domain=f"{region}-a"),
        caller_address=address,
        admin_address=address,
        peer_address=address,
    )


def _table_with(*members):
    table = _table.MemberTable(own=member(0))
    for other in members:
        table.merge(other, now=0.0)
    return table


@pytest.mark.parametrize(
    ("known", "received", "after"),
    [
        ((_STATES.ALIVE, 1), (_STATES.SUSPECT, 1), (_STATES.SUSPECT, 1)),
        ((_STATES.SUSPECT, 1), (_STATES.ALIVE, 1), (_STATES.SUSPECT, 1)),
        ((_STATES.SUSPECT, 1), (_STATES.ALIVE, 2), (_STATES.ALIVE, 2)),
        ((_STATES.ALIVE, 2), (_STATES.SUSPECT, 1), (_STATES.ALIVE, 2)),
        ((_STATES.ALIVE, 2), (_STATES.DEAD, 1), (_STATES.ALIVE, 2)),
        # A third party's report alone does not remove an alive member.
        ((_STATES.ALIVE, 1), (_STATES.DEAD, 1), (_STATES.SUSPECT, 1)),
        ((_STATES.SUSPECT, 1), (_STATES.DEAD, 1), (_STATES.DEAD, 1)),
        ((_STATES.DEAD, 1), (_STATES.ALIVE, 1), (_STATES.DEAD, 1)),
        ((_STATES.DEAD, 1), (_STATES.ALIVE, 2), (_STATES.ALIVE, 2)),
        ((_STATES.ALIVE, 1), (_STATES.LEAVING, 1), (_STATES.LEAVING, 1)),
        ((_STATES.SUSPECT, 1), (_STATES.LEAVING, 1), (_STATES.LEAVING, 1)),
        ((_STATES.LEAVING, 1), (_STATES.SUSPECT, 1), (_STATES.LEAVING, 1)),
        ((_STATES.LEAVING, 1), (_STATES.DEAD, 1), (_STATES.DEAD, 1)),
    ],
)
def test_the_newer_record_wins(known, received, after):
    table = _table_with(member(1, state=known[0], incarnation=known[1]))
    table.merge(member(1, state=received[0], incarnation=received[1]), now=0.0)
    record = table.find("d1")
    assert (record.state, record.incarnation) == after


@pytest.mark.parametrize("state", [_STATES.SUSPECT, _STATES.DEAD])
def test_a_daemon_refutes_its_own_failure(state):
    table = _table_with()
    assert table.merge(member(0, state=state, incarnation=5), now=0.0)
    assert table.own.state is _STATES.ALIVE
    assert table.own.incarnation == 6
    assert table.own in table.take_updates()


def test_a_leaving_daemon_stays_leaving_when_it_refutes():
    table = _table_with()
    table.leave()
    table.merge(member(0, state=_STATES.DEAD), now=0.0)
    assert table.own.state is _STATES.LEAVING


def test_a_suspect_is_declared_dead_after_the_timeout_and_later_removed():
    table = _table_with(member(1))
    table.suspect("d1", now=10.0)
    assert not table.expire(now=12.9)
    assert "d1" not in [m.daemon_id for m in table.alive]
    assert table.expire(now=13.0)
    assert table.find("d1").state is _STATES.DEAD
    assert not table.expire(now=612.9)
    table.expire(now=613.0)
    assert table.find("d1") is None


def test_an_unresponsive_leaving_member_is_declared_dead():
    table = _table_with(member(1, state=_STATES.LEAVING))
    table.suspect("d1", now=0.0)
    table.expire(now=3.0)
    assert table.find("d1").state is _STATES.DEAD


def test_a_pause_of_this_daemon_extends_the_suspicion_timeout():
    table = _table_with(member(1))
    table.suspect("d1", now=0.0)
    table.extend_deadlines(60.0)
    table.expire(now=60.0)
    assert table.find("d1").state is _STATES.SUSPECT


def test_an_update_is_sent_a_bounded_number_of_times():
    table = _table_with(*(member(number) for number in range(1, 8)))
    sent = [m.daemon_id for _ in range(100) for m in table.take_updates()]
    assert {sent.count(m.daemon_id) for m in table.members} == {12}


def test_a_suspect_is_always_sent_its_suspicion():
    table = _table_with(member(1))
    table.suspect("d1", now=0.0)
    for _ in range(100):
        sent = table.take_updates(receiver="d1")
    assert [m.state for m in sent] == [_STATES.SUSPECT]


def test_exchanges_are_round_robin_and_mostly_in_the_own_region():
    table = _table_with(*(member(number) for number in range(1, 9)))
    schedule = _schedule.Schedule(table=table, rng=random.Random(1))
    chosen = [schedule.next_peer() for _ in range(100)]
    local = [m for m in chosen if m.place.region == "r0"]
    assert len(local) == 80
    for start in range(0, 80, 4):
        assert len({m.daemon_id for m in local[start : start + 4]}) == 4


def test_a_push_reaches_another_region_and_dead_members_are_retried_in_turn():
    dead = [member(n, state=_STATES.DEAD) for n in range(9, 12)]
    table = _table_with(*(member(n) for n in range(1, 9)), *dead)
    schedule = _schedule.Schedule(table=table, rng=random.Random(1))
    regions = [m.place.region for m in schedule.push_targets()]
    assert sorted(regions) == ["r0", "r0", "r1"]
    tried = [schedule.next_dead_member(now=now) for now in range(1, 16)]
    assert {m.daemon_id for m in tried if m} == {"d9", "d10", "d11"}
    assert sum(m is not None for m in tried) == 3


class GossipMachine(stateful.RuleBasedStateMachine):
    """Daemons gossip while some are paused, replaced or partitioned."""

    def __init__(self):
        super().__init__()
        self.now = 1.0
        self.rng = random.Random(1)
        self.tables = [
            _table.MemberTable(own=member(number)) for number in range(_NODES)
        ]
        for table in self.tables:
            for other in self.tables:
                table.merge(other.own, now=self.now)
        self.schedules = [
            _schedule.Schedule(table=table, rng=self.rng)
            for table in self.tables
        ]
        self.paused = set()
        self.partitioned = False
        self.incarnations = {}

    numbers = strategies.integers(0, _NODES - 1)

    @stateful.rule(seconds=strategies.sampled_from([0.1, 1.0, 3.0, 20.0]))
    def pass_time(self, seconds):
        self.now += seconds
        for number, table in enumerate(self.tables):
            if number not in self.paused:
                table.expire(now=self.now)

    @stateful.rule()
    def round(self):
        for number in range(_NODES):
            self._gossip_round(number)

    @stateful.rule(number=numbers)
    def pause_or_resume(self, number):
        self.paused ^= {number}

    @stateful.rule(number=numbers)
    def replace(self, number):
        """Replace a daemon by a new process that knows one peer only."""
        own = dataclasses.replace(
            member(number), incarnation=int(self.now * 1000)
        )
        self.tables[number] = _table.MemberTable(own=own)
        self.schedules[number] = _schedule.Schedule(
            table=self.tables[number], rng=self.rng
        )
        self.paused.discard(number)
        self.incarnations = {
            key: seen
            for key, seen in self.incarnations.items()
            if key[0] != number
        }
        for seed in range(_NODES):
            if self._exchange(number, seed, full=True):
                break

    @stateful.rule(partitioned=strategies.booleans())
    def partition_regions(self, partitioned):
        self.partitioned = partitioned

    @stateful.invariant()
    def own_record_is_alive_and_incarnations_never_decrease(self):
        for number, table in enumerate(self.tables):
            assert table.own.state is _STATES.ALIVE
            assert table.find(table.own.daemon_id) == table.own
            for other in table.members:
                key = (number, other.daemon_id)
                assert other.incarnation >= self.incarnations.get(key, 0)
                self.incarnations[key] = other.incarnation

    def teardown(self):
        """Check that all views converge in bounded time without faults."""
        self.partitioned = False
        self.paused.clear()
        for _ in range(120):
            self.now += 1.0
            for number in range(_NODES):
                self._gossip_round(number)
                self.tables[number].expire(now=self.now)
        for table in self.tables:
            assert {m.daemon_id for m in table.alive} == {
                f"d{number}" for number in range(_NODES)
            }
        assert len({table.digest for table in self.tables}) == 1

    def _gossip_round(self, number):
        """Do the steps of Gossip.exchange_once without network calls."""
        if number in self.paused:
            return
        schedule, table = self.schedules[number], self.tables[number]
        peer = schedule.next_peer()
        if peer is None:
            self._exchange(number, (number + 1) % _NODES, full=True)
        elif not self._exchange(number, int(peer.daemon_id[1:])):
            indirectly_reached = any(
                self._reaches(number, int(prober.daemon_id[1:]))
                and self._reaches(
                    int(prober.daemon_id[1:]), int(peer.daemon_id[1:])
                )
                for prober in schedule.indirect_probers(peer.daemon_id)
            )
            if not indirectly_reached:
                table.suspect(peer.daemon_id, now=self.now)
        dead = schedule.next_dead_member(now=self.now)
        if dead and self._exchange(number, int(dead.daemon_id[1:]), full=True):
            schedule.retry_dead_now()

    def _reaches(self, first, second):
        return not (
            {first, second} & self.paused
            or (self.partitioned and first % 2 != second % 2)
        )

    def _exchange(self, first, second, full=False):
        if not self._reaches(first, second) or first == second:
            return False
        self._send(first, second, full)
        self._send(second, first, full)
        return True

    def _send(self, sender, receiver, full):
        source, target = self.tables[sender], self.tables[receiver]
        updates = source.take_updates(receiver=target.own.daemon_id)
        if full:
            updates += [m for m in source.peers if m not in updates]
        target.merge(source.own, now=self.now, direct=True)
        for update in updates:
            target.merge(update, now=self.now)


def test_views_converge_after_any_sequence_of_failures():
    stateful.run_state_machine_as_test(
        GossipMachine,
        settings=hypothesis_settings(
            max_examples=60,
            stateful_step_count=30,
            derandomize=True,
            deadline=None,
        ),
    )
