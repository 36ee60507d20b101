"""Tests of how requests leave a region whose servers are full."""

import random
import time

import gevent
import pytest

from wigeonrouter import core
from wigeonrouter import placement
from wigeonrouter.node import _balancer
from wigeonrouter.node import _grant
from wigeonrouter.node import _prober
from wigeonrouter.node import conftest
from wigeonrouter.node import messages

_PLACE = core.Place(region="north", failure_domain="north-a")


@pytest.fixture
def make_spilling_balancer(make_server_pool, make_known_server, make_metadata):
    """Return a function that makes a Balancer, by the servers' numbers.

    All servers report that they are idle.
    """

    def make(**servers):
        load = messages.ServerLoad(running=0, queued=0, slots=2, slowdown=1.0)
        result = _prober.ProbeResult(
            healthy=True,
            instance_matches=True,
            metadata=make_metadata(load=load),
            round_trip=0.04,
        )
        balancer = _balancer.Balancer(
            server_pool=make_server_pool(
                prober=conftest.AnsweringProber(result)
            ),
            budget=placement.RetryBudget(ratio=0.2, window=10.0),
            rng=random.Random(1),
            spill_over=placement.SpillOver(place=_PLACE),
        )
        balancer.configure(
            health_path="/health",
            registered=[
                make_known_server(
                    f"{region}-{number}",
                    place=core.Place(
                        region=region, failure_domain=f"{region}-a"
                    ),
                )
                for region, count in servers.items()
                for number in range(count)
            ],
        )
        return balancer

    return make


def _pending(home_regions=None):
    now = time.monotonic()
    return placement.PendingRequest(
        priority=1,
        idempotent=True,
        arrived=now,
        target_time=now + 0.4,
        deadline=now + 3.0,
        home_regions=home_regions,
    )


def _start(balancer, route, home_regions=None):
    return gevent.spawn(balancer.acquire, _pending(home_regions), route)


def _regions(tasks):
    gevent.joinall(tasks, timeout=0.25)
    grants = [
        task.value for task in tasks if isinstance(task.value, _grant.Grant)
    ]
    return [grant.registration.place.region for grant in grants]


def test_requests_that_would_queue_leave_a_full_region(
    make_spilling_balancer, route
):
    """Guards against waiting in a long queue beside a free region.

    Only the head of the queue looks for servers, so those behind it have to
    look when they arrive. Requests whose home is here stay.
    """
    balancer = make_spilling_balancer(north=3, south=40)
    tasks = [_start(balancer, route) for _ in range(6)]
    assert _regions(tasks) == ["north"] * 6
    bound = [_start(balancer, route, frozenset({"north"})) for _ in range(10)]
    gevent.sleep(0.05)
    tasks = [_start(balancer, route) for _ in range(10)]
    regions = _regions(tasks)
    assert _regions(bound) == []
    gevent.killall([*bound, *tasks])
    assert regions and set(regions) == {"south"}
    sent = balancer.requests_by_locality
    assert sent[placement.Locality.REMOTE] == len(regions)


def test_previewed_spill_over_starts_no_polling(make_spilling_balancer, route):
    """Guards against an explanation that probes the servers of others."""
    balancer = make_spilling_balancer(north=3, south=40)
    tasks = [_start(balancer, route) for _ in range(6)]
    assert _regions(tasks) == ["north"] * 6
    # The polling that these requests have started ends after 0.3 s.
    gevent.sleep(0.5)
    polling = balancer.server_pool.remote_polling
    task, shares = polling._task, dict(balancer.spill_over_shares)
    assert balancer.preview(_pending(), route).pick is None
    gevent.sleep(0.1)
    assert polling._task is task
    assert polling._polled_until == {}
    assert balancer.spill_over_shares == shares
    assert balancer.queue_length == 0
