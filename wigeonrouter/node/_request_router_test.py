"""Tests of the rank of requests with and without a tenant."""

import random
import types

import pytest

from wigeonrouter import http1
from wigeonrouter import topology
from wigeonrouter.node import _authenticator
from wigeonrouter.node import _request_router
from wigeonrouter.node import messages


def _make_router(*, public, priorities):
    route = topology.Route(
        name="read",
        host="shop.example",
        prefix="/",
        idempotent=True,
        shares=(topology.TrafficShare(service="alpha", weight=1),),
        timeout=2.0,
        target_latency=0.2,
        priority=1,
        max_attempts=2,
        public=public,
    )
    cluster_state = types.SimpleNamespace(
        configuration=topology.Configuration(
            version=7,
            routes=(route,),
            services={},
            limits=topology.CallerLimits(),
            authentication=topology.Authentication.KEYED,
            tenants={
                f"t{number}": topology.Tenant(
                    name=f"t{number}",
                    api_keys=(f"key-{number}",),
                    priority=priority,
                )
                for number, priority in enumerate(priorities)
            },
        ),
        routes=topology.RouteTable([route]),
        caller_timeouts={},
    )
    return _request_router.RequestRouter(
        cluster_state=cluster_state,
        authenticator=_authenticator.Authenticator(
            cluster_state=cluster_state
        ),
        splitter=topology.TrafficSplitter(rng=random.Random(1)),
    )


@pytest.mark.parametrize(
    ("public", "priorities", "expected"),
    [
        (False, (0, 1, 2), 2),
        (True, (0, 1, 2), 1),
        (True, (0, 0, 3), 0),
        (True, (), 0),
    ],
)
def test_public_routes_do_not_go_before_all_tenants(
    public, priorities, expected
):
    """Guards against callers without a key that take the tenants' slots."""
    request = http1.HttpRequest(
        method=b"GET",
        target=b"/",
        headers=((b"host", b"shop.example"),),
        body=b"",
        keep_alive=True,
    )
    context = _make_router(public=public, priorities=priorities).route(
        request,
        messages.RequestMetadata(
            request_id="r-1", remaining=2.0, api_key="key-2"
        ),
        100.0,
        None,
    )
    assert context.pending.tenant_priority == expected
