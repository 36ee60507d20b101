"""Remembers the ids of non-idempotent requests.

The id names the daemon process that remembers it, so that a repeat at
another daemon can be checked without shared state.
"""

import collections
import dataclasses

from wigeonrouter import core

RETENTION_S = 120.0
MAX_IDS = 200_000
# Bounds the memory of the table; ids of callers are chosen by them.
MAX_ID_LENGTH = 200
# Callers' clocks may differ from ours by this much.
CLOCK_TOLERANCE_S = 5.0
IN_PROGRESS = "in-progress"
MOVED = "moved"
TABLE_FULL = core.problems.ID_TABLE_FULL.name
EXPIRED = core.problems.ID_EXPIRED.name


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RequestId:
    """A request id of the form prefix.milliseconds.random."""

    daemon_id: str
    instance: int
    time_ms: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Entry:
    """What is known of one id; claimant is "" unless the id was moved."""

    started: float
    state: str
    claimant: str = ""


def parse_request_id(text):
    """Return the RequestId, or None for an id of any other form."""
    # A daemon id may contain dots.
    prefix, separator, rest = text.partition("~")
    instance, _, rest = rest.partition(".")
    time_ms, _, nonce = rest.partition(".")
    if not (prefix and separator and nonce):
        return None
    if not (_is_number(instance) and _is_number(time_ms)):
        return None
    return RequestId(
        daemon_id=prefix,
        instance=int(instance),
        time_ms=int(time_ms),
    )


def check_age(*, time_ms, now):
    """Return a core.Problem where an id may have been forgotten.

    Args:
      time_ms: Unix time in the id, milliseconds.
      now: Unix time, seconds.
    Returns:
      None where the table still holds the id if it was ever there.
    """
    age = now - time_ms / 1000
    if age > RETENTION_S - CLOCK_TOLERANCE_S:
        return core.Problem(problem=core.problems.ID_EXPIRED)
    if age < -CLOCK_TOLERANCE_S:
        return core.Problem(
            problem=core.problems.BAD_REQUEST,
            detail="the request id is from the future",
        )
    return None


def refuse_state(state):
    """Return the core.Problem that follows from the state of an id."""
    if state == IN_PROGRESS:
        return core.Problem(problem=core.problems.DUPLICATE_IN_PROGRESS)
    if state == TABLE_FULL:
        return core.Problem(problem=core.problems.ID_TABLE_FULL)
    if state == EXPIRED:
        return core.Problem(problem=core.problems.ID_EXPIRED)
    return core.Problem(
        problem=core.problems.DUPLICATE, detail=f"first outcome: {state}"
    )


class RequestIdTable:
    """Owns the ids that this daemon has seen."""

    def __init__(self, *, clock, max_ids=MAX_IDS, retention=RETENTION_S):
        self._clock = clock
        self._max_ids = max_ids
        self._retention = retention
        self._entries = collections.OrderedDict()

    def __len__(self):
        return len(self._entries)

    def check(self, request_id):
        """Return the core.Problem of a known id, or None."""
        self._expire()
        known = self._entries.get(request_id)
        return refuse_state(known.state) if known else None

    def begin(self, request_id):
        """Record an id before its request is forwarded.

        Returns:
          None where the request may be forwarded, else a core.Problem.
        """
        refusal = self.check(request_id)
        if refusal is None and len(self._entries) >= self._max_ids:
            refusal = core.Problem(problem=core.problems.ID_TABLE_FULL)
        if refusal is None:
            self._entries[request_id] = _Entry(
                started=self._clock(), state=IN_PROGRESS
            )
        return refusal

    def finish(self, request_id, outcome):
        """Record how a request ended.

        A request that provably did not run may be sent again, so its id is
        forgotten.
        """
        known = self._entries.get(request_id)
        if known is None:
            return
        if outcome is core.Outcome.NOT_RUN:
            del self._entries[request_id]
            return
        self._entries[request_id] = _Entry(
            started=known.started, state=outcome.value
        )

    def claim(self, request_id, claimant):
        """Hand an id over to another daemon.

        Args:
          request_id: text.
          claimant: id and instance of the other daemon. The same one may
            claim again, since the first reply may have been lost.
        Returns:
          None where the id was never seen and is now the claimant's, else
          the state of the id.
        """
        self._expire()
        known = self._entries.get(request_id)
        if known is not None:
            mine = known.state == MOVED and known.claimant == claimant
            return None if mine else known.state
        if len(self._entries) >= self._max_ids:
            return TABLE_FULL
        self._entries[request_id] = _Entry(
            started=self._clock(), state=MOVED, claimant=claimant
        )
        return None

    def _expire(self):
        now = self._clock()
        oldest_kept = now - self._retention - CLOCK_TOLERANCE_S
        while self._entries:
            request_id, entry = next(iter(self._entries.items()))
            if entry.started >= oldest_kept:
                return
            del self._entries[request_id]
            if entry.state == IN_PROGRESS:
                # Forgetting a running request would let it run again.
                self._entries[request_id] = dataclasses.replace(
                    entry, started=now
                )


def _is_number(text):
    return text.isascii() and text.isdigit() and len(text) <= 20
