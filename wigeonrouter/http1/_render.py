"""Renders requests for backend servers and responses for callers."""

import http
import json

from wigeonrouter.http1 import _messages

_NOT_FORWARDED = _messages.HOP_BY_HOP | {
    b"content-length",
    b"expect",
    b"x-request-timeout-ms",
    b"x-retry-budget",
}
# X-Outcome is set by the daemon only, and X-Not-Run is meant for the daemon
# only. Callers would take those of a backend server for the daemon's.
_NOT_RETURNED = _messages.HOP_BY_HOP | {
    b"content-length",
    b"backend-load",
    b"x-outcome",
    b"x-not-run",
}
_STATUS_LINES = {
    status.value: b"HTTP/1.1 %d %b" % (status, status.phrase.encode())
    for status in http.HTTPStatus
}
_PROBLEM_FIELDS = {b"content-type": b"application/problem+json"}
_CONNECTION_OPTIONS = frozenset((b"keep-alive", b"close"))


def render_request(*, request, timeout_ms, retry_budget=0):
    """Return the bytes of a request for a backend server.

    Args:
      request: HttpRequest of the caller.
      timeout_ms: remaining time, whole milliseconds.
      retry_budget: number of retries that downstream calls may make.
    """
    return render_forwarded(
        request=request,
        not_forwarded=_NOT_FORWARDED,
        added=(
            (b"x-request-timeout-ms", b"%d" % timeout_ms),
            (b"x-retry-budget", b"%d" % retry_budget),
        ),
    )


def render_forwarded(*, request, not_forwarded, added):
    """Return the bytes of a request with some headers removed and added.

    Args:
      request: HttpRequest of the caller.
      not_forwarded: names of headers to remove, in lower case; must include
        HOP_BY_HOP and content-length.
      added: headers to add, pairs of name and value.
    """
    dropped = _headers_to_drop(request.fields, not_forwarded)
    lines = [b"%b %b HTTP/1.1" % (request.method, request.target)]
    lines += [
        b"%b: %b" % header
        for header in request.headers
        if header[0] not in dropped
    ]
    lines += [b"%b: %b" % header for header in added]
    if request.body or request.method in (b"POST", b"PUT", b"PATCH"):
        lines.append(b"content-length: %d" % len(request.body))
    lines.append(b"\r\n")
    return b"\r\n".join(lines) + request.body


def render_response(*, response, close, method):
    """Return the bytes of a response for a caller.

    Args:
      response: HttpResponse.
      close: whether the connection is closed after the response.
      method: method of the request; a response to HEAD has no body.
    """
    status = response.status
    line = _STATUS_LINES.get(status) or b"HTTP/1.1 %d Status" % status
    dropped = _headers_to_drop(response.fields, _NOT_RETURNED)
    lines = [line]
    lines += [
        b"%b: %b" % header
        for header in response.headers
        if header[0] not in dropped
    ]
    if response.outcome:
        lines.append(b"x-outcome: " + response.outcome)
    body = response.body
    if method == b"HEAD" or status in (204, 304):
        body = b""
        length = response.header(b"content-length")
        if length and status != 204:
            lines.append(b"content-length: " + length)
    else:
        lines.append(b"content-length: %d" % len(body))
    if close:
        lines.append(b"connection: close")
    lines.append(b"\r\n")
    return b"\r\n".join(lines) + body


def problem_response(*, failure, request_id, retry_budget=None):
    """Return the HttpResponse with the RFC 9457 document of a problem.

    Args:
      failure: core.Problem.
      request_id: text.
      retry_budget: number of retries that upstream callers may still make,
        or None for no such header.
    """
    problem = failure.problem
    body = json.dumps(
        {
            "type": f"urn:wigeonrouter:problem:{problem.name}",
            "title": problem.title,
            "status": problem.status,
            "detail": failure.detail,
            "outcome": problem.outcome.value,
            "request_id": request_id,
        }
    ).encode()
    fields = _PROBLEM_FIELDS
    if retry_budget is not None:
        fields = {**fields, b"x-retry-budget": b"%d" % retry_budget}
    return _messages.HttpResponse(
        status=problem.status,
        headers=tuple(fields.items()),
        fields=fields,
        body=body,
        outcome=problem.outcome.value.encode(),
    )


def _headers_to_drop(fields, always):
    hop_by_hop = _messages.connection_headers(fields) - _CONNECTION_OPTIONS
    return always | hop_by_hop if hop_by_hop else always
