"""Tests of which requests may wait for servers with rate limits."""

import random

import pytest

from wigeonrouter import placement
from wigeonrouter.node import _admission_controller
from wigeonrouter.node import messages

NOW_S = 1000.0
LIMIT_PER_S = 1.5


@pytest.fixture
def now():
    """Return a list whose only item is the time of the monotonic clock."""
    return [NOW_S]


@pytest.fixture
def server_pool(make_server_pool, make_known_server, make_metadata, now):
    """Return a ServerPool whose only server names a limit."""
    pool = make_server_pool(clock=lambda: now[0])
    pool.configure(health_path="/health", registered=[make_known_server("a")])
    pool.views.record_rate_limit(
        "a", make_metadata(rate_limit=LIMIT_PER_S), from_probe=False
    )
    now[0] += 10.0
    pool.views.refresh_rate_limits({})
    return pool


@pytest.fixture
def admission(server_pool, now):
    """Return an AdmissionController of the limited server."""
    return _admission_controller.AdmissionController(
        server_pool=server_pool,
        queue=placement.RequestQueue(),
        rng=random.Random(1),
        clock=lambda: now[0],
    )


def _request(now, *, target_time=0.4):
    return placement.PendingRequest(
        priority=1,
        idempotent=True,
        arrived=now,
        target_time=now + target_time,
        deadline=now + 4.0,
    )


def _send(server_pool):
    view = server_pool.views.get("a")
    assert server_pool.grant(placement.Pick(view=view), 0.1) is not None


def test_request_that_the_limits_allow_is_admitted(admission, route, now):
    """Guards against rejections while a limit is not used."""
    assert admission.check_arrival(_request(now[0]), route) is None


def test_request_that_the_limits_would_make_late_is_rejected_at_once(
    admission, server_pool, route, now
):
    """Guards against a queue that takes the limits of on-time requests."""
    for _ in range(20):
        now[0] += 0.1
        admission.check_arrival(_request(now[0]), route)
    _send(server_pool)
    _send(server_pool)
    rejection = admission.check_arrival(_request(now[0]), route)
    assert isinstance(rejection, messages.Rejection)
    assert rejection.retry_after > 0.0


def test_late_request_waits_if_the_limits_leave_something(
    admission, server_pool, route, now
):
    """Guards against late requests that are never served."""
    _send(server_pool)
    _send(server_pool)
    request = _request(now[0], target_time=-0.1)
    assert admission.check_arrival(request, route) is None
