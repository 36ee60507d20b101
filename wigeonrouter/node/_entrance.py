"""Answers callers that ask which entry to use, and whether one is ready."""

from urllib import parse

from wigeonrouter import core
from wigeonrouter.node import dialect

_MAX_BODY_BYTES = 64 << 10


class Entrance:
    """Handles requests on the directory and readiness addresses.

    Args:
      choose: function from a dialect.EntryQuery to a tuple of addresses.
      is_ready: function without arguments.
      lifetime: function that returns how long an answer may be kept, in
        seconds.
    """

    def __init__(self, *, wire, choose, is_ready, lifetime):
        self._wire = wire
        self._choose = choose
        self._is_ready = is_ready
        self._lifetime = lifetime

    def body_limit(self, request):
        """Return the largest accepted body in bytes."""
        return _MAX_BODY_BYTES

    def handle(self, request, arrived):
        """Answer one request with an HttpResponse."""
        path, _, text = request.target.decode("latin-1").partition("?")
        if self._wire.is_readiness(path):
            return self._wire.readiness_answer(ready=self._is_ready())
        query = self._wire.read_entry_query(path, dict(parse.parse_qsl(text)))
        if query is None:
            return self._refuse(core.problems.NO_ROUTE)
        addresses = self._choose(query)
        if not addresses:
            return self._refuse(core.problems.NOT_READY)
        return self._wire.entry_answer(
            addresses=addresses, lifetime=self._lifetime()
        )

    def _refuse(self, problem):
        return self._wire.refusal(
            refusal=dialect.Refused(problem=problem), request_id=""
        )
