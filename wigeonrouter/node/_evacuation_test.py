"""Tests of requests and servers of a failure domain that is evacuated."""

import dataclasses
import time

import gevent
import pytest

from wigeonrouter import core
from wigeonrouter import placement
from wigeonrouter.node import _grant
from wigeonrouter.node import messages

WAIT_S = 5.0


@pytest.fixture
def pending():
    """Return a PendingRequest that arrives now."""
    now = time.monotonic()
    return placement.PendingRequest(
        priority=1,
        idempotent=True,
        arrived=now,
        target_time=now + 20.0,
        deadline=now + 30.0,
    )


@pytest.fixture
def evacuate(make_known_server):
    """Return a function that evacuates all servers but some spare ones."""

    def apply(balancer, *, spare=()):
        evacuated = dataclasses.replace(
            make_known_server("server-0"), evacuated=True
        )
        balancer.configure(
            health_path="/health",
            registered=[evacuated, *map(make_known_server, spare)],
        )

    return apply


@pytest.mark.parametrize("spare", [(), ("server-1",)])
def test_queued_requests_do_not_wait_for_evacuated_servers(
    make_balancer, pending, route, evacuate, spare
):
    """Guards against requests that wait for servers they must not reach.

    They look for another server; without one they are rejected at once.
    """
    balancer = make_balancer(servers=1)
    for _ in range(2):
        balancer.acquire(pending, route)
    waiting = [gevent.spawn(balancer.acquire, pending, route) for _ in "ab"]
    gevent.sleep(0.05)
    assert not any(task.ready() for task in waiting)
    evacuate(balancer, spare=spare)
    gevent.joinall(waiting, timeout=WAIT_S)
    for task in waiting:
        if spare:
            assert isinstance(task.value, _grant.Grant)
            assert task.value.registration.instance == "server-1"
        else:
            assert isinstance(task.value, messages.Rejection)
            assert task.value.problem is core.problems.NO_SERVER
            assert task.value.retry_after > 0


def test_evacuated_server_gets_no_grant_and_is_counted(
    make_balancer, evacuate
):
    """Guards against a server that was chosen just before the evacuation."""
    balancer = make_balancer(servers=1)
    pool = balancer.server_pool
    pick = placement.Pick(view=pool.views.get("server-0"))
    evacuate(balancer)
    assert pool.grant(pick, 0.1) is None
    assert balancer.excluded_servers == {"evacuated": 1}
    assert balancer.evacuated_domains == 1
