"""Answers callers that ask which entry to use, and whether one is ready."""

from urllib import parse

from wigeonrouter import core
from wigeonrouter.node import messages

_MAX_BODY_BYTES = 64 << 10


class DirectoryHandler:
    """Handles requests on the directory and readiness addresses.

    Args:
      choose: function from a dialect.EntryQuery to a tuple of addresses.
      is_ready: function without arguments.
      lifetime: function that returns how long an answer may be kept, in
        seconds.
    """

    def __init__(self, *, codec, choose_entries, is_ready, ttl):
        self._codec = codec
        self._choose_entries = choose_entries
        self._is_ready = is_ready
        self._ttl = ttl

    def body_limit(self, request):
        """Return the largest accepted body in bytes."""
        return _MAX_BODY_BYTES

    def handle(self, request, arrived):
        """Answer one request with an HttpResponse."""
        path, _, text = request.target.decode("latin-1").partition("?")
        if self._codec.is_readiness_path(path):
            return self._codec.render_readiness(ready=self._is_ready())
        query = self._codec.read_entry_query(path, dict(parse.parse_qsl(text)))
        if query is None:
            return self._reject(core.problems.NO_ROUTE)
        addresses = self._choose_entries(query)
        if not addresses:
            return self._reject(core.problems.NOT_READY)
        return self._codec.render_entries(addresses=addresses, ttl=self._ttl())

    def _reject(self, problem):
        return self._codec.render_rejection(
            rejection=messages.Rejection(problem=problem), request_id=""
        )
