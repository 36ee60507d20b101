"""The platform's HTTP protocol: headers, paths and statuses.

It covers the requests of callers, their forwarding to backend servers,
health checks and the entry directory.
"""

import json
import re

from wigeonrouter import core
from wigeonrouter import http1
from wigeonrouter.node import messages
from wigeonrouter.platform import _fields

_REQUEST_ID = b"request-id"
_DEADLINE = b"deadline-ms"
_EXPECTED_INSTANCE = b"expect-instance"
# The caller's API key, and the name of its tenant for the server.
_KEY = b"key"
_TENANT = b"tenant"
_API_KEY = re.compile(rb"[ -~]+")
_INSTANCE = b"instance-id"
_NOT_EXECUTED = b"not-executed"
_STAMP = b"server-stamp"
_LOAD = b"server-load"
_RATE_LIMIT = b"server-limit"
_LEAVING = b"server-leaving"
_PAUSE = b"retry-after"
_SLOW_START = b"warmup-ms"
_NOT_FORWARDED = http1.HOP_BY_HOP | {
    b"content-length",
    b"expect",
    _DEADLINE,
    _EXPECTED_INSTANCE,
}
# The fourth number of a load report is the slowdown in percent.
_UNDISTURBED_SLOWDOWN_PERCENT = 100.0
# A load report with a larger number is ignored.
_MAX_LOAD_NUMBER = 1e6
# Requests per second. A larger limit would not limit anything.
_MAX_RATE_LIMIT = 1e6
# A longer pause is a mistake of the server; it would be out of use for as long
# as a restart takes to be noticed by an operator.
_MAX_PAUSE_S = 600.0
_PAUSE_STATUS = 503
# So is a longer slow start, in ms.
_MAX_SLOW_START_MS = 600_000.0
# Statuses that promise callers that a request has not run.
_PROMISING_STATUSES = frozenset({408, 421, 429, 503})
_DECIMAL = re.compile(rb"[0-9]{1,9}(?:\.[0-9]{1,9})?")
_READINESS_PATH = "/api/readiness"
_RESOLVE_PATH = "/api/resolve"


class HttpCodec:
    """Translates between HTTP messages and the records of node.messages."""

    def read_request(self, request):
        """Return the messages.RequestMetadata of a caller's HttpRequest."""
        remaining = request.header(_DEADLINE)
        return messages.RequestMetadata(
            request_id=request.header(_REQUEST_ID).decode("latin-1"),
            remaining=(
                int(remaining) / 1000
                if remaining.isdigit() and len(remaining) < 10
                else None
            ),
            api_key=_read_key(request),
        )

    def key_headers(self, request):
        """Return the headers with which another node gets the API key.

        Connection may name the header, and its value may be unusable; the
        other node has to see the same as this one.
        """
        return tuple((b"Key", value) for value in _values(request, _KEY))

    def render_request(self, *, request, remaining, instance, tenant=None):
        """Return the bytes of a request for a backend server.

        Args:
          request: HttpRequest of the caller.
          remaining: time left until the deadline, seconds.
          instance: instance ID of the server that should handle it.
          tenant: name of its tenant, "" without one, None if the deployment
            has no tenants and the caller's headers mean nothing.
        """
        not_forwarded = _NOT_FORWARDED
        added = (
            (b"Deadline-Ms", b"%d" % max(1, int(remaining * 1000))),
            (b"Expect-Instance", instance.encode("latin-1")),
        )
        if tenant is not None:
            not_forwarded = not_forwarded | _identity_names(request)
        if tenant:
            added += ((b"Tenant", tenant.encode("ascii")),)
        return http1.render_forwarded(
            request=request, not_forwarded=not_forwarded, added=added
        )

    def render_probe(self, *, path, address):
        """Return the bytes of a health check."""
        return f"GET {path} HTTP/1.1\r\nHost: {address}\r\n\r\n".encode()

    def read_response(self, response):
        """Return the messages.ResponseMetadata of a server's HttpResponse."""
        not_executed = (
            bool(response.header(_NOT_EXECUTED)) or response.status == 421
        )
        rate_limit, rate_limit_valid = _read_rate_limit(response)
        leaving, leaving_valid = _read_leaving(response)
        pause, pause_valid = None, True
        if not_executed and response.status == _PAUSE_STATUS:
            pause, pause_valid = _read_pause(response)
        slow_start = _read_slow_start(response)
        invalid_statements = tuple(
            name.decode()
            for name, valid in (
                (_LEAVING, leaving_valid),
                (_PAUSE, pause_valid),
                (_SLOW_START, slow_start is not None),
            )
            if not valid
        )
        return messages.ResponseMetadata(
            request_id=response.header(_REQUEST_ID).decode("latin-1"),
            instance=response.header(_INSTANCE).decode("latin-1"),
            not_executed=not_executed,
            misdirected=response.status == 421,
            unfounded_promise=(
                response.status in _PROMISING_STATUSES and not not_executed
            ),
            stamped=bool(response.header(_STAMP)),
            load=_read_load(response.header(_LOAD)),
            rate_limit=rate_limit,
            rate_limit_valid=rate_limit_valid,
            leaving=leaving,
            pause=pause,
            slow_start=slow_start,
            invalid_statements=invalid_statements,
        )

    def render_rejection(self, *, rejection, request_id):
        """Return the HttpResponse for a messages.Rejection."""
        headers = [(b"content-type", b"application/json")]
        if request_id:
            headers.append((_REQUEST_ID, request_id.encode("latin-1")))
        if rejection.retry_after is not None:
            headers.append(
                (b"retry-after", b"%.3f" % max(0.0, rejection.retry_after))
            )
        body = json.dumps({"error": rejection.problem.name})
        return http1.HttpResponse(
            status=rejection.problem.status,
            headers=tuple(headers),
            body=body.encode(),
        )

    def is_readiness_path(self, path):
        """Return whether a path is that of the readiness check."""
        return path == _READINESS_PATH

    def read_entry_query(self, path, query):
        """Return the messages.EntryQuery of a directory request.

        Returns None if the path is not that of the directory.
        """
        if path != _RESOLVE_PATH:
            return None
        return messages.EntryQuery(
            host=query.get("name", "").lower(),
            place=core.Place(
                region=query.get("region", ""),
                failure_domain=query.get("zone", ""),
            ),
        )

    def render_entries(self, *, addresses, ttl):
        """Return the HttpResponse that lists the addresses of entries.

        Args:
          addresses: iterable of core.Address.
          ttl: how long callers may cache the response, seconds.
        """
        document = {
            "addresses": [str(address) for address in addresses],
            "ttl": _fields.format_duration(ttl),
        }
        return _json_response(200, document)

    def render_readiness(self, *, ready):
        """Return the HttpResponse to a readiness check."""
        return _json_response(200 if ready else 503, {"ready": ready})


def _read_key(request):
    """Return the API key as text, "" if there is not one usable value."""
    if _KEY not in request.fields:
        return ""
    values = [value.strip(b" \t") for value in _values(request, _KEY)]
    if len(values) > 1 or not _API_KEY.fullmatch(values[0]):
        return ""
    return values[0].decode("ascii")


def _identity_names(request):
    """Return the names under which a server could read a key or a tenant.

    Servers that hand headers on as variables take underscores for hyphens.
    """
    return {
        name
        for name in request.fields
        if name.replace(b"_", b"-").strip(b"-") in (_KEY, _TENANT)
    }


def _json_response(status, document):
    return http1.HttpResponse(
        status=status,
        headers=((b"content-type", b"application/json"),),
        body=json.dumps(document).encode(),
    )


def _read_load(value):
    parts = value.split(b",")
    if len(parts) < 3:
        return None
    try:
        numbers = [float(part) for part in parts[:4]]
    except ValueError:
        return None
    # Also false for NaN.
    if not all(0 <= number <= _MAX_LOAD_NUMBER for number in numbers):
        return None
    slowdown = 1.0
    if len(numbers) > 3 and numbers[3] > 0:
        slowdown = numbers[3] / _UNDISTURBED_SLOWDOWN_PERCENT
    return messages.ServerLoad(
        running=int(numbers[0]),
        queued=int(numbers[1]),
        slots=max(1, int(numbers[2])),
        slowdown=slowdown,
    )


def _values(message, name):
    """Return all values of a header of a request or response."""
    if name not in message.fields:
        return []
    return [value for other, value in message.headers if other == name]


def _read_leaving(response):
    """Return whether a server leaves, and whether the statement is valid."""
    values = _values(response, _LEAVING)
    if not values:
        return False, True
    if len(set(values)) > 1 or values[0] not in (b"0", b"1"):
        return False, False
    return values[0] == b"1", True


def _read_pause(response):
    """Return the seconds of a requested pause, and its validity.

    The pause is None if the response asks for none or an invalid one, as by
    a date.
    """
    values = _values(response, _PAUSE)
    if not values:
        return None, True
    if len(values) > 1 or not _DECIMAL.fullmatch(values[0]):
        return None, False
    pause = float(values[0])
    if pause > _MAX_PAUSE_S:
        return None, False
    return pause, True


def _read_slow_start(response):
    """Return the seconds for which a server states that it is cold.

    0 if it does not, None if the statement is invalid. Of several values the
    largest counts.
    """
    values = _values(response, _SLOW_START)
    if not all(map(_DECIMAL.fullmatch, values)):
        return None
    left = max(map(float, values), default=0.0)
    return left / 1000 if left <= _MAX_SLOW_START_MS else None


def _read_rate_limit(response):
    """Return the smallest limit that a response names, and its validity.

    The limit is None if the response names none or an invalid one.
    """
    values = _values(response, _RATE_LIMIT)
    if not values:
        return None, True
    limits = [float(value) for value in values if _DECIMAL.fullmatch(value)]
    if len(limits) < len(values) or max(limits) > _MAX_RATE_LIMIT:
        return None, False
    return min(limits), True
