"""Guards against services split over daemons, and entries of dead daemons."""

import dataclasses
import random

import pytest

from wigeonrouter import core
from wigeonrouter import entries

_REGIONS = ("north", "centre", "south")


def _member(number):
    region = _REGIONS[number % 3]
    address = core.Address(host="127.0.0.1", port=1000 + number)
    return core.Member(
        daemon_id=f"d{number}",
        incarnation=1,
        state=core.MemberState.ALIVE,
        place=core.Place(
            region=region, failure_domain=f"{region}-{number // 3 % 2}"
        ),
        caller_address=address,
        admin_address=address,
        peer_address=address,
    )


_MEMBERS = tuple(_member(number) for number in range(18))
_CALLER_PLACE = core.Place(region="north", failure_domain="north-0")


def _service(name="/s", **routing):
    return core.EffectiveService(
        name=name,
        match=core.MatchSettings(),
        routing=core.RoutingSettings(**routing),
    )


def _choose(service, place=_CALLER_PLACE, members=_MEMBERS, seed=1):
    return entries.choose_entries(
        service=service,
        place=place,
        members=members,
        rng=random.Random(seed),
    )


def test_all_callers_of_a_region_get_the_same_home():
    firsts = {
        _choose(
            _service(),
            place=core.Place(region="north", failure_domain=domain),
            members=random.Random(seed).sample(_MEMBERS, len(_MEMBERS)),
            seed=seed,
        )[0].address
        for domain in ("north-0", "north-1")
        for seed in range(20)
    }
    assert len(firsts) == 1


def test_the_second_entry_becomes_the_home_when_the_first_fails():
    first, second = _choose(_service())[:2]
    remaining = [m for m in _MEMBERS if m.caller_address != first.address]
    assert _choose(_service(), members=remaining)[0].address == second.address


@pytest.mark.parametrize("scope", ["region", "failure-domain"])
def test_homes_are_in_the_callers_scope(scope):
    service = _service(entry_scope=scope, homes=2)
    homes = [entry for entry in _choose(service) if entry.home]
    assert len(homes) == 2
    assert all(entry.place.region == "north" for entry in homes)
    if scope == "failure-domain":
        assert all(entry.place == _CALLER_PLACE for entry in homes)
    else:
        distances = [entry.place != _CALLER_PLACE for entry in homes]
        assert distances == sorted(distances)


def test_entries_include_every_region():
    """Guards against a caller that loses all its entries with its region."""
    chosen = _choose(_service())
    assert {entry.place.region for entry in chosen} == set(_REGIONS)


def test_a_region_without_daemons_gets_entries_of_others():
    remaining = [m for m in _MEMBERS if m.place.region != "north"]
    assert _choose(_service(), members=remaining)
    assert not _choose(_service(), members=())


def test_without_a_service_the_callers_failure_domain_comes_first():
    firsts = {_choose(None, seed=seed)[0] for seed in range(30)}
    assert all(entry.place == _CALLER_PLACE for entry in firsts)
    assert len(firsts) == 3


def test_homes_are_spread_over_the_daemons_of_a_region():
    counts = {}
    for number in range(600):
        first = _choose(_service(f"/service-{number}"))[0].address
        counts[first] = counts.get(first, 0) + 1
    assert len(counts) == 6
    assert max(counts.values()) < 2 * 600 / 6


def test_the_loss_of_a_daemon_moves_only_its_own_services():
    lost = _MEMBERS[0]
    remaining = _MEMBERS[1:]
    for number in range(200):
        service = _service(f"/service-{number}")
        before = _choose(service)[0].address
        after = _choose(service, members=remaining)[0].address
        assert after == before or before == lost.caller_address


def test_a_refuted_suspicion_keeps_the_request_id_prefix():
    member = _MEMBERS[0]
    refuted = dataclasses.replace(member, incarnation=member.incarnation + 1)
    restarted = dataclasses.replace(member, instance=member.instance + 1)
    prefix = entries.request_id_prefix(member)
    assert entries.request_id_prefix(refuted) == prefix
    assert entries.request_id_prefix(restarted) != prefix
