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
    """

    leaving: bool = False
    paused_until: float = float("-inf")
    heard_at: float = float("-inf")


_NOTHING = Statement()


class ServerStatements:
    """Owns the Statements of the servers of one service.

    A start of a server is a pair of its instance and the time of its start,
    as it registers them.
    """

    def __init__(self):
        self._statements = {}

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
        known = self.get(start)
        said = dataclasses.replace(
            known,
            leaving=known.leaving or leaving,
            paused_until=max(
                known.paused_until,
                now + pause if pause else float("-inf"),
            ),
        )
        if said == known:
            return False
        self._put(start, said, now)
        return True

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
