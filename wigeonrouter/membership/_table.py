"""The member table: what one daemon believes about the others."""

import dataclasses

from wigeonrouter import core

# A statement with the same incarnation wins by the later of these.
_PRECEDENCE = {
    core.MemberState.STARTING: -1,
    core.MemberState.ALIVE: 0,
    core.MemberState.SUSPECT: 1,
    core.MemberState.LEAVING: 2,
    core.MemberState.DEAD: 3,
}


class MemberTable:
    """Owns the records of all known daemons, this one included."""

    def __init__(self, *, own):
        self._own = own
        self._members = {own.daemon_id: own}

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
        return tuple(
            member
            for member in self._members.values()
            if member.state is core.MemberState.ALIVE
        )

    @property
    def peers(self):
        """Other members that are not dead."""
        return tuple(
            member
            for member in self._members.values()
            if member.daemon_id != self._own.daemon_id
            and member.state is not core.MemberState.DEAD
        )

    def find(self, daemon_id):
        """Return the member with an id, or None."""
        return self._members.get(daemon_id)

    def merge(self, member):
        """Take over a statement about a member if it is newer.

        A statement that this daemon itself is suspect or dead is refuted by
        a higher incarnation.

        Returns:
          Whether the table changed.
        """
        if member.daemon_id == self._own.daemon_id:
            return self._refute(member)
        known = self._members.get(member.daemon_id)
        if known is not None and _rank(member) <= _rank(known):
            return False
        self._members[member.daemon_id] = member
        return True

    def mark(self, daemon_id, state):
        """Set the state of a member at its present incarnation."""
        known = self._members[daemon_id]
        self._members[daemon_id] = dataclasses.replace(known, state=state)

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

    def _refute(self, member):
        if _rank(member) <= _rank(self._own):
            return False
        self._set_own(
            dataclasses.replace(
                self._own,
                incarnation=max(self._own.incarnation, member.incarnation) + 1,
            )
        )
        return True

    def _set_own(self, member):
        self._own = member
        self._members[member.daemon_id] = member


def _rank(member):
    return member.incarnation, _PRECEDENCE[member.state]
