"""Guards against a probe rate above the fleet-wide budget."""

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
def test_scope_rates_sum_to_the_service_budget(scope):
    service = _service(scope)
    places = {server.place for server in service.servers}
    if scope == "region":
        places = {
            core.Place(region=region, failure_domain="x")
            for region in _REGIONS
        }
    total = sum(
        _budget.scope_rate(service=service, place=place) for place in places
    )
    assert total == pytest.approx(_RATE)


def test_scope_without_servers_has_zero_rate():
    place = core.Place(region="elsewhere", failure_domain="x")
    assert _budget.scope_rate(service=_service(), place=place) == 0.0


@pytest.mark.parametrize("seed", range(20))
def test_probe_budget_holds_across_owner_changes_pauses_and_stale_views(seed):
    """Two daemons disagree on the owner for up to 5 s, and pause at times."""
    rng = random.Random(seed)
    buckets = {name: _budget.new_token_bucket(now=0.0) for name in "ab"}
    views = {name: "a" for name in "ab"}
    true_owner, changed, probe_times, step = "a", 0.0, [], 0.1
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
            bucket = _budget.refill(
                bucket=buckets[name],
                rate=_RATE,
                owner=views[name],
                daemon_id=name,
                now=now,
            )
            taken = _budget.take_token(bucket)
            if taken is not None:
                probe_times.append(now)
                bucket = taken
            buckets[name] = bucket
    for start in probe_times:
        window = [t for t in probe_times if start <= t < start + 10]
        assert len(window) <= _RATE * 10 + 1


def test_budget_is_exceeded_without_the_hold_off():
    """Without it, two daemons that both see themselves as owner add up."""
    probes_sent = 0
    for name in "ab":
        bucket = dataclasses.replace(
            _budget.new_token_bucket(now=0.0), owner=name, blocked_until=0.0
        )
        for tick in range(10):
            bucket = _budget.refill(
                bucket=bucket,
                rate=_RATE,
                owner=name,
                daemon_id=name,
                now=tick * 0.5,
            )
            taken = _budget.take_token(bucket)
            probes_sent += taken is not None
            bucket = taken or bucket
    assert probes_sent > _RATE * 5
