"""Tests of configurations that are rejected as a whole."""

import json

import pytest

from wigeonrouter import topology
from wigeonrouter.platform import _fields
from wigeonrouter.platform import _store_values
from wigeonrouter.platform import conftest

_READ = conftest.configuration()["routes"]["r-read"]


def _decode(**changes):
    document = conftest.configuration(**changes)
    return _store_values.decode_configuration(json.dumps(document).encode())


def _tenant(*keys, **changes):
    return {"api_keys": list(keys), "priority": 1, **changes}


@pytest.mark.parametrize(
    "route",
    [
        {"service": "gamma"},
        {"max_attempts": 0},
        {"traffic_split": [{"service": "alpha", "weight": 0}]},
        {"prefix": "/new"},
        {"prefix": "new/"},
        {"prefix": "/read/"},
        {"prefix": "/read/", "host": conftest.HOST.upper()},
    ],
)
def test_configuration_with_an_unusable_route_is_rejected(route):
    """Guards against a part of a configuration in force without the rest."""
    with pytest.raises(_fields.FieldError, match="r-new|max_attempts"):
        _decode(routes={"r-new": {**_READ, "prefix": "/new/", **route}})


@pytest.mark.parametrize(
    "route", [{"target_latency": "1001ms"}, {"host": "other.example"}]
)
def test_route_at_the_limit_is_accepted(route):
    """Guards against checks that reject what the platform allows."""
    _decode(routes={"r-new": {**_READ, "prefix": "/new/", **route}})


def test_key_of_two_tenants_is_rejected_and_not_named():
    """Guards against a request that counts for either tenant.

    The error is logged, so it must not contain the key.
    """
    with pytest.raises(_fields.FieldError) as caught:
        _decode(
            tenants={"acme": _tenant("k-1"), "zeta": _tenant("k-2", "k-1")}
        )
    assert "k-1" not in str(caught.value)
    assert "zeta" in str(caught.value)


def test_key_that_a_tenant_lists_twice_is_accepted():
    """Guards against a check that takes a tenant for another one."""
    tenants = _decode(tenants={"acme": _tenant("k-1", "k-1")}).tenants
    assert tenants["acme"].api_keys == ("k-1", "k-1")


@pytest.mark.parametrize("name", ["", " acme", "a\r\nKey: k", "acm\u00e9"])
def test_tenant_whose_name_fits_no_header_is_rejected(name):
    """Guards against a name that changes the request it is sent in."""
    with pytest.raises(_fields.FieldError):
        _decode(tenants={name: _tenant("k-1")})


@pytest.mark.parametrize(
    ("changes", "authentication"),
    [
        ({}, topology.Authentication.OPEN),
        ({"tenants": None}, topology.Authentication.OPEN),
        ({"tenants": {}}, topology.Authentication.KEYED),
        ({"tenants": {"acme": {}}}, topology.Authentication.KEYED),
        ({"tenants": {"acme": _tenant()}}, topology.Authentication.KEYED),
    ],
)
def test_table_without_keys_still_requires_keys(changes, authentication):
    """Guards against authentication that ends with the last customer."""
    assert _decode(**changes).authentication is authentication


@pytest.mark.parametrize("tenants", [None, {}])
def test_configuration_without_tenants_stays_readable(tenants):
    """Guards against deployments without tenants that lose their routes."""
    assert _decode().tenants == _decode(tenants=tenants).tenants == {}


@pytest.mark.parametrize("end", [1, 40, -1])
def test_cut_configuration_is_rejected(end):
    """Guards against a configuration that was written in part."""
    value = json.dumps(conftest.configuration()).encode()[:end]
    with pytest.raises(_fields.FieldError):
        _store_values.decode_configuration(value)
