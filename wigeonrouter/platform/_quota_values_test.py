"""Tests of the store entries with which regions share quotas."""

import pytest

from wigeonrouter import store
from wigeonrouter import tenancy
from wigeonrouter import topology
from wigeonrouter.platform import _feed
from wigeonrouter.platform import _quota_values


def _decode(key, value):
    feed = _feed.StoreFeed(client=None, regions={})
    content = feed.decode(
        [store.Item(key=key, value=value, version=4)],
        scope=topology.ContentScope.CHANGES,
    )
    return content.records


def test_shares_come_back_as_written():
    """Guards against shares that regions read differently."""
    parts = {"acme": {"north": 80, "south": 760}}
    value = _quota_values.encode_shares(parts, ("north", "south"))
    (record,) = _decode("wigeonrouter/quota/shares", value)
    assert (record.parts, record.revision) == (parts, 4)


def test_demand_comes_back_as_written():
    """Guards against demand that no region gets."""
    value = _quota_values.encode_demand({"acme": 64})
    (record,) = _decode("wigeonrouter/quota/demand/north", value)
    assert (record.region, record.missing) == ("north", {"acme": 64})


@pytest.mark.parametrize(
    "value",
    [
        None,
        b"",
        b"[1]",
        b"\xff",
        b'{"regions":["a"],"tenants":{"acme":[841]}}',
        b'{"regions":["a"],"tenants":{"acme":[-1]}}',
        b'{"regions":["a"],"tenants":{"acme":[1,2]}}',
        b'{"regions":["a"],"tenants":{"acme":7}}',
        b'{"regions":["a"],"tenants":[1]}',
    ],
)
def test_unreadable_shares_are_equal_shares(value):
    """Guards against a spoiled entry that ends replication or adds quota."""
    (record,) = _decode("wigeonrouter/quota/shares", value)
    assert record.parts == {}


@pytest.mark.parametrize("value", [None, b"[]", b'{"acme":"x"}'])
def test_unreadable_demand_is_none(value):
    """Guards against a spoiled entry that ends replication."""
    (record,) = _decode("wigeonrouter/quota/demand/north", value)
    assert record.missing == {}


def test_other_keys_below_the_prefix_are_ignored():
    """Guards against entries of later builds that stop this one."""
    assert _decode("wigeonrouter/quota/other", b"x") == ()


def test_levels_come_back_as_written():
    """Guards against a hub that grants what the next one does not know of."""
    levels = tenancy.StoredLevels(
        revision=9, ledger=7, starts=1, general=125, levels={"acme": 400}
    )
    value = _quota_values.encode_levels(levels)
    (record,) = _decode("wigeonrouter/quota/levels/north", value)
    assert (record.region, record.revision) == ("north", 4)
    assert (record.ledger, record.starts, record.general) == (7, 1, 125)
    assert record.levels == {"acme": 400}


@pytest.mark.parametrize(
    "value", [b"", b"[1]", b"{}", b'{"tenants":{"a":-1}}']
)
def test_levels_that_cannot_be_read_allow_any_grant(value):
    """Guards against a quota that is granted again after a loss of all."""
    (record,) = _decode("wigeonrouter/quota/levels/north", value)
    assert record.general == tenancy.UNLIMITED_LEVEL


def test_removed_levels_are_no_entry():
    """Guards against levels that count after the entry was removed."""
    (record,) = _decode("wigeonrouter/quota/levels/north", None)
    assert record.general == 0
