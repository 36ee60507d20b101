"""Tests of the lookup of API keys."""

import pytest

from wigeonrouter import tenancy
from wigeonrouter import topology


@pytest.fixture
def table():
    """Return the KeyTable of two tenants, one of which has two keys."""
    return tenancy.KeyTable(
        [
            topology.Tenant(name="acme", api_keys=("key-a", "key-b")),
            topology.Tenant(name="zeta", api_keys=("key-c",)),
        ]
    )


@pytest.mark.parametrize(
    ("key", "name"), [("key-a", "acme"), ("key-b", "acme"), ("key-c", "zeta")]
)
def test_each_key_has_its_tenant(table, key, name):
    """Guards against the requests of one tenant that count for another."""
    assert table.find(key).name == name


@pytest.mark.parametrize(
    "key", ["", "key-", "key-aa", "KEY-A", " key-a", "key-a\x00", "\ud800"]
)
def test_other_text_is_no_key(table, key):
    """Guards against a key that is found by a part or another form of it."""
    assert table.find(key) is None


def test_empty_key_is_never_held():
    """Guards against requests without a key that belong to a tenant."""
    table = tenancy.KeyTable([topology.Tenant(name="acme", api_keys=("",))])
    assert table.find("") is None


def test_table_holds_no_key_in_clear(table):
    """Guards against keys in a dump of the table's state."""
    assert "key-a" not in repr(vars(table))
