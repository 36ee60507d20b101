"""Decides who remembers a request id, and asks other daemons for it."""

from wigeonrouter import core
from wigeonrouter.request_path import _request_ids

_UNKNOWN = core.Outcome.UNKNOWN.value


class OwnedIds:
    """Owns the request id table of this daemon."""

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
        """Record an id before its request is forwarded; may ask a peer.

        Args:
          request_id: text.
        Returns:
          None where the request may be forwarded, else a core.Problem.
        """
        if len(request_id) > _request_ids.MAX_ID_LENGTH:
            return core.Problem(
                problem=core.problems.BAD_REQUEST,
                detail="X-Request-Id is too long",
            )
        parsed = _request_ids.parse_request_id(request_id)
        if parsed is not None:
            refusal = self._check_owner(request_id, parsed)
            if refusal is not None:
                return refusal
        # A repeat may have begun while the owner was asked.
        return self._table.begin(request_id)

    def finish(self, request_id, outcome):
        """Record how a request ended."""
        self._table.finish(request_id, outcome)

    def check_not_run(self, request_id, refusal):
        """Return a refusal that is true of all requests with an id.

        Args:
          request_id: text, possibly empty.
          refusal: core.Problem that says "not run" of the present request.
        Returns:
          A core.Problem; that of the first request with the id where that
          one may have run.
        """
        return self._table.check(request_id) or refusal

    def answer_claim(self, request_id, claimant):
        """Hand an id that names this daemon over to another daemon.

        Returns:
          None where the claimant may forward the request, else the state of
          the id.
        """
        parsed = _request_ids.parse_request_id(request_id)
        if parsed is None or not self._is_own(parsed):
            return _UNKNOWN
        refusal = _request_ids.check_age(
            time_ms=parsed.time_ms, now=self._wall_clock()
        )
        if refusal is not None:
            return refusal.problem.name
        return self._table.claim(request_id, claimant)

    def _check_owner(self, request_id, parsed):
        refusal = _request_ids.check_age(
            time_ms=parsed.time_ms, now=self._wall_clock()
        )
        if refusal is not None:
            return refusal
        if self._is_own(parsed):
            return None
        if parsed.daemon_id == self._own_member().daemon_id:
            # The daemon that remembered the id was replaced by this one.
            return core.Problem(problem=core.problems.ID_OWNER_UNREACHABLE)
        refusal = self._table.check(request_id)
        if refusal is not None:
            return refusal
        reply = self._claim_from_peer(parsed, request_id)
        if reply is None:
            return core.Problem(problem=core.problems.ID_OWNER_UNREACHABLE)
        return _request_ids.refuse_state(reply.outcome) if reply.seen else None

    def _is_own(self, parsed):
        own = self._own_member()
        return (
            parsed.daemon_id == own.daemon_id
            and parsed.instance == own.instance
        )
