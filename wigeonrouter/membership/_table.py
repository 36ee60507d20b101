"""The member table: what one daemon believes about the others.

The table is a pure state machine: it reads no clock and sends nothing. Times
are seconds on the caller's monotonic clock.
"""

import dataclasses
import math

import xxhash

from wigeonrouter import core
from wigeonrouter.membership import _updates

SUSPECT_S = 3.0
DEAD_KEPT_S = 600.0
# Bounds one message; the least sent updates go first.
MAX_UPDATES = 64

# A statement about the same life of a daemon wins by the later of these.
_PRECEDENCE = {
    core.MemberState.STARTING: -1,
    core.MemberState.ALIVE: 0,
    core.MemberState.SUSPECT: 1,
    core.MemberState.LEAVING: 2,
    core.MemberState.DEAD: 3,
}
# States in which a member runs and is not named to callers.
_UNNAMED = (core.MemberState.STARTING, core.MemberState.LEAVING)


class MemberTable:
    """Owns the records of all known daemons, this one included."""

    def __init__(self, *, own):
        self._own = own
        self._members = {own.daemon_id: own}
        # Time at which a suspect, or a leaving member that does not answer,
        # is declared dead.
        self._deadlines = {}
        self._died = {}
        self._updates = _updates.Updates()
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
        """Members that may be named to callers."""
        if self._alive is None:
            self._alive = tuple(
                member
                for member in self._members.values()
                if member.state is core.MemberState.ALIVE
            )
        return self._alive

    @property
    def peers(self):
        """Other members that are not dead."""
        return tuple(
            member
            for member in self._members.values()
            if member.daemon_id != self._own.daemon_id
            and member.state is not core.MemberState.DEAD
        )

    @property
    def dead(self):
        """Members that were declared dead and are still kept."""
        return tuple(self._members[daemon_id] for daemon_id in self._died)

    @property
    def leaving_ids(self):
        """Frozen set of the ids of members that are leaving."""
        return frozenset(self._leaving)

    @property
    def digest(self):
        """Digest of the members that are not dead, a 64-bit integer.

        Suspicion is left out: it ends within seconds by itself.
        """
        return self._digest

    @property
    def settled(self):
        """Whether no update waits to be sent."""
        return not self._updates

    def owns_in_region(self, task):
        """Return whether this daemon does a task for its region.

        Of the daemons of a region that are alive one does it, by rendezvous
        hash. For a moment after a change of view two may, or none.

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
        """Take over a statement about a member if it is newer.

        A statement that this daemon itself is suspect or dead is refuted. A
        third party's statement that a member is dead only makes it suspect
        where it was not suspected before, so that a region that lost contact
        cannot take away the live members of another one when it rejoins.

        Args:
          member: core.Member.
          now: time of arrival.
          direct: whether the member itself sent the statement.
        Returns:
          Whether the table changed.
        """
        if member.daemon_id == self._own.daemon_id:
            return self._refute(member)
        known = self._members.get(member.daemon_id)
        if known is not None and _rank(member) <= _rank(known):
            if direct:
                self._answered(known, now)
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
        self._set(member, now)
        return True

    def suspect(self, daemon_id, *, now):
        """Note that neither this daemon nor its helpers reached a member.

        Returns:
          Whether the table changed.
        """
        known = self._members.get(daemon_id)
        if known is None or daemon_id == self._own.daemon_id:
            return False
        if known.state in _UNNAMED:
            # A member that callers are not sent to keeps its state until it
            # is gone.
            self._deadlines.setdefault(daemon_id, now + SUSPECT_S)
        if known.state is not core.MemberState.ALIVE:
            return False
        self._set(
            dataclasses.replace(known, state=core.MemberState.SUSPECT), now
        )
        return True

    def expire(self, *, now):
        """Declare overdue suspects dead and forget members long dead.

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
            self._set(
                dataclasses.replace(known, state=core.MemberState.DEAD), now
            )
        forgotten = [
            daemon_id
            for daemon_id, died in self._died.items()
            if died + DEAD_KEPT_S <= now
        ]
        for daemon_id in forgotten:
            del self._died[daemon_id]
            del self._members[daemon_id]
            self._updates.discard(daemon_id)
        return bool(overdue or forgotten)

    def postpone(self, seconds):
        """Move every deadline after this daemon itself did not run."""
        for times in (self._deadlines, self._died):
            for daemon_id in times:
                times[daemon_id] += seconds

    def become_ready(self):
        """Mark this daemon as one that callers may be sent to."""
        self._set_own(
            dataclasses.replace(self._own, state=core.MemberState.ALIVE)
        )

    def leave(self):
        """Mark this daemon as leaving."""
        self._set_own(
            dataclasses.replace(self._own, state=core.MemberState.LEAVING)
        )

    @property
    def retransmit_limit(self):
        """Number of messages in which one update rides."""
        size = len(self._members) - len(self._died)
        return math.ceil(4 * math.log2(max(size, 2)))

    def take_updates(self, *, receiver=None, limit=MAX_UPDATES):
        """Return the members to be sent with one message.

        Args:
          receiver: id of the receiving daemon, if known; a statement that
            it has to refute is always included.
          limit: bound on the number of other members.
        """
        names = self._updates.take(limit=limit, sends=self.retransmit_limit)
        members = [self._members[name] for name in names]
        known = self._members.get(receiver)
        if (
            known is not None
            and receiver not in names
            and known.state
            in (core.MemberState.SUSPECT, core.MemberState.DEAD)
        ):
            members.append(known)
        return members

    def _answered(self, known, now):
        """Note that a member runs that was believed to be failing.

        It learns of the suspicion with the next message and refutes it.
        """
        if known.state is core.MemberState.SUSPECT:
            self._deadlines[known.daemon_id] = now + SUSPECT_S
        else:
            self._deadlines.pop(known.daemon_id, None)

    def _refute(self, member):
        if _rank(member) <= _rank(self._own):
            return False
        self._set_own(
            dataclasses.replace(self._own, incarnation=member.incarnation + 1)
        )
        return True

    def _set_own(self, member):
        self._own = member
        self._set(member, 0.0)

    def _set(self, member, now):
        daemon_id = member.daemon_id
        known = self._members.get(daemon_id)
        if known is not None:
            self._digest ^= _hash(known)
        self._digest ^= _hash(member)
        self._members[daemon_id] = member
        self._deadlines.pop(daemon_id, None)
        self._died.pop(daemon_id, None)
        self._leaving.discard(daemon_id)
        if member.state is core.MemberState.SUSPECT:
            self._deadlines[daemon_id] = now + SUSPECT_S
        elif member.state is core.MemberState.DEAD:
            self._died[daemon_id] = now
        elif member.state is core.MemberState.LEAVING:
            self._leaving.add(daemon_id)
        self._updates.add(daemon_id)
        self._alive = None


def _rank(member):
    return member.incarnation, _PRECEDENCE[member.state]


def _hash(member):
    if member.state is core.MemberState.DEAD:
        return 0
    state = member.state if member.state in _UNNAMED else ""
    return xxhash.xxh3_64_intdigest(
        f"{member.daemon_id} {member.incarnation} {state}".encode()
    )
