"""Table of the ids of recent non-idempotent requests.

An id names the daemon instance whose table holds it, so that a duplicate at
another daemon can be checked without shared state.
"""

import collections
import dataclasses

from wigeonrouter import core

RETENTION_S = 120.0
MAX_IDS = 200_000
# Callers choose their ids; the limit bounds the memory of the table.
MAX_ID_LENGTH = 200
# Largest accepted difference between clocks of callers and daemons.
CLOCK_TOLERANCE_S = 5.0
IN_PROGRESS = "in-progress"
MOVED = "moved"
TABLE_FULL = core.problems.ID_TABLE_FULL.name
EXPIRED = core.problems.ID_EXPIRED.name


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RequestId:
    """A parsed request id, ``daemon_id~instance.time_ms.nonce``.

    Attributes:
      daemon_id: id of the daemon that owns the request id.
      instance: start time of that daemon's process, milliseconds since the
        epoch.
      time_ms: Unix time of creation by the caller's clock, milliseconds.
    """

    daemon_id: str
    instance: int
    time_ms: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Entry:
    """State of one id.

    Attributes:
      started: time of the first request, seconds on the monotonic clock.
      state: IN_PROGRESS, MOVED or the value of a core.Outcome.
      claimant: id and instance of the daemon that the id was moved to, else
        empty.
    """

    started: float
    state: str
    claimant: str = ""


def parse_request_id(text):
    """Return a RequestId, or None if the text has another form."""
    # Splits at "~" first, because a daemon id may contain dots.
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
    """Return a core.Problem if the table may have expired an id.

    Args:
      time_ms: Unix time in the id, milliseconds.
      now: Unix time, seconds.
    Returns:
      None if the table still holds the id, should it have been recorded.
    """
    age = now - time_ms / 1000
    if age > RETENTION_S - CLOCK_TOLERANCE_S:
        return core.Problem(problem=core.problems.ID_EXPIRED)
    if age < -CLOCK_TOLERANCE_S:
        return core.Problem(
            problem=core.problems.BAD_REQUEST,
            detail="the time in the request id is in the future",
        )
    return None


def failure_for_state(state):
    """Return the core.Problem for a request whose id has this state."""
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
    """Holds the ids of requests until their retention ends.

    Args:
      clock: monotonic clock, seconds.
      max_ids: largest number of ids; a full table accepts no new ones.
      retention: seconds from the first request.
    """

    def __init__(self, *, clock, max_ids=MAX_IDS, retention=RETENTION_S):
        self._clock = clock
        self._max_ids = max_ids
        self._retention = retention
        self._entries = collections.OrderedDict()

    def __len__(self):
        return len(self._entries)

    def find_failure(self, request_id):
        """Return the core.Problem for a recorded id, or None."""
        self._expire()
        entry = self._entries.get(request_id)
        return failure_for_state(entry.state) if entry else None

    def begin(self, request_id):
        """Record an id before its request is forwarded.

        Returns:
          None if the request may be forwarded, else a core.Problem.
        """
        failure = self.find_failure(request_id)
        if failure is None and len(self._entries) >= self._max_ids:
            failure = core.Problem(problem=core.problems.ID_TABLE_FULL)
        if failure is None:
            self._entries[request_id] = _Entry(
                started=self._clock(), state=IN_PROGRESS
            )
        return failure

    def finish(self, request_id, outcome):
        """Record the core.Outcome of a request.

        The id of a request that did not run is deleted, so that the caller
        can send the request again.
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
        """Record that another daemon handles the request with an id.

        Args:
          request_id: text.
          claimant: id and instance of the other daemon, as text. The same
            claimant may repeat its claim, since the reply may have been lost.
        Returns:
          None if the claim is granted, else the state of the id or
          TABLE_FULL.
        """
        self._expire()
        known = self._entries.get(request_id)
        if known is not None:
            same_claimant = known.state == MOVED and known.claimant == claimant
            return None if same_claimant else known.state
        if len(self._entries) >= self._max_ids:
            return TABLE_FULL
        self._entries[request_id] = _Entry(
            started=self._clock(), state=MOVED, claimant=claimant
        )
        return None

    def _expire(self):
        now = self._clock()
        oldest_retained = now - self._retention - CLOCK_TOLERANCE_S
        while self._entries:
            request_id, entry = next(iter(self._entries.items()))
            if entry.started >= oldest_retained:
                return
            del self._entries[request_id]
            if entry.state == IN_PROGRESS:
                # Without the id a duplicate could run concurrently.
                self._entries[request_id] = dataclasses.replace(
                    entry, started=now
                )


def _is_number(text):
    return text.isascii() and text.isdigit() and len(text) <= 20
