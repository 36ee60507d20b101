"""Tests of what a node does with keys by the state of its configuration."""

import types

import pytest

from wigeonrouter import core
from wigeonrouter import topology
from wigeonrouter.node import _authenticator
from wigeonrouter.node import messages

_ROUTE = types.SimpleNamespace(name="r-read", public=False)
_CONTEXT = types.SimpleNamespace(tenant=None)


def _authenticator_of(configuration):
    return _authenticator.Authenticator(
        cluster_state=types.SimpleNamespace(configuration=configuration)
    )


def _configuration(authentication):
    return topology.Configuration(
        version=1,
        routes=(),
        services={},
        limits=topology.CallerLimits(),
        authentication=authentication,
    )


@pytest.mark.parametrize("api_key", ["", "k-1"])
def test_no_request_is_authenticated_before_a_configuration_is_known(api_key):
    """Guards against a node that needs no keys until it knows them."""
    authenticator = _authenticator_of(None)
    rejection = authenticator.authenticate(_ROUTE, api_key)
    assert isinstance(rejection, messages.Rejection)
    assert rejection.problem is core.problems.NOT_READY
    assert authenticator.name_for_server(_CONTEXT) == ""


@pytest.mark.parametrize("api_key", ["", "k-1"])
def test_configuration_without_any_key_rejects_all(api_key):
    """Guards against an empty table that turns authentication off."""
    authenticator = _authenticator_of(
        _configuration(topology.Authentication.KEYED)
    )
    rejection = authenticator.authenticate(_ROUTE, api_key)
    assert rejection.problem is core.problems.UNKNOWN_KEY
    assert authenticator.name_for_server(_CONTEXT) == ""
    assert authenticator.public_priority == 0


def test_open_configuration_needs_no_key():
    """Guards against deployments without tenants that serve nobody."""
    authenticator = _authenticator_of(
        _configuration(topology.Authentication.OPEN)
    )
    assert authenticator.authenticate(_ROUTE, "k-1") is None
    assert authenticator.name_for_server(_CONTEXT) is None
