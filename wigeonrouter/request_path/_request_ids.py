"""Remembers the ids of non-idempotent requests.

The id names the daemon process that remembers it, so that a repeat at
another daemon can be checked without shared state.
"""

import collections
import dataclasses

from wigeonrouter import core

RETENTION_S = 120.0
MAX_IDS = 200_000
# Callers' clocks may differ from ours by this much.
CLOCK_TOLERANCE_S = 5.0
IN_PROGRESS = "in-progress"
MOVED = "moved"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RequestId:
    """A request id of the form prefix.milliseconds.random."""

    daemon_id: str
    instance: int
    time_ms: int


def parse_request_id(text):
    """Return the RequestId, or None for an id of any other form."""
    prefix, _, rest = text.partition(".")
    daemon_id, _, instance = prefix.partition("~")
    time_ms, _, nonce = rest.partition(".")
    if not (daemon_id and nonce and _number(instance) and _number(time_ms)):
        return None
    return RequestId(
        daemon_id=daemon_id,
        instance=int(instance),
        time_ms=int(time_ms),
    )


class RequestIdTable:
    """Owns the ids that this daemon has seen."""

    def __init__(self, *, clock, max_ids=MAX_IDS, retention=RETENTION_S):
        self._clock = clock
        self._max_ids = max_ids
        self._retention = retention
        self._outcomes = collections.OrderedDict()

    def __len__(self):
        return len(self._outcomes)

    def begin(self, request_id):
        """Record an id before its request is forwarded.

        Returns:
          None where the request may be forwarded, else a core.Refusal.
        """
        self._expire()
        known = self._outcomes.get(request_id)
        if known is not None:
            return _refuse_known(known[1])
        if len(self._outcomes) >= self._max_ids:
            return core.Refusal(problem=core.problems.ID_TABLE_FULL)
        self._outcomes[request_id] = (self._clock(), IN_PROGRESS)
        return None

    def finish(self, request_id, outcome):
        """Record how a request ended.

        A request that provably did not run may be sent again, so its id is
        forgotten.
        """
        if request_id not in self._outcomes:
            return
        if outcome is core.Outcome.NOT_RUN:
            del self._outcomes[request_id]
            return
        started, _ = self._outcomes[request_id]
        self._outcomes[request_id] = (started, outcome.value)

    def claim(self, request_id):
        """Hand an id over to another daemon.

        Returns:
          None where the id was never seen and is now the other daemon's,
          else what is known of it.
        """
        refusal = self.begin(request_id)
        if refusal is None:
            self._outcomes[request_id] = (self._clock(), MOVED)
            return None
        known = self._outcomes.get(request_id)
        return known[1] if known else refusal.problem.name

    def _expire(self):
        oldest_kept = self._clock() - self._retention - CLOCK_TOLERANCE_S
        while self._outcomes:
            request_id, (started, _) = next(iter(self._outcomes.items()))
            if started >= oldest_kept:
                return
            del self._outcomes[request_id]


def _refuse_known(outcome):
    if outcome == IN_PROGRESS:
        return core.Refusal(problem=core.problems.DUPLICATE_IN_PROGRESS)
    return core.Refusal(
        problem=core.problems.DUPLICATE, detail=f"first outcome: {outcome}"
    )


def _number(text):
    return text.isascii() and text.isdigit() and len(text) <= 20
