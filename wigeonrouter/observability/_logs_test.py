"""Guards against missing request lines and forged log lines."""

import io
import json

import pytest

from wigeonrouter import core
from wigeonrouter import observability
from wigeonrouter import request_path


def _record(**changes):
    return request_path.RequestRecord(
        **{
            "request_id": "r",
            "service": "/a",
            "kind": "read",
            "tenant": "t",
            "server": "g/s",
            "problem": "",
            "outcome": core.Outcome.OK,
            "latency": 0.0125,
            **changes,
        }
    )


_REFUSED = _record(problem="queue-full", outcome=core.Outcome.NOT_RUN)


@pytest.fixture
def log():
    """A RequestLog of 10 lines per second with JSON output.

    Returns:
      The RequestLog, a list that holds its time in seconds, and a function
      that returns the decoded lines.
    """
    stream, now = io.StringIO(), [0.0]
    output = observability.LogOutput(
        log_format="json", level="info", stream=stream
    )
    with output.applicationbound():
        request_log = observability.RequestLog(
            lines_per_second=10, clock=lambda: now[0]
        )

        def lines():
            return [json.loads(x) for x in stream.getvalue().splitlines()]

        yield request_log, now, lines


def test_successes_do_not_suppress_rejections(log):
    """Guards against successes that use up the limit.

    Rejected requests would then be missing from the log.
    """
    request_log, now, lines = log
    for _ in range(100):
        request_log.add(_record())
    for _ in range(7):
        request_log.add(_REFUSED)
    outcomes = [line["outcome"] for line in lines()]
    assert outcomes == ["ok"] * 5 + ["not-run"] * 5
    now[0] = 1.0
    request_log.flush()
    last = lines()[-1]
    assert last["message"] == "request lines suppressed"
    assert (last["refusals"], last["successes"]) == (2, 95)
    request_log.add(_record())
    assert lines()[-1]["latency_ms"] == 12.5


def test_second_without_requests_writes_nothing(log):
    """Guards against a line each second although none was suppressed."""
    request_log, now, lines = log
    now[0] = 5.0
    request_log.flush()
    assert lines() == []


@pytest.mark.parametrize("log_format", ["json", "text"])
@pytest.mark.parametrize(
    "value",
    [
        "a\n2026-12-04T00:00:00.000Z info daemon: stopped",
        'a" outcome="ok',
        'a","outcome":"ok',
        "a outcome=ok",
        "\x1b[31m\r\x85\u2028b",
    ],
)
def test_values_from_callers_cannot_forge_lines(log_format, value):
    """Guards against log injection through X-Request-Id and X-Tenant."""
    stream = io.StringIO()
    output = observability.LogOutput(
        log_format=log_format, level="info", stream=stream
    )
    with output.applicationbound():
        request_log = observability.RequestLog(lines_per_second=10)
        failed = core.Outcome.FAILED
        request_log.add(
            _record(request_id=value, tenant=value, outcome=failed)
        )
    text = stream.getvalue()
    assert text.count("\n") == 1 and text.endswith("\n")
    assert text[:-1].isascii() and text[:-1].isprintable()
    if log_format == "json":
        assert json.loads(text)["request_id"] == value
        assert json.loads(text)["outcome"] == "failed"
    else:
        assert f"request_id={json.dumps(value)} " in text
