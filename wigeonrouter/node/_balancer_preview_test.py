"""Tests that a previewed decision is the one that is then taken."""

import time

import gevent
import pytest

from wigeonrouter import placement
from wigeonrouter.node import _grant
from wigeonrouter.node import messages


def pending(*, deadline=40.0, **changes):
    now = time.monotonic()
    return placement.PendingRequest(
        **{
            "priority": 1,
            "idempotent": True,
            "arrived": now,
            "target_time": now + 30.0,
            "deadline": now + deadline,
        }
        | changes
    )


def test_previewed_server_gets_the_request(make_balancer, route):
    """Guards against a preview that advances the generator or picks anew.

    There are more servers than are compared, so that the choice is random.
    """
    balancer = make_balancer(servers=60)
    for _ in range(5):
        request = pending()
        previews = [balancer.preview(request, route) for _ in range(2)]
        grant = balancer.acquire(request, route)
        assert isinstance(grant, _grant.Grant)
        assert [preview.pick.view.instance for preview in previews] == [
            grant.registration.instance
        ] * 2


@pytest.mark.parametrize(
    "servers, changes",
    [
        (0, {}),
        (1, {"deadline": 0.01}),
        (1, {"deadline": 0.01, "tenant": "acme"}),
        (1, {"home_regions": frozenset({"south"})}),
    ],
)
def test_previewed_rejection_is_the_one_that_follows(
    make_balancer, route, servers, changes
):
    """Guards against a preview that uses up positions of retries."""
    balancer = make_balancer(servers=servers)
    request = pending(**changes)
    preview = balancer.preview(request, route).rejection
    rejection = balancer.acquire(request, route)
    assert isinstance(rejection, messages.Rejection)
    assert preview.problem is rejection.problem
    assert preview.retry_after == pytest.approx(
        rejection.retry_after, rel=0.01
    )


def test_request_behind_others_waits(make_balancer, route):
    """Guards against a preview that ignores the queue, or joins it."""
    balancer = make_balancer(servers=1)
    grants = [balancer.acquire(pending(), route) for _ in range(2)]
    assert all(isinstance(grant, _grant.Grant) for grant in grants)
    waiting = []
    try:
        for queued in range(5):
            decision = balancer.preview(pending(), route)
            assert (decision.pick, decision.rejection) == (None, None)
            assert decision.ahead == queued == balancer.queue_length
            waiting.append(gevent.spawn(balancer.acquire, pending(), route))
            gevent.sleep(0)
        assert decision.behind
    finally:
        gevent.killall(waiting)
