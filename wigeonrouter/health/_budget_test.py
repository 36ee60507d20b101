"""Guards against probes beyond the fleet-wide budget."""

import dataclasses
import random

import pytest

from wigeonrouter import core
from wigeonrouter.health import _budget

_RATE = 2.0
_REGIONS = ("r0", "r1", "r2")


def _service(scope="region"):
    servers = tuple(
        core.BackendServer(
            name=f"s{number}",
            address=core.Address(host="127.0.0.1", port=1000 + number),
            place=core.Place(
                region=f"r{number % 3}",
                failure_domain=f"r{number % 3}-{number % 2}",
            ),
        )
        for number in range(6)
    )
    return core.EffectiveService(
        name="/s",
        match=core.MatchSettings(),
        servers=servers,
        routing=core.RoutingSettings(entry_scope=scope),
        health=core.HealthSettings(probes_per_second=_RATE),
    )


@pytest.mark.parametrize("scope", ["region", "failure-domain"])
def test_the_parts_of_all_areas_add_up_to_the_budget(scope):
    service = _service(scope)
    places = {server.place for server in service.servers}
    if scope == "region":
        places = {
            core.Place(region=region, failure_domain="x")
            for region in _REGIONS
        }
    total = sum(
        _budget.area_rate(service=service, place=place) for place in places
    )
    assert total == pytest.approx(_RATE)


def test_an_area_without_servers_has_no_part():
    place = core.Place(region="elsewhere", failure_domain="x")
    assert _budget.area_rate(service=_service(), place=place) == 0.0


@pytest.mark.parametrize("seed", range(20))
def test_daemons_that_come_go_pause_and_disagree_stay_in_budget(seed):
    """Two daemons whose views differ for up to 5 s, with pauses."""
    rng = random.Random(seed)
    shares = {name: _budget.new_share(now=0.0) for name in "ab"}
    views = {name: "a" for name in "ab"}
    true_owner, changed, spent, step = "a", 0.0, [], 0.1
    paused = {name: 0.0 for name in "ab"}
    for tick in range(3000):
        now = tick * step
        if rng.random() < 0.01 and now - changed > 6:
            true_owner, changed = rng.choice("ab"), now
        for name in "ab":
            if rng.random() < 0.002:
                paused[name] = now + rng.uniform(0, 20)
            if now < paused[name]:
                continue
            if now - changed > 5 or rng.random() < 0.05:
                views[name] = true_owner
            share = _budget.refill(
                share=shares[name],
                rate=_RATE,
                owner=views[name],
                daemon_id=name,
                now=now,
            )
            after = _budget.spend(share)
            if after is not None:
                spent.append(now)
                share = after
            shares[name] = share
    for start in spent:
        window = [t for t in spent if start <= t < start + 10]
        assert len(window) <= _RATE * 10 + 1


def test_without_the_hold_off_the_budget_would_be_exceeded():
    """Shows that the hold-off is what keeps two owners apart."""
    both = 0
    for name in "ab":
        share = dataclasses.replace(
            _budget.new_share(now=0.0), owner=name, blocked_until=0.0
        )
        for tick in range(10):
            share = _budget.refill(
                share=share,
                rate=_RATE,
                owner=name,
                daemon_id=name,
                now=tick * 0.5,
            )
            after = _budget.spend(share)
            both += after is not None
            share = after or share
    assert both > _RATE * 5
