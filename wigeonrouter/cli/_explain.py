"""Finds a request in a node's log and tells what happened to it."""

import dataclasses
import json

# Lines that concern a request carry its id in this field.
_ID = "id"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Found:
    """What a log says of one request.

    Attributes:
      events: its events, oldest first.
      broken: lines that are no events.
      dropped: lines that the process did not write.
    """

    events: tuple[dict, ...]
    broken: int
    dropped: int


def find(lines, request_id):
    """Return the Found of a request in an iterable of log lines.

    Text before the first brace, such as the name of a VM, is skipped.
    """
    events, broken, dropped = [], 0, 0
    for line in lines:
        start = line.find("{")
        if start < 0:
            broken += bool(line.strip())
            continue
        try:
            event = json.loads(line[start:])
        except ValueError:
            broken += 1
            continue
        if event.get("event") == "lines-dropped":
            dropped += sum(event.get("by_event", {}).values())
        if event.get(_ID) == request_id:
            events.append(event)
    events.sort(key=lambda event: event.get("time", 0.0))
    return Found(events=tuple(events), broken=broken, dropped=dropped)


def render(found):
    """Return the lines that tell a person what happened."""
    first = found.events[0].get("time", 0.0)
    return [
        f"{(event.get('time', 0.0) - first) * 1000:9.1f} ms  "
        + _DESCRIPTIONS.get(event.get("event"), _describe_other)(event)
        for event in found.events
    ]


def _describe_attempt(event):
    age = event.get("report_age_ms")
    known = "no load report" if age is None else f"report {age} ms old"
    detail = f" ({event['detail']})" if event.get("detail") else ""
    return (
        f"sent to {event.get('instance')} after {event.get('waited_ms')} ms"
        f" at this node: load {event.get('load')}, slowness"
        f" {event.get('slowness')}, {known}; {event.get('ended')} after"
        f" {event.get('latency_ms')} ms{detail}"
    )


def _describe_refusal(event):
    retry = event.get("retry_after")
    advice = "" if retry is None else f"; asked to return after {retry:.2f} s"
    detail = f" ({event['detail']})" if event.get("detail") else ""
    return (
        f"refused: {event.get('problem')}{detail}, held"
        f" {event.get('held_ms')} ms, {event.get('attempts')} attempts"
        f"{advice}"
    )


def _describe_answer(event):
    late = event.get("left_to_target_ms", 0)
    timing = "in time" if late >= 0 else f"{-late} ms late"
    return (
        f"answered {event.get('status')} after {event.get('took_ms')} ms,"
        f" {timing}; route {event.get('route')}, service"
        f" {event.get('service')}, configuration {event.get('version')}"
    )


def _describe_departure(event):
    return f"the caller left after {event.get('took_ms')} ms"


def _describe_other(event):
    return json.dumps(event)


_DESCRIPTIONS = {
    "attempt": _describe_attempt,
    "refused": _describe_refusal,
    "answered": _describe_answer,
    "caller-gone": _describe_departure,
}
