"""Replays servers that drop what they cannot queue."""

import dataclasses

import pytest

from wigeonrouter import placement

LOST = placement.AttemptOutcome.RESPONSE_LOST
EXPECTED_S = 0.1


def _is_full_loss(view, now, **changes):
    return placement.is_full_loss(
        view,
        **{
            "outcome": LOST,
            "disconnected": True,
            "timed_out": False,
            "latency": 0.002,
            "expected_latency": EXPECTED_S,
            "now": now,
        }
        | changes,
    )


@pytest.mark.parametrize(
    "in_flight, running, changes, full",
    [
        (3, 0, {}, True),
        # Requests of other nodes.
        (1, 2, {}, True),
        # It has no other requests, so it has no reason to be full.
        (1, 0, {}, False),
        # It ended under the requests that it was running.
        (3, 0, {"latency": EXPECTED_S}, False),
        (3, 0, {"outcome": placement.AttemptOutcome.FAILED}, False),
        (3, 0, {"disconnected": False}, False),
        # Without a response, although it has responded to others since.
        (
            3,
            0,
            {"disconnected": False, "timed_out": True, "latency": 0.5},
            True,
        ),
        # It has stood still for all that time.
        (
            3,
            0,
            {"disconnected": False, "timed_out": True, "latency": 0.1},
            False,
        ),
    ],
)
def test_loss_by_a_busy_server_counts_as_full(
    make_view, now, in_flight, running, changes, full
):
    """Guards against ejecting full servers, and against keeping faulty ones.

    The server has responded to another request 0.2 s ago.
    """
    view = make_view(
        "a",
        running=running,
        in_flight=in_flight,
        slots=4,
        responded_at=now - 0.2,
    )
    assert _is_full_loss(view, now, **changes) == full


def test_repeated_losses_lower_the_load_without_an_ejection(make_view, now):
    """Guards against losing all capacity when all servers are full."""
    view = make_view("a", in_flight=4, slots=4)
    limits = []
    for _ in range(3):
        view = dataclasses.replace(
            placement.after_full_loss(view, now=now), in_flight=4
        )
        limits.append(placement.load_limit(view, now))
    assert limits == pytest.approx([2.8, 1.96, 1.372])
    assert placement.is_available(view, now)
    assert placement.load_limit(view, now + 1.0) == pytest.approx(2.372)
    assert placement.load_limit(view, now + 60.0) == 4


def test_faulty_server_is_ejected_in_the_end(make_view, now):
    """Guards against a server that drops all requests and keeps getting some.

    It always has free slots, since its requests end at once.
    """
    view, sent = make_view("a", slots=4), 0
    while placement.is_available(view, now):
        sent += 1
        assert sent < 12
        limit = placement.load_limit(view, now)
        view = dataclasses.replace(view, in_flight=max(1, int(limit)))
        view = dataclasses.replace(view, report=None)
        if _is_full_loss(view, now):
            view = placement.after_full_loss(view, now=now)
        else:
            view = placement.after_attempt(view, outcome=LOST, now=now)


def test_writes_avoid_servers_whose_load_is_not_known(
    make_view, make_request, now
):
    """Guards against writes with an unknown outcome at a full server."""
    fresh = make_view("fresh", running=1, slots=4, age=0.02)
    old = make_view("old", slots=4, age=0.25)
    dropped = make_view(
        "dropped", slots=4, age=1.0, load_limit=0.0, load_limit_at=now - 0.2
    )

    def choose(*views, idempotent):
        return placement.choose(
            list(views),
            request=make_request(idempotent=idempotent),
            service_time=EXPECTED_S,
            mean_slowdown=1.0,
            now=now,
            utilization=0.2,
        ).view.instance

    assert choose(fresh, old, dropped, idempotent=False) == "fresh"
    assert choose(old, dropped, idempotent=False) == "old"
    assert choose(old, idempotent=False) == "old"
    assert len({choose(fresh, old, idempotent=i) for i in (True, False)}) == 1
