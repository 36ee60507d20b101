"""Shared fixtures of the tests of load balancing decisions."""

import dataclasses

import pytest

from wigeonrouter import placement

NOW_S = 100.0


@pytest.fixture
def make_view():
    """Return a function that makes a ServerView with a fresh load report."""

    def make(instance, *, running=0, slowdown=1.0, age=0.0, **changes):
        view = placement.ServerView(
            instance=instance,
            locality=placement.Locality.DOMAIN,
            slots=2,
            report=placement.LoadReport(
                running=running,
                queued=0,
                slots=2,
                slowdown=slowdown,
                received=NOW_S - age,
                own_in_flight=0,
            ),
        )
        return dataclasses.replace(view, **changes)

    return make


@pytest.fixture
def make_request():
    """Return a function that makes a PendingRequest that has just arrived."""

    def make(*, target_time=0.4, deadline=2.0, **changes):
        request = placement.PendingRequest(
            priority=1,
            idempotent=True,
            arrived=NOW_S,
            target_time=NOW_S + target_time,
            deadline=NOW_S + deadline,
        )
        return dataclasses.replace(request, **changes)

    return make


@pytest.fixture
def now():
    """Return the time at which decisions are made, in seconds."""
    return NOW_S
