"""Tests of which levels of grant bounds a hub stores."""

import pytest

from wigeonrouter import tenancy

QUOTA = 100


LEDGER = 7
EARLIER_LEDGER = 3


def _stored(revision, general=100, ledger=LEDGER, starts=0, **levels):
    return tenancy.StoredLevels(
        revision=revision,
        ledger=ledger,
        starts=starts,
        general=general,
        levels=levels,
    )


@pytest.fixture
def keeper():
    """Return the LevelKeeper of a hub that has read the store."""
    keeper = tenancy.LevelKeeper()
    keeper.on_copied(_stored(5, ledger=EARLIER_LEDGER, acme=200), 1)
    keeper.start(0.0, LEDGER)
    keeper.on_read()
    return keeper


def _level(keeper, tenant="acme"):
    return keeper.levels(tenant, quota=QUOTA, rate=9.0).level


def _prior(keeper, tenant="acme"):
    return keeper.levels(tenant, quota=QUOTA, rate=9.0).prior


def test_level_is_in_force_when_it_is_stored(keeper):
    """Guards against grants that the next ledger does not know of."""
    keeper.want("acme", 400, 1.0)
    assert (keeper.raise_due, _level(keeper)) == (True, 200)
    proposed = keeper.propose(1.0)
    assert proposed == _stored(5, starts=1, acme=400)
    keeper.on_written(_stored(9, acme=400))
    assert (keeper.raise_due, _level(keeper)) == (False, 400)


def test_own_levels_do_not_change_what_earlier_ledgers_granted(keeper):
    """Guards against a tenant that is refused because it was raised."""
    keeper.on_written(_stored(9, acme=400, other=800))
    assert (_prior(keeper), _prior(keeper, "other")) == (200, 100)


def test_earlier_grants_are_unknown_before_the_store_was_read():
    """Guards against a copy of the store that lacks the last raise."""
    keeper = tenancy.LevelKeeper()
    keeper.on_copied(_stored(5), 1)
    keeper.start(0.0, LEDGER)
    assert _prior(keeper) is None
    keeper.on_copied(_stored(7, acme=640), 1)
    keeper.on_read()
    assert _prior(keeper) == 640


def test_missing_entry_tells_nothing_of_earlier_grants():
    """Guards against a full quota after a loss of all nodes and the entry."""
    keeper = tenancy.LevelKeeper()
    keeper.start(0.0, LEDGER)
    keeper.on_read()
    assert _prior(keeper) is None
    keeper.on_written(_stored(3))
    assert _prior(keeper) is None


def test_first_entry_of_all_shows_that_nothing_was_granted():
    """Guards against refusals at the first start of the system."""
    keeper = tenancy.LevelKeeper()
    keeper.start(0.0, LEDGER)
    keeper.on_read()
    keeper.on_written(_stored(3))
    keeper.on_first_entry()
    assert _prior(keeper) == 0


def test_copy_that_lags_behind_the_own_write_is_ignored(keeper):
    """Guards against levels that fall back until the copy is current."""
    keeper.on_written(_stored(9, acme=400))
    keeper.on_copied(_stored(7, acme=250), 1)
    assert _level(keeper) == 400
    keeper.on_copied(_stored(11, acme=320), 1)
    assert _level(keeper) == 320


def test_levels_that_a_restored_store_lost_are_not_in_force(keeper):
    """Guards against grants beyond the levels that the store has."""
    keeper.on_written(_stored(9, acme=400))
    keeper.on_copied(_stored(6, acme=125), 2)
    assert _level(keeper) == 125


def test_conflict_gives_way_to_the_copy(keeper):
    """Guards against a hub that repeats a write which cannot succeed."""
    keeper.on_written(_stored(9, acme=400))
    keeper.on_copied(_stored(7, acme=250), 1)
    keeper.on_conflict()
    assert _level(keeper) == 250


def test_many_tenants_share_a_general_level(keeper):
    """Guards against an entry that is too large to send to all nodes."""
    for number in range(300):
        keeper.want(f"t{number}", 125 + number % 2 * 35, 1.0)
    proposed = keeper.propose(1.0)
    assert len(proposed.levels) <= 256
    assert all(proposed.of(f"t{number}") >= 125 for number in range(300))
    keeper.on_written(proposed)
    assert keeper.propose(5.0) is None
    later = keeper.propose(20.0)
    assert later.general < proposed.general and later.starts == 0


def test_levels_of_idle_tenants_are_released(keeper):
    """Guards against an entry that only grows."""
    keeper.on_written(_stored(6, acme=200))
    assert keeper.unused({"other"}) == ["acme"]
    keeper.want("acme", tenancy.DEFAULT_LEVEL, 1.0)
    assert not keeper.raise_due
    assert keeper.propose(1.0) == _stored(6, starts=1)


def test_hub_states_how_many_began_a_short_time_ago(keeper):
    """Guards against bursts of several hubs that count as one."""
    assert not keeper.levels("acme", quota=QUOTA, rate=9.0).begun
    keeper.on_written(keeper.propose(1.0))
    assert keeper.levels("acme", quota=QUOTA, rate=9.0).begun
    keeper.start(2.0, LEDGER + 1)
    keeper.on_read()
    assert keeper.levels("acme", quota=QUOTA, rate=9.0).prior_starts == 1
    assert keeper.propose(3.0).starts == 2
    assert keeper.propose(13.0).starts == 0
