"""Guards the lists of eligible servers that are updated in place."""

import random

from wigeonrouter import core
from wigeonrouter import dispatch
from wigeonrouter import health

_SEED = 5
_STEPS = 2000
_NORTH = core.Place(region="north", failure_domain="north-a")
_SOUTH = core.Place(region="south", failure_domain="south-a")


def test_lists_always_show_the_present_views():
    """A stale view would be granted beyond its slots, or while it leaves."""
    rng, now, held = random.Random(_SEED), [100.0], []
    servers = tuple(
        core.BackendServer(
            name=f"b{number}",
            address=core.Address(host="127.0.0.1", port=number + 1),
            place=_NORTH if number < 4 else _SOUTH,
        )
        for number in range(6)
    )
    dispatcher = dispatch.Dispatcher(
        service=core.EffectiveService(
            name="/s", match=core.MatchSettings(), servers=servers
        ),
        place=_NORTH,
        rng=rng,
        clock=lambda: now[0],
        call_later=lambda *_: None,
    )
    for _ in range(_STEPS):
        now[0] += rng.choice((0.001, 0.001, 0.3))
        if held and rng.random() < 0.5:
            grant = held.pop(rng.randrange(len(held)))
            dispatcher.release(grant, _random_result(rng, now[0]))
        else:
            grant = dispatcher.submit(
                _request(rng, now[0]), deliver=held.append
            )
            if isinstance(grant, core.Grant):
                held.append(grant)
        held[:] = [each for each in held if isinstance(each, core.Grant)]
        dispatcher.advance()
        _check(dispatcher)


def _request(rng, now):
    kind = core.TrafficKind(name="k", idempotent=rng.random() < 0.5)
    return core.DispatchRequest(kind=kind, tenant="t", deadline=now + 5)


def _random_result(rng, now):
    return core.AttemptResult(
        outcome=rng.choice((core.Outcome.OK, *core.Outcome)),
        latency=0.002,
        refused=rng.random() < 0.05,
        report=core.LoadReport(
            in_flight=0,
            slots=2,
            draining=rng.random() < 0.002,
            received=now,
            own_in_flight=0,
        ),
    )


def _check(dispatcher):
    eligible = [
        view
        for view in dispatcher.views
        if health.may_get_work(view=view, draining=frozenset())
    ]
    assert dispatcher._eligible == eligible
    assert dispatcher._local == [
        view for view in eligible if view.server.place == _NORTH
    ]
    assert dispatcher._some_unproved == any(map(health.is_unproved, eligible))
