"""Tests of how requests wait at a node for a backend server."""

import dataclasses
import time

import gevent
import pytest

from wigeonrouter import core
from wigeonrouter import placement
from wigeonrouter.node import _grant
from wigeonrouter.node import messages

QUEUED_REQUESTS = 200
# Longer than any step takes on a busy machine.
WAIT_S = 10.0


@pytest.fixture
def make_pending():
    """Return a function that makes a PendingRequest that arrives now."""

    def make(*, target_time=30.0, deadline=40.0, priority=1, **changes):
        now = time.monotonic()
        return placement.PendingRequest(
            priority=priority,
            idempotent=True,
            arrived=now,
            target_time=now + target_time,
            deadline=now + deadline,
            **changes,
        )

    return make


@pytest.fixture
def acquire(route):
    """Return a function that starts to wait for a server in a task.

    Tasks that still wait at the end of the test are killed.
    """
    tasks = []

    def start(balancer, pending):
        tasks.append(gevent.spawn(balancer.acquire, pending, route))
        return tasks[-1]

    yield start
    gevent.killall(tasks)


@pytest.fixture
def occupy(acquire, make_pending):
    """Return a function that takes both slots of a server; returns Grants."""

    def take(balancer):
        tasks = [acquire(balancer, make_pending()) for _ in range(2)]
        gevent.joinall(tasks, timeout=WAIT_S)
        return [task.value for task in tasks]

    return take


def _release(balancer, grant, route):
    balancer.release(
        grant,
        route=route,
        outcome=placement.AttemptOutcome.CANCELLED,
        metadata=None,
        latency=0.1,
    )


def test_only_the_head_of_a_long_queue_polls(
    make_balancer, make_pending, acquire, occupy, monkeypatch
):
    """Guards against work that grows with the number of queued requests.

    After an outage hundreds of requests wait at the home node of a service.
    When each of them looked at the queue at short intervals, they used up the
    processor that was needed to serve them.
    """
    balancer = make_balancer(servers=1)
    occupy(balancer)
    for _ in range(QUEUED_REQUESTS):
        acquire(balancer, make_pending(target_time=50.0, deadline=60.0))
    with gevent.Timeout(WAIT_S):
        while balancer.queue_length < QUEUED_REQUESTS:
            gevent.sleep(0.01)
    looking = set()
    head = placement.RequestQueue.head

    def recording_head(queue, now):
        looking.add(gevent.getcurrent())
        return head(queue, now)

    monkeypatch.setattr(placement.RequestQueue, "head", recording_head)
    gevent.sleep(0.5)
    assert 0 < len(looking) <= 4


def test_released_slots_go_through_the_whole_queue(
    make_balancer, make_pending, acquire, route
):
    """Guards against a queued request that is never woken."""
    balancer = make_balancer(servers=2)
    waiting = [acquire(balancer, make_pending()) for _ in range(20)]
    with gevent.Timeout(WAIT_S):
        while waiting:
            (task,) = gevent.wait(waiting, count=1)
            waiting.remove(task)
            assert isinstance(task.value, _grant.Grant)
            _release(balancer, task.value, route)
    assert balancer.queue_length == 0


def test_last_server_gone_rejects_all_queued_requests(
    make_balancer, make_pending, make_metadata, acquire, occupy, route
):
    """Guards against requests that wait for a server that is not there.

    Another one answers at its address. Not only the head of the queue has to
    be told.
    """
    balancer = make_balancer(servers=1)
    grant, _ = occupy(balancer)
    waiting = [acquire(balancer, make_pending()) for _ in range(20)]
    gevent.sleep(0.05)
    balancer.release(
        grant,
        route=route,
        outcome=placement.AttemptOutcome.REJECTED,
        metadata=make_metadata(not_executed=True, misdirected=True),
        latency=0.1,
    )
    gevent.joinall(waiting, timeout=WAIT_S)
    rejections = [task.value for task in waiting]
    assert all(isinstance(value, messages.Rejection) for value in rejections)
    assert {value.problem for value in rejections} == {core.problems.NO_SERVER}


def test_request_far_back_is_rejected_before_its_deadline(
    make_balancer, make_pending, occupy, route
):
    """Guards against holding a request that can no longer be served.

    It is not at the head, so no released slot makes it look again.
    """
    balancer = make_balancer(servers=1)
    occupy(balancer)
    slow_route = dataclasses.replace(route, target_latency=2.0)
    tasks = [
        gevent.spawn(balancer.acquire, make_pending(priority=0), slow_route)
        for _ in range(4)
    ]
    pending = make_pending(priority=5, target_time=2.9, deadline=3.0)
    rejection = balancer.acquire(pending, slow_route)
    gevent.killall(tasks)
    assert isinstance(rejection, messages.Rejection)
    assert pending.arrived + 1.0 < time.monotonic() < pending.deadline


def test_request_behind_ones_that_turned_late_is_served(
    make_balancer, make_pending, acquire, occupy, route
):
    """Guards against a new head of the queue that is not woken.

    Requests that may not use the only server fill the head of the queue. They
    leave it by becoming late, so there is no release that wakes the others.
    """
    balancer = make_balancer(servers=1)
    grants = occupy(balancer)
    for _ in range(4):
        acquire(
            balancer,
            make_pending(
                priority=0,
                target_time=0.4,
                deadline=2 * WAIT_S,
                excluded=frozenset({"server-0"}),
            ),
        )
    patient = acquire(
        balancer,
        make_pending(priority=5, target_time=WAIT_S, deadline=2 * WAIT_S),
    )
    gevent.sleep(0.05)
    _release(balancer, grants[0], route)
    patient.join(timeout=WAIT_S / 2)
    assert isinstance(patient.value, _grant.Grant)


def test_tenants_take_turns_at_the_servers(
    make_balancer, make_pending, acquire, occupy, route
):
    """Guards against a tenant that is not charged for the slots it gets.

    Twenty requests of one tenant wait before three of another arrive.
    """
    balancer = make_balancer(servers=1)
    grants = occupy(balancer)
    many = [acquire(balancer, make_pending(tenant="many")) for _ in range(20)]
    few = [acquire(balancer, make_pending(tenant="few")) for _ in range(3)]
    gevent.sleep(0.05)
    waiting = [*many, *few]
    for _ in range(8):
        _release(balancer, grants.pop(), route)
        (task,) = gevent.wait(waiting, count=1, timeout=WAIT_S)
        waiting.remove(task)
        grants.append(task.value)
    assert all(task.ready() for task in few)
    assert balancer.overload_log.waiting == {(0, 1): 15}


def test_servers_are_used_again_after_a_cut(
    make_balancer, make_pending, acquire, route
):
    """Guards against servers that stay ejected because the node was cut."""
    balancer = make_balancer(servers=2)
    for _ in range(8):
        grant = acquire(balancer, make_pending()).get(timeout=WAIT_S)
        balancer.release(
            grant,
            route=route,
            outcome=placement.AttemptOutcome.UNREACHABLE,
            metadata=None,
            latency=0.25,
        )
    views = balancer.server_pool.views
    now = time.monotonic()
    assert not any(placement.is_available(view, now) for view in views.all)
    balancer.on_links_changed(cut=True)
    assert not any(placement.is_available(view, now) for view in views.all)
    balancer.on_links_changed(cut=False)
    assert all(placement.is_available(view, now) for view in views.all)
