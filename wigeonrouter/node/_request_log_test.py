"""Tests of what the log says of requests."""

import dataclasses

import pytest

from wigeonrouter import core
from wigeonrouter import http1
from wigeonrouter import placement
from wigeonrouter import topology
from wigeonrouter.node import _grant
from wigeonrouter.node import _request_context
from wigeonrouter.node import _request_log
from wigeonrouter.node import _sender
from wigeonrouter.node import messages

_NOW = 100.0


class _Events:
    """Event log that keeps the fields of its last event of each name."""

    def __init__(self):
        self.fields = {}

    def event(self, name, /, **fields):
        self.fields[name] = fields


class _SilentMetrics:
    """RequestMetrics that counts nothing."""

    def record_rejection(self, **sample):
        pass


class _ClusterState:
    """ClusterState with a configuration."""

    configuration = topology.Configuration(
        version=7,
        routes=(),
        services={},
        limits=topology.CallerLimits(),
        authentication=topology.Authentication.OPEN,
    )


@pytest.fixture
def events():
    """Return the event log."""
    return _Events()


@pytest.fixture
def make_log(events):
    """Return a function that makes a RequestLog of a node that may stop."""

    def make(schedule):
        return _request_log.RequestLog(
            cluster_state=_ClusterState(),
            events=events,
            metrics=_SilentMetrics(),
            stop_schedule=lambda: schedule,
            clock=lambda: _NOW,
        )

    return make


@pytest.fixture
def context():
    """Return a request that arrived a second ago and has another second."""
    return _request_context.RequestContext(
        request=http1.HttpRequest(
            method=b"GET", target=b"/", headers=(), body=b"", keep_alive=True
        ),
        request_id="r-1",
        digest="",
        route=topology.Route(
            name="read",
            host="shop.example",
            prefix="/",
            idempotent=True,
            shares=(),
            timeout=2.0,
            target_latency=0.2,
            priority=1,
            max_attempts=2,
        ),
        service="alpha",
        pending=placement.PendingRequest(
            priority=1,
            idempotent=True,
            arrived=_NOW - 1.0,
            target_time=_NOW - 0.8,
            deadline=_NOW + 1.0,
        ),
    )


@pytest.fixture
def grant():
    """Return the Grant of a server."""
    return _grant.Grant(
        registration=topology.Registration(
            instance="i-1",
            service="alpha",
            address=core.Address(host="192.0.2.7", port=9000),
            place=core.Place(region="r1", failure_domain="za"),
            slots=2,
            state=topology.RegistrationState.READY,
        ),
        granted_at=_NOW - 0.9,
        expected_slowdown=1.0,
        nearly_full=False,
        report_age=None,
        expected_utility=1.0,
        expected_load=0.0,
        round_trip=0.001,
        expected_latency=0.02,
    )


def test_cut_off_request_is_logged_with_the_server_that_works_on_it(
    make_log, events, context
):
    """Guards against a log that cannot tell why a request was cut off."""
    context.hand_over("i-1", _NOW - 0.9)
    make_log(placement.StopSchedule(began=_NOW - 5.7)).on_cut_off(context)
    fields = events.fields["cut-off"]
    assert fields["receiver"] == "i-1"
    assert fields["at_receiver_ms"] == 900.0
    assert fields["left_to_deadline_ms"] == 1000.0
    assert fields["stopping_ms"] == 5700.0


def test_failure_before_the_deadline_shows_in_the_log(
    make_log, events, context
):
    """Guards against responses given up early, which look like timeouts."""
    make_log(placement.NO_STOP).on_rejection(
        messages.Rejection(problem=core.problems.ANSWER_LOST),
        context.request_id,
        context.pending.arrived,
        context,
    )
    fields = events.fields["refused"]
    assert fields["left_to_deadline_ms"] == 1000.0
    assert "stopping_ms" not in fields


@pytest.fixture
def log_attempt(make_log, events, context, grant):
    """Return a function that logs an attempt and returns the events."""

    def run(attempt):
        outcome = placement.AttemptOutcome.CANCELLED
        if attempt is not None:
            outcome = attempt.outcome
        make_log(placement.NO_STOP).on_attempt(
            context, grant, attempt, outcome, 0.004
        )
        return events.fields

    return run


def _responded(status, *, request_id="r-1", **metadata):
    not_executed = metadata.pop("not_executed", False)
    return _sender.Attempt(
        outcome=placement.AttemptOutcome.REJECTED
        if not_executed
        else placement.AttemptOutcome.FAILED,
        may_have_run=not not_executed,
        response=http1.HttpResponse(status=status, headers=(), body=b""),
        metadata=messages.ResponseMetadata(
            request_id=request_id,
            instance="",
            not_executed=not_executed,
            misdirected=False,
            load=None,
            **metadata,
        ),
        connection=17,
        connection_requests=3,
    )


def test_attempt_shows_what_its_response_states(log_attempt):
    """Guards against refusals of which nobody can tell why they were believed.

    A refusal without an ID can be one of another request, and so can one with
    the ID on a connection that had carried the request.
    """
    fields = log_attempt(_responded(503, not_executed=True, request_id=""))
    attempt = fields["attempt"]
    assert attempt["instance"] == "i-1"
    assert attempt["address"] == "192.0.2.7:9000"
    assert attempt["status"] == 503
    assert attempt["connection"] == 17
    assert attempt["connection_requests"] == 3
    assert attempt["not_executed"] and not attempt["names_id"]
    assert not attempt["may_have_run"]
    assert "promise-unfounded" not in fields


def test_unfounded_promise_names_the_server(log_attempt):
    """Guards against a 502 of the node that does not show who caused it."""
    fields = log_attempt(_responded(429, unfounded_promise=True))
    assert fields["promise-unfounded"] == {
        "id": "r-1",
        "instance": "i-1",
        "address": "192.0.2.7:9000",
        "status": 429,
    }
    assert fields["attempt"]["may_have_run"]


def test_skipped_responses_are_logged_with_their_ids(log_attempt):
    """Guards against copies whose own request cannot be found."""
    attempt = dataclasses.replace(
        _responded(200), stray_ids=("r-0", "", "r-0")
    )
    assert log_attempt(attempt)["stray-responses"] == {
        "id": "r-1",
        "instance": "i-1",
        "address": "192.0.2.7:9000",
        "count": 3,
        "response_ids": ("r-0", "", "r-0"),
    }


def test_attempt_without_skipped_responses_has_no_line_for_them(log_attempt):
    """Guards against a count of requests instead of surplus responses."""
    assert "stray-responses" not in log_attempt(_responded(200))


def test_attempt_that_failed_unexpectedly_may_have_run(log_attempt):
    """Guards against attempts that seem to show that nothing has run."""
    fields = log_attempt(None)
    assert fields["attempt"]["may_have_run"]
    assert "status" not in fields["attempt"]


@pytest.mark.parametrize("may_have_run", [False, True])
def test_rejection_shows_its_status_and_whether_a_server_may_have_run(
    make_log, events, context, may_have_run
):
    """Guards against a log that does not show a false promise."""
    context.hand_over("i-1", _NOW - 0.5)
    context.take_back(may_have_run=may_have_run)
    make_log(placement.NO_STOP).on_rejection(
        messages.Rejection(problem=core.problems.NO_SERVER),
        context.request_id,
        context.pending.arrived,
        context,
    )
    fields = events.fields["refused"]
    assert fields["status"] == 503
    assert fields["may_have_run"] == may_have_run
