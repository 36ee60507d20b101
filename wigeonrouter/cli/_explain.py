"""Finds the events of a request in a node's log and describes them."""

import dataclasses
import json

# Field of a log event that holds the request id.
_ID_FIELD = "id"
# Field that holds the ids of responses that were skipped.
_RESPONSE_IDS_FIELD = "response_ids"
# How an attempt ended whose response the caller gets.
_ANSWERED = "answered"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SearchResult:
    """Result of searching a log for one request.

    Attributes:
      events: the decoded events of the request, oldest first.
      malformed: number of lines that are not events.
      dropped: number of lines that the process reports as not written.
    """

    events: tuple[dict, ...]
    malformed: int
    dropped: int


def search(lines, request_id):
    """Search log lines for the events of a request.

    Responses to the request that other requests or health checks skipped are
    events of the request too.

    Text before the first brace of a line, such as a VM name, is ignored.

    Args:
      lines: iterable of str.
      request_id: id of the request.
    Returns:
      A SearchResult.
    """
    events, malformed, dropped = [], 0, 0
    for line in lines:
        start = line.find("{")
        if start < 0:
            malformed += bool(line.strip())
            continue
        try:
            event = json.loads(line[start:])
        except ValueError:
            malformed += 1
            continue
        if event.get("event") == "lines-dropped":
            dropped += sum(event.get("by_event", {}).values())
        if event.get(_ID_FIELD) == request_id or request_id in (
            event.get(_RESPONSE_IDS_FIELD) or ()
        ):
            events.append(event)
    events.sort(key=lambda event: event.get("time", 0.0))
    return SearchResult(
        events=tuple(events), malformed=malformed, dropped=dropped
    )


def render(search_result):
    """Return a list of lines that describe the events to an operator.

    Each line starts with the time since the first event, in milliseconds.

    Args:
      search_result: SearchResult with at least one event.
    """
    first = search_result.events[0].get("time", 0.0)
    return [
        f"{(event.get('time', 0.0) - first) * 1000:9.1f} ms  "
        + _DESCRIPTIONS.get(event.get("event"), _describe_other)(event)
        for event in search_result.events
    ]


def _describe_attempt(event):
    age = event.get("report_age_ms")
    known = "no load report" if age is None else f"report {age} ms old"
    limit = event.get("rate_limit")
    limited = "" if limit is None else f"; limit {limit} requests/s"
    pause = event.get("pause_s")
    paused = "" if pause is None else f"; asked for a pause of {pause} s"
    leaving = "; it leaves" if event.get("leaving") else ""
    return (
        f"sent to {_server(event)} after {event.get('waited_ms')} ms"
        f" at this node: load {event.get('load')}, slowness"
        f" {event.get('slowness')}, {known}{_describe_connection(event)};"
        f" {event.get('ended')} after {event.get('latency_ms')} ms"
        f"{_describe_statement(event)}{_describe_belief(event)}"
        f"{limited}{paused}{leaving}{_detail(event)}"
    )


def _describe_connection(event):
    requests = event.get("connection_requests")
    if not requests:
        return ""
    number = event.get("connection")
    name = "" if number is None else f" {number}"
    if requests == 1:
        return f"; on new connection{name}"
    return f"; on connection{name}, used {requests - 1} times before"


def _describe_statement(event):
    """Return what the response to an attempt states of the request."""
    status = event.get("status")
    if status is None:
        return ""
    text = f" with status {status}"
    if "names_id" in event:
        text += ", with its id" if event["names_id"] else ", without an id"
    if event.get("not_executed"):
        text += ", which states that it has not run"
    elif event.get("ended") != _ANSWERED and "not_executed" in event:
        text += ", which does not state that it has not run"
    return text


def _describe_belief(event):
    """Return whether the node takes the request for one that has not run."""
    may_have_run = event.get("may_have_run")
    if may_have_run is None or event.get("ended") == _ANSWERED:
        return ""
    return "; it may have run" if may_have_run else "; taken for not run"


def _describe_forwarding(event):
    status = event.get("status")
    response = "" if status is None else f" with status {status}"
    return (
        f"passed on to node {event.get('node')} after"
        f" {event.get('waited_ms')} ms at this node; {event.get('ended')}"
        f"{response} after {event.get('latency_ms')} ms{_detail(event)}"
    )


def _describe_origin(event):
    origin = event.get("origin")
    return f"; passed on by node {origin}" if origin else ""


def _describe_refusal(event):
    retry = event.get("retry_after")
    advice = "" if retry is None else f"; asked to return after {retry:.2f} s"
    status = event.get("status")
    response = "" if status is None else f" with status {status}"
    return (
        f"refused: {event.get('problem')}{response}{_detail(event)}, held"
        f" {event.get('held_ms')} ms, {event.get('attempts')} attempts"
        f"{_describe_belief(event)}{advice}{_describe_origin(event)}"
    )


def _describe_response(event):
    time_left_ms = event.get("left_to_target_ms", 0)
    timing = "in time" if time_left_ms >= 0 else f"{-time_left_ms} ms late"
    return (
        f"answered {event.get('status')} after {event.get('took_ms')} ms,"
        f" {timing}; route {event.get('route')}, service"
        f" {event.get('service')}, configuration {event.get('version')}"
        f"{_describe_origin(event)}"
    )


def _describe_disconnect(event):
    return f"the caller disconnected after {event.get('took_ms')} ms"


def _describe_unfounded_promise(event):
    return (
        f"status {event.get('status')} promises that it has not run, which"
        f" {_server(event)} does not state"
    )


def _describe_strays(event):
    return _describe_skipped(event, f"request {event.get(_ID_FIELD)}")


def _describe_probe_strays(event):
    return _describe_skipped(event, "a health check")


def _describe_skipped(event, purpose):
    ids = event.get(_RESPONSE_IDS_FIELD)
    named = ""
    if ids:
        named = f"; their ids: {', '.join(name or 'none' for name in ids)}"
    return (
        f"skipped {event.get('count')} responses that were not to {purpose},"
        f" on its connection to {_server(event)}{named}"
    )


def _server(event):
    """Return the name of the server of an event, and its address if known."""
    address = event.get("address")
    return f"{event.get('instance')}" + (f" ({address})" if address else "")


def _detail(event):
    return f" ({event['detail']})" if event.get("detail") else ""


def _describe_other(event):
    return json.dumps(event)


_DESCRIPTIONS = {
    "attempt": _describe_attempt,
    "forwarded": _describe_forwarding,
    "refused": _describe_refusal,
    "answered": _describe_response,
    "caller-gone": _describe_disconnect,
    "promise-unfounded": _describe_unfounded_promise,
    "stray-responses": _describe_strays,
    "probe-stray-responses": _describe_probe_strays,
}
