"""Tests of the transfer of quotas between regions."""

import pytest

from wigeonrouter import tenancy

_REGIONS = ("north", "south", "west")
QUOTA = 840


@pytest.fixture
def keeper():
    """Return what the region north decides."""
    return tenancy.ShareKeeper(region="north", regions=_REGIONS)


def _demand(region="south", missing=200, revision=5):
    return tenancy.Demand(
        region=region, revision=revision, missing={"acme": missing}
    )


def _usage(tokens):
    return lambda tenant: (tokens, QUOTA) if tenant == "acme" else None


def test_share_is_lowered_before_it_is_given(keeper):
    """Guards against a part of a quota that two regions use."""
    shares = tenancy.Shares(revision=3)
    keeper.plan(shares, [_demand()], _usage(40))
    assert keeper.lowered == {"acme": 80}
    # The ledger still has tokens of the former share.
    assert keeper.write(shares, _usage(81)) is None
    proposed = keeper.write(shares, _usage(80))
    assert proposed.revision == 3
    assert proposed.parts["acme"] == {"north": 80, "south": 480, "west": 280}


def test_lost_reply_keeps_the_share_lowered(keeper):
    """Guards against a share that counts twice after a lost reply."""
    shares = tenancy.Shares(revision=3)
    keeper.plan(shares, [_demand()], _usage(40))
    keeper.on_shares(shares)
    assert keeper.lowered == {"acme": 80}
    # The same write is proposed again, and fails if the first succeeded.
    assert keeper.write(shares, _usage(0)).revision == 3
    keeper.on_shares(tenancy.Shares(revision=4))
    assert keeper.lowered == {}


def test_region_keeps_what_it_uses(keeper):
    """Guards against callers that lose tokens to those of other regions."""
    shares = tenancy.Shares()
    keeper.plan(shares, [_demand(missing=QUOTA)], _usage(160))
    assert keeper.lowered["acme"] * QUOTA // tenancy.PARTS >= 200


def test_statement_of_a_lost_region_takes_shares_once(keeper):
    """Guards against all shares that end up at a region that is lost."""
    keeper.plan(tenancy.Shares(revision=1), [_demand()], _usage(0))
    keeper.on_shares(tenancy.Shares(revision=2))
    keeper.plan(tenancy.Shares(revision=2), [_demand()], _usage(0))
    assert keeper.lowered == {}


def test_own_demand_and_tenants_without_limit_move_nothing(keeper):
    """Guards against transfers to oneself, or of what does not exist."""
    unknown = tenancy.Demand(region="south", revision=1, missing={"x": 9})
    keeper.plan(tenancy.Shares(), [_demand("north"), unknown], _usage(0))
    assert keeper.lowered == {}


def test_rounded_demand_changes_rarely():
    """Guards against a write to the store for each change of the demand."""
    assert {tenancy.round_missing(count) for count in range(129, 257)} == {256}
    assert tenancy.round_missing(0) == 0
