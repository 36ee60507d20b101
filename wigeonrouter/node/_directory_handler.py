"""Serves the entry directory and the readiness check of a node."""

from urllib import parse

from wigeonrouter import core
from wigeonrouter.node import messages

_MAX_BODY_BYTES = 64 << 10


class DirectoryHandler:
    """Handles requests on the directory and readiness addresses.

    Args:
      codec: the adapter's HTTP codec.
      choose_entries: function from a messages.EntryQuery to a tuple of
        core.Address, empty where no entry is ready.
      is_ready: function without arguments that returns a bool.
      ttl: function that returns how long callers may cache a response,
        in seconds.
    """

    def __init__(self, *, codec, choose_entries, is_ready, ttl):
        self._codec = codec
        self._choose_entries = choose_entries
        self._is_ready = is_ready
        self._ttl = ttl

    def body_limit(self, request):
        """Return the maximum request body size in bytes."""
        return _MAX_BODY_BYTES

    def handle(self, request, arrived):
        """Return the HttpResponse for a directory or readiness request."""
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
