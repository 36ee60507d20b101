"""Tests of the command explain, which finds a request in a log."""

import json

from click import testing

from wigeonrouter.cli import main as cli


def line(**fields):
    return json.dumps({"time": 10.0, **fields})


LOG = "\n".join(
    [
        "front-a 0.1 not an event",
        "front-a 0.2 "
        + line(
            event="attempt",
            id="one",
            instance="i-1",
            waited_ms=2.0,
            load=0.0,
            slowness=1.0,
            report_age_ms=0.7,
            ended="lost",
            latency_ms=1098.4,
            detail="TimeoutError: no answer in time",
        ),
        line(event="answered", id="other", status=200),
        line(
            event="refused",
            id="one",
            problem="answer-lost",
            retry_after=None,
            held_ms=1100.4,
            attempts=1,
            time=11.1,
        ),
        line(event="lines-dropped", by_event={"attempt": 3}),
    ]
)


def run(request_id, log=LOG):
    return testing.CliRunner().invoke(
        cli.main, ["explain", request_id], input=log
    )


def test_events_of_a_request_are_described():
    """Guards against output that does not show why a request failed."""
    result = run("one")
    assert result.exit_code == 0
    assert "sent to i-1" in result.output
    assert "no answer in time" in result.output
    assert "refused: answer-lost" in result.output
    assert "other" not in result.output


def test_unknown_id_is_an_error_that_reports_unread_lines():
    """Guards against empty output if the log lines were dropped."""
    result = run("two")
    assert result.exit_code == 1
    assert "two" in result.output
    assert "1 unreadable" in result.output
    assert "3 were not written" in result.output


def test_request_that_was_passed_on_is_described():
    """Guards against two logs that do not show who did what."""
    log = "\n".join(
        [
            line(
                event="forwarded",
                id="one",
                node="192.0.2.9:7555",
                waited_ms=250.1,
                ended="answered",
                status=200,
                latency_ms=30.0,
                detail="",
                time=10.3,
            ),
            line(
                event="answered",
                id="one",
                status=200,
                took_ms=29.0,
                left_to_target_ms=5.0,
                origin="192.0.2.8",
                time=10.29,
            ),
        ]
    )
    result = run("one", log)
    assert "passed on to node 192.0.2.9:7555 after 250.1 ms" in result.output
    assert "answered with status 200" in result.output
    assert "passed on by node 192.0.2.8" in result.output
