"""Tests of the command explain, which finds a request in a log."""

import json

from click import testing
import pytest

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


ATTEMPT = {
    "event": "attempt",
    "id": "one",
    "instance": "i-1",
    "address": "192.0.2.7:9000",
    "waited_ms": 2.0,
    "load": 0.0,
    "slowness": 1.0,
    "report_age_ms": 0.7,
    "may_have_run": False,
    "status": 503,
    "not_executed": True,
    "names_id": True,
    "connection": 17,
    "connection_requests": 1,
    "ended": "refused",
    "latency_ms": 4.0,
    "detail": "",
}


@pytest.mark.parametrize(
    ("changes", "text"),
    [
        (
            {},
            "on new connection 17; refused after 4.0 ms with status 503, with"
            " its id, which states that it has not run; taken for not run",
        ),
        (
            {"connection_requests": 3, "names_id": False},
            "on connection 17, used 2 times before; refused after 4.0 ms"
            " with status 503, without an id, which states",
        ),
        (
            {"connection": None, "connection_requests": 2},
            "; on connection, us",
        ),
        (
            {"not_executed": False, "may_have_run": True, "ended": "failed"},
            "which does not state that it has not run; it may have run",
        ),
        (
            {"status": None, "may_have_run": True, "ended": "lost"},
            "lost after 4.0 ms; it may have run",
        ),
    ],
    ids=["new", "used", "unnumbered", "no statement", "lost"],
)
def test_attempt_says_why_its_refusal_was_believed(changes, text):
    """Guards against a refusal that ran whose cause cannot be found."""
    output = run("one", line(**(ATTEMPT | changes))).output
    assert "sent to i-1 (192.0.2.7:9000)" in output
    assert text in output


def test_answered_attempt_says_nothing_of_refusals():
    """Guards against doubt about a request that a server has answered."""
    answered = {
        "status": 200,
        "not_executed": False,
        "may_have_run": True,
        "ended": "answered",
    }
    output = run("one", line(**(ATTEMPT | answered))).output
    assert output.endswith(
        "answered after 4.0 ms with status 200, with its id\n"
    )


def test_lines_of_earlier_builds_are_read_as_before():
    """Guards against claims about what an earlier build did not log."""
    output = run("one").output
    assert (
        "sent to i-1 after 2.0 ms at this node: load 0.0, slowness 1.0,"
        " report 0.7 ms old; lost after 1098.4 ms"
        " (TimeoutError: no answer in time)\n"
    ) in output
    assert "refused: answer-lost, held 1100.4 ms, 1 attempts\n" in output
    log = line(event="stray-responses", id="one", instance="i-1", count=1)
    assert run("one", log).output.endswith(
        "skipped 1 responses that were not to request one, on its connection"
        " to i-1\n"
    )


@pytest.mark.parametrize("may_have_run", [False, True])
def test_refusal_says_what_the_caller_was_told(may_have_run):
    """Guards against a false promise that looks like a true one."""
    log = line(
        event="refused",
        id="one",
        problem="no-server",
        status=503,
        may_have_run=may_have_run,
        held_ms=4.0,
        attempts=1,
    )
    expected = "it may have run" if may_have_run else "taken for not run"
    assert run("one", log).output.endswith(
        "refused: no-server with status 503, held 4.0 ms, 1 attempts;"
        f" {expected}\n"
    )


def test_unfounded_promise_names_its_server():
    """Guards against blaming the node for what a server responds."""
    log = line(
        event="promise-unfounded",
        id="one",
        instance="i-1",
        address="192.0.2.7:9000",
        status=429,
    )
    assert (
        "status 429 promises that it has not run, which i-1 (192.0.2.7:9000)"
        " does not state"
    ) in run("one", log).output


@pytest.mark.parametrize("request_id", ["one", "two"])
def test_copies_are_found_by_either_request(request_id):
    """Guards against a copy whose own request shows no trace of it."""
    log = line(
        event="stray-responses",
        id="two",
        instance="i-1",
        address="192.0.2.7:9000",
        count=2,
        response_ids=["one", ""],
    )
    assert (
        "skipped 2 responses that were not to request two, on its connection"
        " to i-1 (192.0.2.7:9000); their ids: one, none"
    ) in run(request_id, log).output


def test_copies_that_a_health_check_skipped_are_found():
    """Guards against copies that show nowhere since no request got them."""
    log = line(
        event="probe-stray-responses",
        instance="i-1",
        count=1,
        response_ids=["one"],
    )
    assert "not to a health check" in run("one", log).output
    assert run("none", log).exit_code == 1


@pytest.mark.parametrize(
    "arguments",
    [
        ["--node", "127.0.0.1:1", "--host", "shop.example"],
        ["--node", "127.0.0.1:1", "--host", "h", "--path", "/", "id-1"],
        ["id-1", "--tenant", "acme"],
        [],
        ["--node", "127.0.0.1:1", "--key", "k-1"],
    ],
)
def test_explain_rejects_arguments_that_do_not_fit(arguments):
    """Guards against a request id that is taken for a node's, and keys."""
    result = testing.CliRunner().invoke(cli.main, ["explain", *arguments])
    assert result.exit_code == 2
