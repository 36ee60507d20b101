"""Tests of what the log says of requests while a node stops."""

import pytest

from wigeonrouter import core
from wigeonrouter import http1
from wigeonrouter import placement
from wigeonrouter import topology
from wigeonrouter.node import _request_context
from wigeonrouter.node import _request_log
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
        version=7, routes=(), services={}, limits=topology.CallerLimits()
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
