"""Guards against cached rankings with daemons that are no longer alive."""

import dataclasses
import random

from hypothesis import given
from hypothesis import strategies

from wigeonrouter import core
from wigeonrouter import entries
from wigeonrouter.entries import _ranking_cache

_MAX_CACHED_RANKINGS = 3


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
def test_each_result_equals_an_uncached_one(queries):
    cache = entries.EntryRankingCache(max_cached_rankings=_MAX_CACHED_RANKINGS)
    for number, homes, region, member_numbers, instance in queries:
        query = {
            "service": _service(number, homes),
            "place": core.Place(region=f"r{region}", failure_domain="f"),
            "members": tuple(
                dataclasses.replace(_member(n), instance=instance)
                for n in sorted(member_numbers)
            ),
        }
        cached = cache.choose(**query, rng=random.Random(1))
        uncached = entries.choose_entries(**query, rng=random.Random(1))
        assert cached == uncached
        assert len(cache) <= _MAX_CACHED_RANKINGS


def test_a_query_without_service_caches_nothing():
    cache = entries.EntryRankingCache()
    assert cache.choose(
        service=None,
        place=core.Place(region="r0", failure_domain="f"),
        members=(_member(0),),
        rng=random.Random(1),
    )
    assert len(cache) == 0
    # The rankings of all 1,700 services of a deployment have to fit.
    assert _ranking_cache.MAX_CACHED_RANKINGS > 1700
