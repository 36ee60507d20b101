"""Tests of the tokens that a hub may grant."""

import pytest

from wigeonrouter import tenancy
from wigeonrouter import topology

WINDOW_S = 5.0
NUMBER = 7
CAPACITY = 100
_REGIONS = ("north", "south", "west")


def _rules(region, *, slack=20.0):
    return tenancy.QuotaRules(
        window=WINDOW_S,
        overage=0.1,
        slack=slack,
        regions=_REGIONS,
        region=region,
    )


def _tenant(rate, burst, name="acme"):
    return topology.Tenant(name=name, api_keys=(), rate=rate, burst=burst)


def _levels(**changes):
    return tenancy.GrantLevels(
        **{
            "quota": CAPACITY,
            "rate": 10.0,
            "level": 100,
            "begun": True,
            "prior": 100,
            "prior_ledger": 3,
        }
        | changes
    )


@pytest.fixture
def ledger():
    """Return a ledger that begins at the first start of the system."""
    ledger = tenancy.RegionLedger(window=WINDOW_S, number=NUMBER, now=0.0)
    first = _levels(level=tenancy.UNLIMITED_LEVEL, prior=0)
    ledger.grant("acme", wanted=0, capacity=CAPACITY, now=0.0, levels=first)
    return ledger


def _grant(ledger, wanted, now, capacity=CAPACITY):
    return ledger.grant(
        "acme", wanted=wanted, capacity=capacity, now=now
    ).granted


def _fill(ledger, now):
    """Grant the whole capacity; return the time at which that was done."""
    while ledger.total("acme", now) < CAPACITY:
        _grant(ledger, CAPACITY, now)
        now += 0.05
    return now


@pytest.mark.parametrize(
    ("rate", "burst", "slack"),
    [(0.1, 0, 0.0), (1, 0, 20.0), (40, 10, 20.0), (7.3, 1, 3.0), (0, 2, 0)],
)
def test_shares_of_the_regions_and_their_reserves_keep_to_the_limit(
    rate, burst, slack
):
    """Guards against regions that together exceed the limit by rounding."""
    tenant = _tenant(rate, burst)
    rules = [_rules(region, slack=slack) for region in _REGIONS]
    capacity = sum(rule.capacity(tenant) for rule in rules)
    reserve = sum(rule.reserve(tenant) for rule in rules)
    assert capacity + reserve <= (rate * 5 + burst) * 1.1 + slack
    assert capacity >= int(rate * 5 + burst)


def test_unsettled_tokens_count_until_their_requests_leave_the_window(ledger):
    """Guards against tokens whose node is cut off, or its grant lost."""
    full = _fill(ledger, 0.0)
    assert _grant(ledger, 1, full) == 0
    last_sent = full + tenancy.TOKEN_LIFETIME_S
    first_free = tenancy.TOKEN_LIFETIME_S + WINDOW_S
    assert _grant(ledger, 1, first_free - 0.01) == 0
    assert ledger.total("acme", last_sent + WINDOW_S + 0.1) == 0


def test_spent_tokens_count_for_one_window_from_their_report(ledger):
    """Guards against a rate below the limit, by counting the lifetime too."""
    now = _fill(ledger, 0.0)
    ledger.settle("acme", spent=CAPACITY, returned=0, now=now)
    assert _grant(ledger, 1, now + WINDOW_S - 0.01) == 0
    assert _grant(ledger, 1, now + WINDOW_S + 0.1) == 1


def test_returned_tokens_can_be_granted_at_once(ledger):
    """Guards against a tenant that is refused while tokens are unused."""
    now = _fill(ledger, 0.0)
    ledger.settle("acme", spent=0, returned=5, now=now)
    assert _grant(ledger, 10, now) == 5


def test_more_returns_than_grants_free_no_capacity(ledger):
    """Guards against a return that is received twice."""
    _grant(ledger, 5, 0.0)
    ledger.settle("acme", spent=3, returned=5, now=0.1)
    assert ledger.total("acme", 0.1) == 0


def test_lowered_limit_holds_for_the_next_grant(ledger):
    """Guards against grants by a limit that is no longer in force."""
    now = _fill(ledger, 0.0)
    ledger.settle("acme", spent=0, returned=50, now=now)
    assert _grant(ledger, 10, now, capacity=40) == 0


def test_ledger_without_reports_counts_a_usual_use():
    """Guards against twice the limit after all nodes that knew have ended."""
    ledger = tenancy.RegionLedger(window=WINDOW_S, number=NUMBER, now=0.0)
    assert _grant(ledger, CAPACITY, 0.0) <= 40
    assert _grant(ledger, CAPACITY, WINDOW_S + 1.0) > 0


def _history(**changes):
    return tenancy.TenantHistory(
        **{"sends": (), "held": 0, "told": 0, "told_age": 9.9} | changes
    )


def test_new_ledger_counts_what_a_node_was_told(ledger):
    """Guards against a forgotten use by the hub that was killed itself."""
    history = _history(told=CAPACITY, told_age=0.5, ledger=3)
    ledger.merge("acme", history, capacity=CAPACITY, now=2.0)
    assert _grant(ledger, 1, 2.0 + WINDOW_S - 0.1) == 0
    assert _grant(ledger, 1, 2.0 + WINDOW_S + 0.1) == 1


@pytest.mark.parametrize(
    ("reported", "expected"), [(3, 0), (4, 74)], ids=["last", "other"]
)
def test_only_reports_of_the_last_ledger_tell_what_was_granted(
    reported, expected
):
    """Guards against a minority's report that stands for the whole region."""
    ledger = tenancy.RegionLedger(window=WINDOW_S, number=NUMBER, now=0.0)
    history = _history(told=1, told_age=0.1, ledger=reported, final=True)
    ledger.merge("acme", history, capacity=CAPACITY, now=0.0, levels=_levels())
    assert ledger.assumed("acme", 0.0) == expected
    assert ledger.total("acme", 0.0) == max(1, expected)


def test_assumed_use_fades_as_its_bound_allows():
    """Guards against tenants of even demand that are refused for a window."""
    ledger = tenancy.RegionLedger(window=WINDOW_S, number=NUMBER, now=0.0)
    ledger.grant(
        "acme", wanted=0, capacity=CAPACITY, now=0.0, levels=_levels()
    )
    assert ledger.assumed("acme", 0.0) == 74
    assert ledger.assumed("acme", WINDOW_S - 0.01) == 37
    assert ledger.assumed("acme", WINDOW_S) == 0


def test_ledgers_that_began_lately_had_a_burst_each():
    """Guards against bursts of several hubs that count as one."""
    ledger = tenancy.RegionLedger(window=WINDOW_S, number=NUMBER, now=0.0)
    levels = _levels(prior_starts=1)
    ledger.grant("acme", wanted=0, capacity=CAPACITY, now=0.0, levels=levels)
    assert ledger.assumed("acme", 0.0) == 99


def test_assumed_use_includes_what_nodes_report_of_it():
    """Guards against requests that count as sent and as assumed."""
    ledger = tenancy.RegionLedger(window=WINDOW_S, number=NUMBER, now=0.0)
    history = _history(sends=((1.0, 30),))
    ledger.merge("acme", history, capacity=CAPACITY, now=0.0, levels=_levels())
    assert ledger.total("acme", 0.0) == 74


def test_reports_are_not_counted_twice(ledger):
    """Guards against requests that the total of a lost hub has as well."""
    history = _history(
        sends=((1.0, 50),), told=CAPACITY, told_age=0.5, ledger=3
    )
    ledger.merge("acme", history, capacity=CAPACITY, now=2.0)
    assert ledger.total("acme", 2.0) == CAPACITY
    # The reported ones have left the window.
    assert ledger.total("acme", 6.5) == CAPACITY - 50


def test_reports_of_long_ago_do_not_reduce_a_later_total(ledger):
    """Guards against a total that lost to requests which it has no more.

    A node reports to a hub, and later another one reports a newer total of
    the same ledger.
    """
    old = _history(sends=((1.0, 50),), told=60, told_age=0.0, ledger=3)
    ledger.merge("acme", old, capacity=CAPACITY, now=2.0)
    new = _history(told=CAPACITY, told_age=0.0, ledger=3)
    ledger.merge("acme", new, capacity=CAPACITY, now=8.0)
    assert ledger.total("acme", 8.0) >= CAPACITY


def test_own_total_is_no_use_of_another_ledger(ledger):
    """Guards against counting a ledger's tokens twice after a reconnect."""
    history = _history(told=CAPACITY, told_age=0.0, ledger=NUMBER)
    ledger.merge("acme", history, capacity=CAPACITY, now=0.0)
    assert ledger.total("acme", 0.0) == 0


def test_refusal_states_when_a_token_is_free(ledger):
    """Guards against a Retry-After that lets callers return in vain."""
    now = _fill(ledger, 0.0)
    refusal = ledger.grant("acme", wanted=1, capacity=CAPACITY, now=now)
    assert _grant(ledger, 1, now + refusal.retry_after + 0.001) == 1


def test_total_grows_by_a_bounded_step(ledger):
    """Guards against a burst that no other node was told of in time."""
    granted = _grant(ledger, CAPACITY, 0.0)
    assert granted <= CAPACITY // 4
    refusal = ledger.grant("acme", wanted=1, capacity=CAPACITY, now=0.1)
    assert refusal.granted == 0
    assert refusal.retry_after <= 0.4
    assert _grant(ledger, CAPACITY, 0.1 + refusal.retry_after) > 0


def test_new_ledger_counts_growth_after_the_last_statement(ledger):
    """Guards against the burst of a hub that was partitioned."""
    history = _history(told=20, told_age=0.2, ledger=3)
    ledger.merge("acme", history, capacity=CAPACITY, now=2.0)
    assert ledger.total("acme", 2.0) == 80


def test_part_of_a_region_counts_what_the_whole_region_used():
    """Guards against a new hub that takes its first few nodes for a limit.

    It has less than the region's capacity until most nodes have joined, but
    the previous hub had the whole.
    """
    ledger = tenancy.RegionLedger(window=WINDOW_S, number=NUMBER, now=0.0)
    grant = ledger.grant(
        "acme",
        wanted=9,
        capacity=3,
        share=CAPACITY,
        now=0.0,
        levels=_levels(),
    )
    assert (grant.granted, grant.total) == (0, 74)


def test_final_total_of_a_hub_that_stepped_down_is_exact(ledger):
    """Guards against tenants below their limit that lose requests then."""
    early = _history(told=30, told_age=0.4, ledger=3)
    final = _history(told=40, told_age=0.0, ledger=3, final=True)
    for history in (early, final, early):
        ledger.merge("acme", history, capacity=CAPACITY, now=2.0)
    assert ledger.total("acme", 2.0) == 40
