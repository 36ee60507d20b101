"""Guards against kept rankings that name daemons which are gone."""

import dataclasses
import random

from hypothesis import given
from hypothesis import strategies

from wigeonrouter import core
from wigeonrouter import entries
from wigeonrouter.entries import _planner

_MAX_RANKINGS = 3


def _member(number):
    address = core.Address(host="127.0.0.1", port=1000 + number)
    return core.Member(
        daemon_id=f"d{number}",
        incarnation=1,
        state=core.MemberState.ALIVE,
        place=core.Place(region=f"r{number % 2}", failure_domain="f"),
        caller_address=address,
        admin_address=address,
        peer_address=address,
    )


def _service(number, homes):
    return core.EffectiveService(
        name=f"/s{number}",
        match=core.MatchSettings(),
        routing=core.RoutingSettings(homes=homes),
    )


@given(
    queries=strategies.lists(
        strategies.tuples(
            strategies.integers(0, 3),
            strategies.integers(1, 2),
            strategies.integers(0, 2),
            strategies.sets(strategies.integers(0, 7)),
            strategies.integers(0, 1),
        ),
        max_size=30,
    )
)
def test_each_answer_equals_one_that_is_worked_out_anew(queries):
    planner = entries.EntryPlanner(max_rankings=_MAX_RANKINGS)
    for number, homes, region, present, instance in queries:
        query = {
            "service": _service(number, homes),
            "place": core.Place(region=f"r{region}", failure_domain="f"),
            "members": tuple(
                dataclasses.replace(_member(n), instance=instance)
                for n in sorted(present)
            ),
        }
        kept = planner.choose(**query, rng=random.Random(1))
        anew = entries.choose_entries(**query, rng=random.Random(1))
        assert kept == anew
        assert len(planner) <= _MAX_RANKINGS


def test_a_query_without_service_keeps_nothing():
    planner = entries.EntryPlanner()
    assert planner.choose(
        service=None,
        place=core.Place(region="r0", failure_domain="f"),
        members=(_member(0),),
        rng=random.Random(1),
    )
    assert len(planner) == 0
    assert _planner.MAX_RANKINGS > 1700
