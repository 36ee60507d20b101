"""Tests of the assembling of explanations, without a network."""

import dataclasses
import random
import types

import pytest

from wigeonrouter import core
from wigeonrouter import placement
from wigeonrouter import topology
from wigeonrouter.node import _authenticator
from wigeonrouter.node import _balancer
from wigeonrouter.node import _explainer
from wigeonrouter.node import _quota_client
from wigeonrouter.node import _request_router

_SOUTH = core.Place(region="south", failure_domain="south-a")


@pytest.fixture
def explain(route, make_server_pool, make_known_server):
    """Return a function that explains a request of a configuration."""

    def run(
        *,
        servers=(("s-1", {}),),
        evacuated=(),
        quota=None,
        path="/a",
        **changes,
    ):
        known = [make_known_server(name, **fields) for name, fields in servers]
        known = [
            dataclasses.replace(
                record,
                evacuated=record.registration.instance in evacuated,
            )
            for record in known
        ]
        tenant = topology.Tenant(name="acme", api_keys=("k-1",), priority=2)
        changed = dataclasses.replace(route, prefix="/a", **changes)
        cluster_state = types.SimpleNamespace(
            configuration=types.SimpleNamespace(
                tenants={"acme": tenant},
                keys_required=True,
                routes=(changed,),
            ),
            routes=topology.RouteTable([changed]),
            servers=known,
            caller_timeouts={},
        )
        balancer = _balancer.Balancer(
            server_pool=make_server_pool(),
            budget=placement.RetryBudget(ratio=0.2, window=10.0),
            rng=random.Random(1),
        )
        balancer.configure(health_path="/health", registered=known)
        authenticator = _authenticator.Authenticator(
            cluster_state=cluster_state
        )
        explainer = _explainer.Explainer(
            node="n-1",
            cluster_state=cluster_state,
            router=_request_router.RequestRouter(
                cluster_state=cluster_state,
                authenticator=authenticator,
                splitter=None,
            ),
            authenticator=authenticator,
            balancers=types.SimpleNamespace(preview=lambda service: balancer),
            forwarder=None,
            is_cut=lambda: False,
            quotas=types.SimpleNamespace(preview=lambda tenant: quota),
        )
        return lambda name: explainer.explain(
            host=route.host, path=path, tenant_name=name
        )

    return run


def test_served_request_names_its_server(explain):
    """Guards against an explanation without the server or its latency."""
    explanation = explain()("acme")
    (service,) = explanation.services
    assert explanation.rejection is None
    assert explanation.key_needed
    assert explanation.without_key.status == 401
    assert explanation.tenant.priority == 2
    assert service.choice.instance == "s-1"
    assert service.choice.expected_latency > 0.0
    assert service.share == 1.0


def test_unknown_route_and_tenant_are_rejected(explain):
    """Guards against unknown names, perhaps keys, that are repeated."""
    assert explain(path="/b")("acme").rejection.status == 404
    explanation = explain()("k-1")
    assert explanation.rejection.status == 401
    assert "k-1" not in str(explanation)


def test_quota_without_tokens_says_when_to_retry(explain):
    """Guards against a tenant over its limit that seems to be served."""
    limit = {"rate": 5.0, "burst": 0.0, "region_total": 25}
    state = _quota_client.QuotaState(
        **limit, tokens=0, refused=True, has_hub=True, retry_after=0.8
    )
    explanation = explain(quota=state)("acme")
    assert explanation.quota.region_total == 25
    assert explanation.rejection.status == 429
    assert explanation.rejection.retry_after == 0.8


@pytest.mark.parametrize(
    "options, problem, excluded",
    [
        ({"servers": ()}, "no-server", []),
        ({"evacuated": ("s-1",)}, "no-server", [{"evacuated": 1}]),
        (
            {
                "servers": [
                    ("s-1", {"state": topology.RegistrationState.DRAINING})
                ]
            },
            "no-server",
            [{"draining": 1}],
        ),
        ({"home_regions": frozenset({"south"})}, "no-home", [{}]),
    ],
)
def test_service_without_usable_server_rejects(
    explain, options, problem, excluded
):
    """Guards against rejections whose cause the counts do not show."""
    (service,) = explain(**options)("acme").services
    assert service.choice is None
    assert service.rejection.problem == problem
    assert service.rejection.retry_after > 0.0
    assert [domain.excluded for domain in service.domains] == excluded


def test_home_region_elsewhere_gets_the_request(explain):
    """Guards against a choice that ignores the home regions."""
    (service,) = explain(
        servers=[("s-1", {}), ("s-2", {"place": _SOUTH})],
        home_regions=frozenset({"south"}),
    )("acme").services
    assert service.choice.instance == "s-2"
    assert service.choice.locality == "remote"
    assert [domain.allowed for domain in service.domains] == [False, True]
