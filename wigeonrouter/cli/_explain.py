"""Finds the events of a request in a node's log and describes them."""

import dataclasses
import json

# Field of a log event that holds the request id.
_ID_FIELD = "id"


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
        if event.get(_ID_FIELD) == request_id:
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
    detail = f" ({event['detail']})" if event.get("detail") else ""
    return (
        f"sent to {event.get('instance')} after {event.get('waited_ms')} ms"
        f" at this node: load {event.get('load')}, slowness"
        f" {event.get('slowness')}, {known}; {event.get('ended')} after"
        f" {event.get('latency_ms')} ms{limited}{paused}{leaving}{detail}"
    )


def _describe_forwarding(event):
    status = event.get("status")
    response = "" if status is None else f" with status {status}"
    detail = f" ({event['detail']})" if event.get("detail") else ""
    return (
        f"passed on to node {event.get('node')} after"
        f" {event.get('waited_ms')} ms at this node; {event.get('ended')}"
        f"{response} after {event.get('latency_ms')} ms{detail}"
    )


def _describe_origin(event):
    origin = event.get("origin")
    return f"; passed on by node {origin}" if origin else ""


def _describe_refusal(event):
    retry = event.get("retry_after")
    advice = "" if retry is None else f"; asked to return after {retry:.2f} s"
    detail = f" ({event['detail']})" if event.get("detail") else ""
    return (
        f"refused: {event.get('problem')}{detail}, held"
        f" {event.get('held_ms')} ms, {event.get('attempts')} attempts"
        f"{advice}{_describe_origin(event)}"
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


def _describe_other(event):
    return json.dumps(event)


_DESCRIPTIONS = {
    "attempt": _describe_attempt,
    "forwarded": _describe_forwarding,
    "refused": _describe_refusal,
    "answered": _describe_response,
    "caller-gone": _describe_disconnect,
}
