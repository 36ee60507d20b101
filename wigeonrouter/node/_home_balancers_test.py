"""Tests of how requests with home regions get servers."""

import dataclasses
import random
import time

import gevent
import pytest

from wigeonrouter import core
from wigeonrouter import placement
from wigeonrouter.node import _balancer
from wigeonrouter.node import _grant
from wigeonrouter.node import messages

WAIT_S = 10.0
# Shorter than any wait for a server.
AT_ONCE_S = 1.0


class _CountingProber:
    """Prober of servers that never respond; counts who waited for it."""

    def __init__(self):
        self.callers = set()

    def probe(self, targets, *, timeout, deliver):
        self.callers.add(gevent.getcurrent())
        gevent.sleep(0.005)


@pytest.fixture
def prober():
    """Return a prober that counts the greenlets that waited for it."""
    return _CountingProber()


@pytest.fixture
def make_homes_balancer(make_known_server, make_server_pool, prober):
    """Return a function that makes a Balancer of a node in "north".

    It takes the number of servers by region.
    """

    def make(**servers):
        balancer = _balancer.Balancer(
            server_pool=make_server_pool(prober=prober),
            budget=placement.RetryBudget(ratio=0.2, window=10.0),
            rng=random.Random(1),
        )
        balancer.configure(
            health_path="/health",
            registered=make_registered(make_known_server, **servers),
        )
        return balancer

    return make


def make_registered(make_known_server, **servers):
    """Return the topology.KnownServers of each region."""
    return [
        make_known_server(
            f"{region}-{number}",
            place=core.Place(region=region, failure_domain=f"{region}-a"),
        )
        for region, count in servers.items()
        for number in range(count)
    ]


@pytest.fixture
def start(route):
    """Return a function that starts to wait for a server in a task."""
    tasks = []

    def run(balancer, *regions, seconds=30.0, **changes):
        now = time.monotonic()
        pending = placement.PendingRequest(
            priority=1,
            idempotent=True,
            arrived=now,
            target_time=now + seconds,
            deadline=now + seconds + 10.0,
            home_regions=frozenset(regions) if regions else None,
        )
        pending = dataclasses.replace(pending, **changes)
        tasks.append(gevent.spawn(balancer.acquire, pending, route))
        return tasks[-1]

    yield run
    gevent.killall(tasks)


def _region_of(task):
    grant = task.get(timeout=WAIT_S)
    assert isinstance(grant, _grant.Grant), grant
    return grant.registration.place.region


def _problem_of(task, timeout=AT_ONCE_S):
    rejection = task.get(timeout=timeout)
    assert isinstance(rejection, messages.Rejection), rejection
    return rejection.problem


def _release(balancer, grant, route):
    balancer.release(
        grant,
        route=route,
        outcome=placement.AttemptOutcome.CANCELLED,
        metadata=None,
        latency=0.1,
    )


def test_full_home_servers_are_waited_for_although_others_are_free(
    make_homes_balancer, start, route
):
    """Guards against a server outside the home regions, and blocked queues.

    The servers at home are full while local ones are free. Requests that may
    use these pass the ones that wait.
    """
    balancer = make_homes_balancer(north=3, south=2, east=3)
    first = [start(balancer, "south") for _ in range(4)]
    assert {_region_of(task) for task in first} == {"south"}
    waiting = [start(balancer, "south") for _ in range(8)]
    gevent.sleep(0.2)
    assert not any(task.ready() for task in waiting)
    assert balancer.queue_length == 8
    assert _region_of(start(balancer)) == "north"
    for task in first:
        _release(balancer, task.value, route)
    gevent.wait(waiting, count=4, timeout=WAIT_S)
    assert {_region_of(task) for task in waiting if task.ready()} == {"south"}


def test_requests_use_local_servers_of_a_home_region(
    make_homes_balancer, start
):
    """Guards against requests that leave their home region needlessly."""
    balancer = make_homes_balancer(north=2, south=2)
    tasks = [start(balancer, "north", "south") for _ in range(4)]
    assert {_region_of(task) for task in tasks} == {"north"}


def test_retries_stay_in_the_home_regions(make_homes_balancer, start):
    """Guards against a retry that reaches a server elsewhere."""
    balancer = make_homes_balancer(north=2, south=2, east=1)
    for _ in range(2):
        task = start(balancer, "south", excluded=frozenset({"south-0"}))
        assert task.get(timeout=WAIT_S).registration.instance == "south-1"


@pytest.mark.parametrize(
    "home_regions", [frozenset(), frozenset({"west"})], ids=["none", "empty"]
)
def test_no_region_or_no_server_there_is_rejected_at_once(
    make_homes_balancer, start, home_regions
):
    """Guards against requests that wait for servers that do not exist."""
    balancer = make_homes_balancer(north=2, south=2)
    task = start(balancer, home_regions=home_regions)
    assert _problem_of(task) is core.problems.NO_HOME
    assert task.value.retry_after > 0


@pytest.mark.parametrize("region", ["north", "south"])
def test_last_home_server_gone_rejects_all_queued_requests(
    make_homes_balancer, make_known_server, start, region
):
    """Guards against waiting for servers that are gone, also far back."""
    balancer = make_homes_balancer(north=1, south=1, east=1)
    for _ in range(2):
        _region_of(start(balancer, region))
    waiting = [start(balancer, region) for _ in range(10)]
    gevent.sleep(0.1)
    rest = {"north": 1, "south": 1, "east": 1, region: 0}
    balancer.configure(
        health_path="/health",
        registered=make_registered(make_known_server, **rest),
    )
    for task in waiting:
        assert _problem_of(task) is core.problems.NO_HOME


def test_queued_requests_move_to_a_new_local_server(
    make_homes_balancer, make_known_server, start
):
    """Guards against requests that wait abroad beside free local slots."""
    balancer = make_homes_balancer(south=1)
    for _ in range(2):
        _region_of(start(balancer, "north", "south"))
    waiting = [start(balancer, "north", "south") for _ in range(6)]
    gevent.sleep(0.1)
    balancer.configure(
        health_path="/health",
        registered=make_registered(make_known_server, north=3, south=1),
    )
    assert {_region_of(task) for task in waiting} == {"north"}


def test_admission_goes_by_the_slots_of_the_home_regions(
    make_homes_balancer, start
):
    """Guards against queues that only the free local slots seem to empty.

    One server at home has 40 requests ahead: at 140 ms each, a request with a
    deadline in a second cannot be served there.
    """
    balancer = make_homes_balancer(north=40, south=1)
    for _ in range(42):
        start(balancer, "south")
    gevent.sleep(0.2)
    task = start(balancer, "south", seconds=1.0, deadline=time.monotonic() + 1)
    assert _problem_of(task) is core.problems.DEADLINE_TOO_SHORT
    assert _region_of(start(balancer, seconds=1.0)) == "north"


def test_fresh_reports_spare_requests_the_round_trip_of_a_probe(
    make_homes_balancer, start, prober
):
    """Guards against a round trip per request to ask for the load."""
    balancer = make_homes_balancer(north=1, south=2)
    views = balancer.server_pool.views
    for view in views.remote:
        views.replace(
            dataclasses.replace(
                view,
                report=placement.LoadReport(
                    running=0,
                    queued=0,
                    slots=2,
                    slowdown=1.0,
                    received=time.monotonic() - 0.1,
                    own_in_flight=0,
                ),
            )
        )
    task = start(balancer, "south")
    assert _region_of(task) == "south"
    assert task not in prober.callers
    gevent.sleep(0.02)
    assert prober.callers, "reports are not kept fresh in the background"


def test_round_trip_is_taken_off_the_time_that_is_left():
    """Guards against requests that are sent too late for their target."""
    pending = placement.PendingRequest(
        priority=1,
        idempotent=True,
        arrived=0.0,
        target_time=1.0,
        deadline=2.0,
    )
    remaining = placement.without_round_trip(pending, 0.04)
    assert (remaining.target_time, remaining.deadline) == (0.96, 1.96)


def test_server_that_is_registered_elsewhere_is_at_home_no_longer(
    make_homes_balancer, make_known_server, start
):
    """Guards against a server that counts to the region it was in first.

    Its registration has changed, but not its instance and start.
    """
    balancer = make_homes_balancer(south=1)
    assert _region_of(start(balancer, "south")) == "south"
    moved = core.Place(region="east", failure_domain="east-a")
    balancer.configure(
        health_path="/health",
        registered=[make_known_server("south-0", place=moved)],
    )
    assert _problem_of(start(balancer, "south")) is core.problems.NO_HOME
