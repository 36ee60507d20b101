"""Tests of what a node does with its tokens."""

import pytest

from wigeonrouter import tenancy

WINDOW_S = 5.0
ACME = "acme"


@pytest.fixture
def wallet():
    """Return a wallet without tokens."""
    return tenancy.Wallet(window=WINDOW_S)


def _receive(wallet, count, *, ordered_at=0.0, now=None, **changes):
    grant = tenancy.TenantGrant(
        tenant=ACME, granted=count, total=count, **changes
    )
    wallet.on_grant(
        grant, ordered_at=ordered_at, now=ordered_at if now is None else now
    )


def _orders(wallet, now):
    return {order.tenant: order for order in wallet.orders(now)}


def test_token_expires_from_the_time_of_the_order(wallet):
    """Guards against tokens that a suspended node spends when it resumes."""
    _receive(wallet, 2, ordered_at=0.0, now=1.0)
    assert wallet.take(ACME, 1.4) is not None
    assert wallet.take(ACME, 1.5) is None


def test_grant_that_arrives_too_late_is_not_used(wallet):
    """Guards against tokens of a grant that a paused link held back."""
    _receive(wallet, 2, ordered_at=0.0, now=1.6)
    assert wallet.take(ACME, 1.6) is None


def test_token_of_an_unsent_request_is_used_again(wallet):
    """Guards against tokens lost to requests that were never sent."""
    _receive(wallet, 1)
    token = wallet.take(ACME, 0.1)
    wallet.give_back(token, 0.2)
    again = wallet.take(ACME, 0.3)
    assert again.expires == token.expires
    assert wallet.take(ACME, 0.3) is None


def test_each_token_is_reported_once(wallet):
    """Guards against a request whose end frees capacity twice."""
    _receive(wallet, 3)
    sent, unsent = wallet.take(ACME, 0.1), wallet.take(ACME, 0.1)
    wallet.on_sent(sent, 0.1)
    wallet.on_spent(sent, 0.2)
    wallet.give_back(unsent, 1.6)
    order = _orders(wallet, 1.6)[ACME]
    # One token has expired in the wallet, one in the hands of a request.
    assert (order.spent, order.returned) == (1, 2)
    later = _orders(wallet, 1.7).get(ACME)
    assert later is None or (later.spent, later.returned) == (0, 0)


def test_token_is_not_reported_when_the_hub_may_have_forgotten_it(wallet):
    """Guards against a report that is taken for a newer token."""
    _receive(wallet, 1)
    token = wallet.take(ACME, 0.1)
    wallet.on_spent(token, 6.0)
    assert not any(order.spent for order in wallet.orders(6.0))


def test_order_covers_the_expected_demand(wallet):
    """Guards against requests that wait for a token in the usual case."""
    for number in range(200):
        wallet.on_arrival(ACME, number / 100)
    wanted = _orders(wallet, 2.0)[ACME].wanted
    assert 45 <= wanted <= 65


def test_order_is_not_repeated_before_its_response(wallet):
    """Guards against orders for the same demand, at every arrival."""
    wallet.on_arrival(ACME, 0.0)
    assert _orders(wallet, 0.0)[ACME].wanted == 1
    wallet.on_arrival(ACME, 0.01)
    assert not wallet.orders(0.01)


def test_lost_grant_is_ordered_again(wallet):
    """Guards against a tenant without tokens for good."""
    wallet.on_arrival(ACME, 0.0)
    wallet.orders(0.0)
    wallet.on_arrival(ACME, 0.6)
    assert _orders(wallet, 0.6)[ACME].wanted >= 1


def test_surplus_is_returned_when_the_demand_ends(wallet):
    """Guards against tokens that a node keeps from the others."""
    _receive(wallet, 50)
    assert _orders(wallet, 0.1)[ACME].returned == 50
    assert wallet.take(ACME, 0.2) is None


def test_refusal_stops_orders_for_a_short_time(wallet):
    """Guards against a message for each request beyond the limit."""
    _receive(wallet, 0, retry_after=3.0)
    wallet.on_arrival(ACME, 0.1)
    assert wallet.is_refused(ACME, 0.1)
    assert not wallet.orders(0.1)
    assert wallet.time_to_token(ACME, 1.0) == pytest.approx(2.0)
    # Others may have returned tokens.
    wallet.on_arrival(ACME, 0.3)
    assert _orders(wallet, 0.3)[ACME].wanted == 1


def test_new_hub_learns_of_sends_and_totals(wallet):
    """Guards against requests that no hub counts after a change."""
    _receive(wallet, 3)
    sent, held = wallet.take(ACME, 0.1), wallet.take(ACME, 0.1)
    wallet.on_sent(sent, 0.1)
    wallet.on_spent(sent, 0.2)
    (order,) = wallet.join(1.1)
    assert sum(count for _, count in order.history.sends) == 1
    assert order.history.held == 1
    assert (order.history.told, order.history.told_age) == (3, 1.1)
    # The tokens of the lost hub are given up.
    assert wallet.take(ACME, 1.1) is None
    # The end of the request that holds one concerns the lost ledger.
    wallet.on_spent(held, 1.2)
    assert not any(order.spent for order in wallet.orders(1.2))


def test_lowered_limit_takes_the_tokens_back(wallet):
    """Guards against tokens of a limit that is no longer in force."""
    _receive(wallet, 5)
    wallet.discard(ACME, 0.1)
    assert wallet.take(ACME, 0.1) is None
    assert _orders(wallet, 0.1)[ACME].returned == 5


def test_idle_tenants_are_forgotten(wallet):
    """Guards against memory that grows with the tenants of all time."""
    for number in range(300):
        wallet.on_arrival(f"tenant-{number}", 0.0)
    for step in range(200):
        wallet.orders(step / 5)
    assert wallet.tenant_count == 0
