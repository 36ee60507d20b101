"""Detects duplicate requests by their ids, across daemons.

An id can name a daemon instance, its owner, which records the id. Another
daemon that receives the id must claim it from the owner first.
"""

from wigeonrouter import core
from wigeonrouter.request_path import _request_ids

_UNKNOWN = core.Outcome.UNKNOWN.value


class Deduplicator:
    """Checks request ids; owns the request id table of this daemon.

    Args:
      own_member: function that returns the core.Member of this daemon.
      claim_from_peer: function from a RequestId and its text to the
        peer_pb2.ClaimReply of the daemon that it names, or None without a
        reply; may block.
      clock: monotonic clock, seconds.
      wall_clock: Unix time, seconds.
      max_ids: largest number of ids in the table.
    """

    def __init__(
        self,
        *,
        own_member,
        claim_from_peer,
        clock,
        wall_clock,
        max_ids=_request_ids.MAX_IDS,
    ):
        self._own_member = own_member
        self._claim_from_peer = claim_from_peer
        self._wall_clock = wall_clock
        self._table = _request_ids.RequestIdTable(clock=clock, max_ids=max_ids)

    def __len__(self):
        return len(self._table)

    def begin(self, request_id):
        """Record an id before its request is forwarded.

        An id of another daemon is claimed from it, which may block.

        Args:
          request_id: text.
        Returns:
          None if the request may be forwarded, else a core.Problem.
        """
        if len(request_id) > _request_ids.MAX_ID_LENGTH:
            return core.Problem(
                problem=core.problems.BAD_REQUEST,
                detail="X-Request-Id is too long",
            )
        parsed = _request_ids.parse_request_id(request_id)
        if parsed is not None:
            failure = self._check_owner(request_id, parsed)
            if failure is not None:
                return failure
        # A duplicate may have been recorded during the claim.
        return self._table.begin(request_id)

    def finish(self, request_id, outcome):
        """Record the core.Outcome of a request."""
        self._table.finish(request_id, outcome)

    def verify_not_run(self, request_id, failure):
        """Return a failure that holds for all requests with an id.

        Args:
          request_id: text, possibly empty.
          failure: core.Problem of this request, with the outcome NOT_RUN.
        Returns:
          The core.Problem of a duplicate if an earlier request with the id
          may have run, else the given one.
        """
        return self._table.find_failure(request_id) or failure

    def handle_claim(self, request_id, claimant):
        """Handle the claim of another daemon to an id of this daemon.

        Args:
          request_id: text.
          claimant: id and instance of the other daemon, as text.
        Returns:
          None if the claimant may forward the request, else the state of the
          id or the name of the problem.
        """
        parsed = _request_ids.parse_request_id(request_id)
        if parsed is None or not self._is_owned_here(parsed):
            return _UNKNOWN
        failure = _request_ids.check_age(
            time_ms=parsed.time_ms, now=self._wall_clock()
        )
        if failure is not None:
            return failure.problem.name
        return self._table.claim(request_id, claimant)

    def _check_owner(self, request_id, parsed):
        failure = _request_ids.check_age(
            time_ms=parsed.time_ms, now=self._wall_clock()
        )
        if failure is not None:
            return failure
        if self._is_owned_here(parsed):
            return None
        if parsed.daemon_id == self._own_member().daemon_id:
            # The table of the previous instance of this daemon is lost.
            return core.Problem(problem=core.problems.ID_OWNER_UNREACHABLE)
        failure = self._table.find_failure(request_id)
        if failure is not None:
            return failure
        reply = self._claim_from_peer(parsed, request_id)
        if reply is None:
            return core.Problem(problem=core.problems.ID_OWNER_UNREACHABLE)
        return (
            _request_ids.failure_for_state(reply.outcome)
            if reply.seen
            else None
        )

    def _is_owned_here(self, parsed):
        own = self._own_member()
        return (
            parsed.daemon_id == own.daemon_id
            and parsed.instance == own.instance
        )
