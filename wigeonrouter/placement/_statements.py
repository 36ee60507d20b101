"""Keeps what backend servers say of themselves that outlives their views.

Load pattern: a server leaves while the store is out or its entry is wrong, or
its entry lapses and comes back. What it said holds for this start of it, until
a new one registers; neither a good health check nor a response without the
statement revokes it.

Load pattern: servers reject all requests for seconds and ask for a pause.
Rejections are fast and such a server is idle, so it attracts requests. Of
several pauses the one that ends last counts: a later statement does not
release the node from an earlier one.
"""

import dataclasses

from wigeonrouter import core

# Statements of servers that are no longer registered are kept for this time.
_RETENTION_S = 600.0
_MAX_STATEMENTS = 4_096


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Statement:
    """What one start of a server has said.

    Attributes:
      leaving: whether it is about to end.
      paused_until: time before which it wants no requests, seconds on the
        monotonic clock.
      heard_at: time of the last change, seconds on the monotonic clock.
      number: rises with each change that this node has heard itself, of any
        server; 0 if only other nodes have heard this one.
      pause: seconds of the pause at that time, 0 for none.
    """

    leaving: bool = False
    paused_until: float = float("-inf")
    heard_at: float = float("-inf")
    number: int = 0
    pause: float = 0.0


_NOTHING = Statement()


class ServerStatements:
    """Owns the Statements of the servers of one service.

    A start of a server is a pair of its instance and the time of its start,
    as it registers them.
    """

    def __init__(self):
        self._statements = {}
        self._last_number = 0
        # Dict from host of a peer and start of a server to the number of the
        # last statement that was applied.
        self._peer_numbers = {}

    def __len__(self):
        return len(self._statements)

    def get(self, start):
        """Return the Statement of a start of a server."""
        return self._statements.get(start, _NOTHING)

    def record(self, start, *, leaving, pause, now):
        """Record what a response says.

        Args:
          start: pair of instance and start time of the server.
          leaving: whether the server says that it leaves.
          pause: seconds for which it asks for no requests, None if it does
            not.
          now: seconds on the monotonic clock.
        Returns:
          Whether this is news.
        """
        said = self._merge(start, leaving=leaving, pause=pause, now=now)
        if said is None:
            return False
        self._last_number += 1
        heard = dataclasses.replace(
            said,
            number=self._last_number,
            pause=max(0.0, said.paused_until - now),
        )
        self._put(start, heard, now)
        return True

    def export(self, starts, now):
        """Return the core.ServerStatements that hold, for other nodes.

        Args:
          starts: starts of the servers that exist.
          now: seconds on the monotonic clock.
        """
        return tuple(
            core.ServerStatement(
                instance=start[0],
                started_ms=start[1],
                leaving=known.leaving,
                pause=known.pause,
                number=known.number,
            )
            for start, known in self._statements.items()
            if known.number
            and start in starts
            and (known.leaving or known.paused_until > now)
        )

    def record_peer(self, host, statement, now):
        """Record what another node has heard; it is not passed on.

        A pause counts from the time at which this node is told for the first
        time.

        Args:
          host: host of the node.
          statement: core.ServerStatement.
          now: seconds on the monotonic clock.
        Returns:
          Whether this is news.
        """
        start = (statement.instance, statement.started_ms)
        if self._peer_numbers.get((host, start)) == statement.number:
            return False
        self._peer_numbers[host, start] = statement.number
        said = self._merge(
            start, leaving=statement.leaving, pause=statement.pause, now=now
        )
        if said is None:
            return False
        self._put(start, said, now)
        return True

    def retain_peers(self, hosts):
        """Forget what was applied of nodes that are gone."""
        if not self._peer_numbers:
            return
        self._peer_numbers = {
            key: number
            for key, number in self._peer_numbers.items()
            if key[0] in hosts
        }

    def _merge(self, start, *, leaving, pause, now):
        """Return the Statement with what was heard now, None if no news."""
        if not (leaving or pause):
            return None
        known = self.get(start)
        said = dataclasses.replace(
            known,
            leaving=known.leaving or leaving,
            paused_until=max(
                known.paused_until,
                now + pause if pause else float("-inf"),
            ),
        )
        return None if said == known else said

    def _put(self, start, statement, now):
        self._statements.pop(start, None)
        self._statements[start] = dataclasses.replace(statement, heard_at=now)
        self._forget(now)

    def _forget(self, now):
        """Drop the oldest statements, which come first."""
        while self._statements:
            start, oldest = next(iter(self._statements.items()))
            if (
                len(self._statements) <= _MAX_STATEMENTS
                and now - oldest.heard_at <= _RETENTION_S
            ):
                return
            del self._statements[start]
