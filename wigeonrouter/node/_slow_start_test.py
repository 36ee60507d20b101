"""Tests of cold servers at a node that is a home, and at one that is not."""

import dataclasses
import time

import gevent
import pytest

from wigeonrouter import placement
from wigeonrouter.node import _prober
from wigeonrouter.node import conftest

RULE = placement.SlowStartRule(duration=3.0, rate=5.0)
COLD_S = 2.0
STARTED_S = 1000.0


class SlowProber:
    """Prober whose server responds after some time, if that is in time."""

    def __init__(self, result, *, delay):
        self._result = result
        self._delay = delay
        self.probed = []

    def probe(self, targets, *, timeout, deliver):
        for registration, _ in targets:
            self.probed.append(registration.instance)
            gevent.sleep(min(self._delay, timeout))
            in_time = self._delay < timeout
            deliver(registration.instance, self._result if in_time else None)


@pytest.fixture
def make_result(make_metadata):
    """Return a function that makes the ProbeResult of a server."""

    def make(slow_start):
        return _prober.ProbeResult(
            healthy=True,
            instance_matches=True,
            metadata=make_metadata(slow_start=slow_start),
            round_trip=0.001,
        )

    return make


@pytest.fixture
def now():
    """Return a list whose only item is the time of the monotonic clock."""
    return [STARTED_S]


@pytest.fixture
def make_pool(make_server_pool, make_known_server, make_result, now):
    """Return a function that makes a ServerPool of one server."""

    def make(*, slow_start, share, rule=RULE, **changes):
        pool = make_server_pool(
            limit_share=lambda: share,
            clock=lambda: now[0],
            prober=conftest.AnsweringProber(make_result(slow_start)),
        )
        record = dataclasses.replace(make_known_server("near"), **changes)
        pool.configure(
            health_path="/health", registered=[record], slow_start=rule
        )
        return pool

    return make


@pytest.fixture
def pending():
    """Return a PendingRequest."""
    return placement.PendingRequest(
        priority=1,
        idempotent=True,
        arrived=STARTED_S,
        target_time=STARTED_S + 20.0,
        deadline=STARTED_S + 30.0,
    )


def _grant(pool):
    return pool.grant(placement.Pick(view=pool.views.get("near")), 0.1)


@pytest.mark.parametrize("share", [0.0, 1.0])
def test_server_gets_no_request_before_it_has_shown_that_it_is_warm(
    make_pool, pending, now, share
):
    """Guards against a node that does not know that a server is cold again."""
    pool = make_pool(slow_start=0.0, share=share)
    views = pool.views.local
    assert _grant(pool) is None
    assert pool.views.exclusion_counts == {placement.Exclusion.UNCHECKED: 1}
    # It may be probed, but not chosen.
    options = {
        "request": pending,
        "service_time": 0.1,
        "mean_slowdown": 1.0,
        "now": now[0],
    }
    assert placement.probe_candidates(views, max_servers=1, **options) == views
    assert placement.choose(views, utilization=0.0, **options).view is None
    pool.probe(views, remote=False)
    assert _grant(pool) is not None
    now[0] += RULE.duration
    assert _grant(pool) is None


def test_only_the_home_sends_to_a_cold_server_at_its_rate(make_pool, now):
    """Guards against a cold server that all nodes use, or that none uses."""
    home = make_pool(slow_start=COLD_S, share=1.0)
    other = make_pool(slow_start=COLD_S, share=0.0)
    for pool in (home, other):
        pool.probe(pool.views.local, remote=False)
        assert pool.views.cold_count == 1
    assert not other.views.has_usable
    grants = 0
    for _ in range(199):
        now[0] += 0.01
        grants += _grant(home) is not None
    assert 0.8 * RULE.rate * COLD_S <= grants <= RULE.rate * COLD_S + 1
    now[0] += 0.1
    for pool in (home, other):
        pool.views.refresh_rate_limits({})
        assert pool.views.cold_count == 0
    assert other.views.has_usable


def test_server_is_cold_after_its_evacuation_until_it_denies_it(
    make_pool, now
):
    """Guards against the whole load for servers that were idle for long."""
    pool = make_pool(slow_start=0.0, share=1.0, returned_at=STARTED_S - 1.0)
    assert pool.views.get("near").rate_limit == RULE.rate
    pool.probe(pool.views.local, remote=False)
    assert pool.views.get("near").slow_start_until <= now[0]
    assert pool.views.get("near").rate_limit is None


def test_service_without_a_rate_needs_no_check(make_pool):
    """Guards against a change for services that limit no cold servers."""
    pool = make_pool(
        slow_start=COLD_S, share=0.0, rule=placement.NO_SLOW_START
    )
    assert _grant(pool) is not None
    pool.probe(pool.views.local, remote=False)
    assert pool.views.cold_count == 0
    assert _grant(pool) is not None


def test_slow_health_response_is_not_lost(
    make_server_pool, make_known_server, make_result
):
    """Guards against servers that stay unchecked behind a slow link.

    The response comes after requests have stopped to wait for it.
    """
    prober = SlowProber(make_result(0.0), delay=0.03)
    pool = make_server_pool(prober=prober)
    pool.configure(
        health_path="/health",
        registered=[make_known_server("near")],
        slow_start=RULE,
    )
    pool.probe(pool.views.local, remote=False)
    assert _grant(pool) is None
    deadline = time.monotonic() + 5.0
    while _grant(pool) is None and time.monotonic() < deadline:
        gevent.sleep(0.01)
    assert time.monotonic() < deadline
    assert prober.probed == ["near"]
