"""Tests of explanations by a running node."""

import collections
import dataclasses
import json

from click import testing as click_testing
import pytest

from wigeonrouter import observability
from wigeonrouter.cli import main as cli
from wigeonrouter.node import _explainer
from wigeonrouter.platform import _tenants_test
from wigeonrouter.platform import conftest

_STATE_PACKAGES = (
    "wigeonrouter.limits",
    "wigeonrouter.node",
    "wigeonrouter.placement",
    "wigeonrouter.tenancy",
)


@pytest.fixture
def tenant_node(store, make_settings, start_node, backend):
    """Run a node with a limited tenant, a server and some requests."""
    node = start_node(make_settings(spill_over=True, first_start=True))
    acme = {
        "api_keys": [_tenants_test.KEY],
        "priority": 1,
        "rate_per_s": 50,
        "burst": 5,
    }
    _tenants_test.put_tenants(store, 2, _tenants_test.tenants(acme=acme))
    _tenants_test.wait_for_version([node], 2)
    conftest.start_ready(backend, node, "i-1")
    caller = conftest.Caller(address=node.settings.caller_address)
    for _ in range(3):
        key = {"Key": _tenants_test.KEY}
        assert caller.send("/read/a", headers=key.items()).status == 200
    return node


def explain(node, query, **options):
    control = conftest.Caller(address=node.settings.control_address)
    target = f"/explain?host={conftest.HOST}&{query}"
    return control.send(target, **options)


def list_state(value, path, seen):
    """Yield pairs of path and text for what an object refers to."""
    if isinstance(value, dict):
        items = [(str(key), value[key]) for key in value]
    elif isinstance(value, (list, tuple, collections.deque)):
        items = enumerate(value)
    elif hasattr(value, "getstate"):
        items = [("state", repr(value.getstate()))]
    elif not type(value).__module__.startswith(_STATE_PACKAGES):
        yield path, repr(value)
        return
    elif id(value) in seen:
        return
    else:
        seen.add(id(value))
        names = getattr(value, "__slots__", None) or vars(value)
        items = [(name, getattr(value, name)) for name in names]
    for name, item in items:
        yield from list_state(item, f"{path}.{name}", seen)


def read_state(node):
    """Return what decisions depend on, and the metrics but for ages."""
    gauges = dataclasses.replace(node._read_gauges(), store_copy_age=0.0)
    roots = {
        "metrics": observability.expose(metrics=node._metrics, gauges=gauges),
        "rng": node._rng,
        "balancers": node._balancers._balancers,
        "router": node._proxy.router,
        "quotas": node.region_member.quotas.client,
    }
    return dict(list_state(roots, "", set()))


@pytest.mark.parametrize(
    "query", ["path=/read/a&tenant=acme", "path=/write/a", "path=/public/a"]
)
def test_explaining_changes_nothing(tenant_node, monkeypatch, query):
    """Guards against an explanation that takes a token or starts a probe.

    The state is read within the handling, so that the background tasks of the
    node do not run in between.
    """
    states = []
    handle = _explainer.ExplainHandler.handle

    def compare(handler, request, arrived):
        states.append(read_state(tenant_node))
        response = handle(handler, request, arrived)
        states.append(read_state(tenant_node))
        return response

    monkeypatch.setattr(_explainer.ExplainHandler, "handle", compare)
    assert explain(tenant_node, query).status == 200
    before, after = states
    assert any("_retry_spread" in path for path in before)
    assert dict(before.items() ^ after.items()) == {}


def test_service_without_requests_is_not_created(node, backend):
    """Guards against a balancer that is made and kept by an explanation."""
    conftest.start_ready(backend, node, "i-1")
    media = json.loads(explain(node, "path=/read/a").body)
    (service,) = media["services"]
    assert service["domains"][0]["usable"] == 1
    assert not node._balancers._balancers


def test_keys_are_neither_accepted_nor_printed(tenant_node):
    """Guards against keys in URLs, and in explanations of their tenants."""
    key = _tenants_test.KEY
    for query in (f"path=/read/a&key={key}", f"path=/read/a&Key={key}"):
        response = explain(tenant_node, query)
        assert response.status == 400
        assert key.encode() not in response.body
    for query in ("path=/read/a&tenant=acme", f"path=/read/a&tenant={key}"):
        response = explain(tenant_node, query, headers=[("Key", key)])
        assert key.encode() not in response.body
    media = json.loads(explain(tenant_node, "path=/read/a").body)
    assert media["rejection"]["status"] == 401


@pytest.mark.parametrize("as_json", [False, True])
def test_command_prints_the_choice(tenant_node, as_json):
    """Guards against a command and a node that differ in names."""
    result = click_testing.CliRunner().invoke(
        cli.main,
        ["explain", "--node", str(tenant_node.settings.control_address)]
        + ["--host", conftest.HOST, "--path", "/read/a", "--tenant", "acme"]
        + ["--json"] * as_json,
    )
    assert result.exit_code == 0, result.output
    assert _tenants_test.KEY not in result.output
    if as_json:
        (service,) = json.loads(result.output)["services"]
        assert service["choice"]["instance"] == "i-1"
    else:
        assert "sent to i-1 in r1/" in result.output
        assert "quota: 50 requests/s, burst 5" in result.output
