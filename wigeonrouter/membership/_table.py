"""The member table: one daemon's view of the states of all daemons.

Records are ordered by incarnation and state, as in SWIM. The table is a pure
state machine: it reads no clock and sends nothing. Times are seconds on the
caller's monotonic clock.
"""

import dataclasses
import math

import xxhash

from wigeonrouter import core
from wigeonrouter.membership import _updates

SUSPICION_TIMEOUT_S = 3.0
DEAD_RETENTION_S = 600.0
# Bound on the updates piggybacked on one message; the least sent go first.
MAX_UPDATES_PER_MESSAGE = 64

# Of two records with the same incarnation the state that ranks higher wins.
_STATE_PRECEDENCE = {
    core.MemberState.STARTING: -1,
    core.MemberState.ALIVE: 0,
    core.MemberState.SUSPECT: 1,
    core.MemberState.LEAVING: 2,
    core.MemberState.DEAD: 3,
}
# States in which a member runs, but is not advertised to callers.
_UNADVERTISED_STATES = (core.MemberState.STARTING, core.MemberState.LEAVING)


class MemberTable:
    """Records of all known daemons, including this one.

    Args:
      own: core.Member, the record of this daemon.
    """

    def __init__(self, *, own):
        self._own = own
        self._members = {own.daemon_id: own}
        # Times at which a suspect, or a starting or leaving member that does
        # not respond, is declared dead.
        self._deadlines = {}
        self._died_at = {}
        self._updates = _updates.TransmitLimitedQueue()
        self._updates.add(own.daemon_id)
        self._alive = None
        self._leaving = set()
        self._digest = _hash(own)

    @property
    def own(self):
        """This daemon's own record."""
        return self._own

    @property
    def members(self):
        """Tuple of all known members, this daemon included."""
        return tuple(self._members.values())

    @property
    def alive(self):
        """Tuple of the alive members, which are advertised to callers."""
        if self._alive is None:
            self._alive = tuple(
                member
                for member in self._members.values()
                if member.state is core.MemberState.ALIVE
            )
        return self._alive

    @property
    def peers(self):
        """Tuple of the other members that are not dead."""
        return tuple(
            member
            for member in self._members.values()
            if member.daemon_id != self._own.daemon_id
            and member.state is not core.MemberState.DEAD
        )

    @property
    def dead(self):
        """Tuple of the members that were declared dead and not yet removed."""
        return tuple(self._members[daemon_id] for daemon_id in self._died_at)

    @property
    def leaving_ids(self):
        """Frozen set of the ids of members that are leaving."""
        return frozenset(self._leaving)

    @property
    def digest(self):
        """Digest of the members that are not dead, a 64-bit integer.

        Suspicion is not included, because it resolves within seconds.
        """
        return self._digest

    @property
    def all_updates_sent(self):
        """Whether no update is pending."""
        return not self._updates

    def owns_in_region(self, task):
        """Return whether this daemon owns a task of its region.

        Rendezvous hashing selects one of the region's alive daemons. While
        the daemons' views differ there may be two owners, or none.

        Args:
          task: name of the task.
        """
        region = self._own.place.region
        candidates = [
            member.daemon_id
            for member in self.alive
            if member.place.region == region
        ]
        order = core.rendezvous_order(task, candidates)
        return order[:1] == [self._own.daemon_id]

    def find(self, daemon_id):
        """Return the member with an id, or None."""
        return self._members.get(daemon_id)

    def merge(self, member, *, now=0.0, direct=False):
        """Apply a received record if it is newer than the known one.

        A record that says that this daemon is suspect or dead is refuted. A
        third party's report of a death makes an alive member only suspect,
        so that a region that rejoins after a network partition cannot remove
        the live members of another region.

        Args:
          member: core.Member, the received record.
          now: time of arrival, seconds.
          direct: whether the member itself sent the record.
        Returns:
          Whether the table changed.
        """
        if member.daemon_id == self._own.daemon_id:
            return self._refute(member)
        known = self._members.get(member.daemon_id)
        if known is not None and _rank(member) <= _rank(known):
            if direct:
                self._record_contact(known, now)
            return False
        if (
            member.state is core.MemberState.DEAD
            and not direct
            and known is not None
            and known.state is core.MemberState.ALIVE
        ):
            member = dataclasses.replace(
                member, state=core.MemberState.SUSPECT
            )
        self._store_record(member, now)
        return True

    def suspect(self, daemon_id, *, now):
        """Start suspicion: direct and indirect probes of a member failed.

        Args:
          daemon_id: id of the member.
          now: current time, seconds.
        Returns:
          Whether the table changed.
        """
        known = self._members.get(daemon_id)
        if known is None or daemon_id == self._own.daemon_id:
            return False
        if known.state in _UNADVERTISED_STATES:
            # A member that is not advertised keeps its state until it is
            # declared dead at the deadline.
            self._deadlines.setdefault(daemon_id, now + SUSPICION_TIMEOUT_S)
        if known.state is not core.MemberState.ALIVE:
            return False
        self._store_record(
            dataclasses.replace(known, state=core.MemberState.SUSPECT), now
        )
        return True

    def expire(self, *, now):
        """Declare overdue members dead; remove those dead for long.

        Returns:
          Whether the table changed.
        """
        overdue = [
            daemon_id
            for daemon_id, deadline in self._deadlines.items()
            if deadline <= now
        ]
        for daemon_id in overdue:
            known = self._members[daemon_id]
            self._store_record(
                dataclasses.replace(known, state=core.MemberState.DEAD), now
            )
        removed = [
            daemon_id
            for daemon_id, died_at in self._died_at.items()
            if died_at + DEAD_RETENTION_S <= now
        ]
        for daemon_id in removed:
            del self._died_at[daemon_id]
            del self._members[daemon_id]
            self._updates.discard(daemon_id)
        return bool(overdue or removed)

    def extend_deadlines(self, seconds):
        """Move all deadlines later, after a pause of this process.

        Args:
          seconds: duration of the pause.
        """
        for times in (self._deadlines, self._died_at):
            for daemon_id in times:
                times[daemon_id] += seconds

    def become_ready(self):
        """Set this daemon's state to alive, which advertises it."""
        self._store_own_record(
            dataclasses.replace(self._own, state=core.MemberState.ALIVE)
        )

    def leave(self):
        """Set this daemon's state to leaving."""
        self._store_own_record(
            dataclasses.replace(self._own, state=core.MemberState.LEAVING)
        )

    @property
    def retransmit_limit(self):
        """Number of messages on which one update is piggybacked."""
        size = len(self._members) - len(self._died_at)
        return math.ceil(4 * math.log2(max(size, 2)))

    def take_updates(self, *, receiver=None, limit=MAX_UPDATES_PER_MESSAGE):
        """Return the list of records to piggyback on one message.

        Args:
          receiver: id of the receiving daemon, if known. Its own record is
            always included where it is suspect or dead, so that it can
            refute that.
          limit: bound on the number of the other records.
        """
        member_ids = self._updates.take(
            limit=limit, max_sends=self.retransmit_limit
        )
        members = [self._members[member_id] for member_id in member_ids]
        known = self._members.get(receiver)
        if (
            known is not None
            and receiver not in member_ids
            and known.state
            in (core.MemberState.SUSPECT, core.MemberState.DEAD)
        ):
            members.append(known)
        return members

    def _record_contact(self, known, now):
        """Restart or cancel the deadline of a member that responded.

        A suspect learns of the suspicion with the next message sent to it
        and refutes it with a higher incarnation.
        """
        if known.state is core.MemberState.SUSPECT:
            self._deadlines[known.daemon_id] = now + SUSPICION_TIMEOUT_S
        else:
            self._deadlines.pop(known.daemon_id, None)

    def _refute(self, member):
        if _rank(member) <= _rank(self._own):
            return False
        self._store_own_record(
            dataclasses.replace(self._own, incarnation=member.incarnation + 1)
        )
        return True

    def _store_own_record(self, member):
        self._own = member
        self._store_record(member, 0.0)

    def _store_record(self, member, now):
        daemon_id = member.daemon_id
        known = self._members.get(daemon_id)
        if known is not None:
            self._digest ^= _hash(known)
        self._digest ^= _hash(member)
        self._members[daemon_id] = member
        self._deadlines.pop(daemon_id, None)
        self._died_at.pop(daemon_id, None)
        self._leaving.discard(daemon_id)
        if member.state is core.MemberState.SUSPECT:
            self._deadlines[daemon_id] = now + SUSPICION_TIMEOUT_S
        elif member.state is core.MemberState.DEAD:
            self._died_at[daemon_id] = now
        elif member.state is core.MemberState.LEAVING:
            self._leaving.add(daemon_id)
        self._updates.add(daemon_id)
        self._alive = None


def _rank(member):
    return member.incarnation, _STATE_PRECEDENCE[member.state]


def _hash(member):
    """Return a record's share of the digest; 0 leaves dead members out."""
    if member.state is core.MemberState.DEAD:
        return 0
    state = member.state if member.state in _UNADVERTISED_STATES else ""
    return xxhash.xxh3_64_intdigest(
        f"{member.daemon_id} {member.incarnation} {state}".encode()
    )
