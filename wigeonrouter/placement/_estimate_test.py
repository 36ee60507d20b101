"""Tests of the estimated load and response time."""

import dataclasses

import pytest

from wigeonrouter import placement
from wigeonrouter import topology


def test_own_requests_in_a_report_are_not_counted_twice(make_view, now):
    """Guards against free slots that look occupied.

    A response carries a load report that still counts the request it answers.
    """
    view = make_view("a", running=1, in_flight=0)
    view = dataclasses.replace(
        view, report=dataclasses.replace(view.report, own_in_flight=1)
    )
    assert placement.expected_load(view, now) == 0


def test_load_of_other_nodes_decays_with_report_age(make_view, now):
    """Guards against counting load that was reported long ago."""
    fresh = placement.expected_load(make_view("a", running=2), now)
    old = placement.expected_load(make_view("a", running=2, age=2.0), now)
    assert fresh == 2 and old < 0.1


@pytest.mark.parametrize(
    ("better", "worse"),
    [
        ({}, {"slowdown": 4.0}),
        ({}, {"running": 1}),
        ({}, {"slow_start_until": 1000.0}),
        ({}, {"round_trip": 0.2}),
    ],
    ids=["noise", "second slot", "cold", "far"],
)
def test_each_cause_of_slowness_raises_the_estimate(
    make_view, now, better, worse
):
    """Guards against an estimate that ignores a cause of slow responses."""
    times = [
        placement.expected_latency(
            make_view("a", **changes),
            service_time=0.1,
            mean_slowdown=1.5,
            now=now,
        )
        for changes in (better, worse)
    ]
    assert times[0] < times[1]


@pytest.fixture
def route():
    """Return a route with a timeout of four seconds."""
    return topology.Route(
        name="reads",
        host="reads.example",
        prefix="/",
        shares=(),
        idempotent=True,
        timeout=4.0,
        target_latency=0.4,
        priority=1,
        max_attempts=3,
    )


def test_longest_latency_is_kept_and_decays(route):
    """Guards against one slow response that counts forever."""
    service_times = placement.ServiceTimes()
    assert service_times.longest_latency(route) is None
    service_times.record_latency(route, 2.0)
    for _ in range(20):
        service_times.record_latency(route, 0.1)
    assert service_times.longest_latency(route) > 1.0
    for _ in range(500):
        service_times.record_latency(route, 0.1)
    assert service_times.longest_latency(route) < 0.2


@pytest.mark.parametrize(
    ("slowdowns", "expected"),
    [
        ([], 1.0),
        ([4.0] * 32, 4.0),
        ([4.0, 4.0, 1.0, 1.0] * 8, 1.0),
        ([4.0, 4.0, 1.0] * 12, 1.0),
        ([1.0] * 100 + [2.5] * 32, 2.5),
        ([8.0] * 100 + [1.0] * 16, 1.0),
        ([0.5] * 32, 1.0),
    ],
    ids=[
        "no report",
        "all slow",
        "half slow",
        "most slow",
        "slower than before",
        "fast again",
        "faster than usual",
    ],
)
def test_fast_servers_are_those_of_the_latest_reports(slowdowns, expected):
    """Guards against waits for servers as fast as none is at this time."""
    service_times = placement.ServiceTimes()
    for slowdown in slowdowns:
        service_times.record_slowdown(slowdown)
    assert service_times.fast_slowdown == expected


def test_response_within_a_lowered_timeout_replaces_the_estimate(route):
    """Guards against an estimate above the timeout that refuses all requests.

    It would take dozens of responses until the average is below the timeout.
    """
    times = placement.ServiceTimes()
    for _ in range(200):
        times.record_service_time(route, 0.8)
    lowered = dataclasses.replace(route, timeout=0.25)
    assert times.exceeds_timeout(lowered)
    assert times.service_time(lowered) < lowered.timeout
    times.record_service_time(lowered, 0.02)
    assert not times.exceeds_timeout(lowered)
    assert times.service_time(lowered) == 0.02
