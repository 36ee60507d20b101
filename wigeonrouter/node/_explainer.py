"""Explains on the control address where a request would go now.

An operator names a host, a path and perhaps a tenant. API keys are never
accepted: they would get into shell histories and logs on the way.
"""

import dataclasses
import json
import time
from urllib import parse

from wigeonrouter import core
from wigeonrouter import http1
from wigeonrouter import topology
from wigeonrouter.node import _explanation
from wigeonrouter.node import _request_router
from wigeonrouter.node import messages

PATH = "/explain"
_MAX_BODY_BYTES = 4 << 10
_REQUIRED = frozenset({"host", "path"})
_ALLOWED = _REQUIRED | {"tenant"}


class Explainer:
    """Makes Explanations of requests. Nothing is sent, taken or counted.

    Args:
      node: name of this node.
      cluster_state: ClusterState.
      router: RequestRouter.
      authenticator: Authenticator.
      balancers: BalancerRegistry.
      forwarder: Forwarder.
      is_cut: function that returns whether this node is cut off from all
        servers.
      quotas: QuotaClient.
    """

    def __init__(
        self,
        *,
        node,
        cluster_state,
        router,
        authenticator,
        balancers,
        forwarder,
        is_cut,
        quotas,
        clock=time.monotonic,
    ):
        self._node = node
        self._cluster_state = cluster_state
        self._router = router
        self._authenticator = authenticator
        self._balancers = balancers
        self._forwarder = forwarder
        self._is_cut = is_cut
        self._quotas = quotas
        self._clock = clock

    def explain(self, *, host, path, tenant_name=""):
        """Return the Explanation of a request.

        Args:
          host: host of the request, with or without a port.
          path: path of the request.
          tenant_name: name of its tenant, "" for a request without a key.
        """
        host = host.partition(":")[0]
        path = _request_router.decode_path(path)
        blank = _explanation.Explanation(node=self._node, host=host, path=path)
        if self._cluster_state.configuration is None:
            return _reject(blank, core.problems.NOT_READY)
        route = self._router.find_route_of(host, path)
        if route is None:
            return _reject(blank, core.problems.NO_ROUTE)
        without_key = self._authenticator.authenticate(route, "")
        explanation = dataclasses.replace(
            blank,
            route=_explanation.explain_route(route),
            key_needed=isinstance(without_key, messages.Rejection),
            without_key=_explain_authentication(without_key),
        )
        if not explanation.key_needed:
            return self._explain_servers(explanation, route, None)
        if not tenant_name:
            return dataclasses.replace(
                self._explain_servers(explanation, route, None),
                rejection=explanation.without_key,
            )
        tenant = self._cluster_state.configuration.tenants.get(tenant_name)
        if tenant is None:
            # The name is not repeated, since it may be a key by mistake.
            return _reject(
                explanation, core.problems.UNKNOWN_KEY, "no such tenant"
            )
        rejection = self._authenticate(route, tenant)
        explanation = self._explain_servers(explanation, route, tenant)
        return dataclasses.replace(
            explanation,
            rejection=rejection or _find_quota_rejection(explanation),
            tenant=_explanation.TenantExplanation(
                name=tenant.name,
                priority=tenant.priority,
                rejection=rejection,
            ),
        )

    def _authenticate(self, route, tenant):
        """Return the rejection of a request with a tenant's key, or None."""
        api_key = next(iter(tenant.api_keys), "")
        return _explain_authentication(
            self._authenticator.authenticate(route, api_key)
        )

    def _explain_servers(self, explanation, route, tenant):
        """Add what holds for a request of a tenant, None without one."""
        request = self._router.assume(route, tenant, self._clock())
        home_regions = request.home_regions
        return dataclasses.replace(
            explanation,
            quota=_explanation.explain_quota(self._quotas.preview(tenant)),
            home_regions=(
                None if home_regions is None else tuple(sorted(home_regions))
            ),
            forwarded_to=self._forwarded_to(route, home_regions),
            services=tuple(
                _explanation.explain_service(
                    self._read_service(route, share, request),
                    home_regions=home_regions,
                    now=self._clock(),
                )
                for share in route.shares
            ),
        )

    def _forwarded_to(self, route, home_regions):
        if not self._is_cut():
            return ()
        addresses = {
            str(address): None
            for share in route.shares
            for address in self._forwarder.addresses(
                share.service, home_regions
            )
        }
        return tuple(addresses)

    def _read_service(self, route, share, request):
        balancer = self._balancers.preview(share.service)
        spill_over = balancer.spill_over_shares
        return _explanation.ServiceState(
            name=share.service,
            weight=share.weight,
            total_weight=sum(other.weight for other in route.shares),
            decision=balancer.preview(request, route),
            views=tuple(balancer.server_pool.views.all),
            draining=tuple(
                known.registration.place
                for known in self._cluster_state.servers
                if known.registration.service == share.service
                and known.registration.state
                is topology.RegistrationState.DRAINING
            ),
            queue_length=balancer.queue_length,
            spill_over={
                locality.name.lower(): value
                for locality, value in spill_over.items()
            },
        )


class ExplainHandler:
    """Serves Explanations as JSON.

    Args:
      explainer: Explainer.
    """

    def __init__(self, *, explainer):
        self._explainer = explainer

    def body_limit(self, request):
        """Return the maximum request body size in bytes."""
        return _MAX_BODY_BYTES

    def handle(self, request, arrived):
        """Return the Explanation of the request that the query describes.

        Queries with other parameters, such as a key, are rejected without
        repeating them.
        """
        text = request.target.decode("latin-1").partition("?")[2]
        pairs = parse.parse_qsl(text, keep_blank_values=True)
        query = dict(pairs)
        if (
            request.method != b"GET"
            or len(query) != len(pairs)
            or not _REQUIRED <= query.keys() <= _ALLOWED
        ):
            return _respond(
                core.problems.BAD_REQUEST.status,
                {"detail": "a GET takes host, path and tenant, each once"},
            )
        explanation = self._explainer.explain(
            host=query["host"],
            path=query["path"],
            tenant_name=query.get("tenant", ""),
        )
        return _respond(200, dataclasses.asdict(explanation))


class ControlHandler:
    """Passes the requests on the control address to handlers by their path.

    Args:
      handlers: dict from path to handler.
      default: handler of all other paths.
    """

    def __init__(self, *, handlers, default):
        self._handlers = handlers
        self._default = default

    def body_limit(self, request):
        """Return the maximum request body size in bytes."""
        return self._find(request).body_limit(request)

    def handle(self, request, arrived):
        """Return the HttpResponse of the handler of the path."""
        return self._find(request).handle(request, arrived)

    def _find(self, request):
        path = request.target.decode("latin-1").partition("?")[0]
        return self._handlers.get(path, self._default)


def _reject(explanation, problem, detail=""):
    rejection = messages.Rejection(problem=problem, detail=detail)
    return dataclasses.replace(
        explanation, rejection=_explanation.explain_rejection(rejection)
    )


def _find_quota_rejection(explanation):
    """Return the rejection of a request over its quota, or None.

    A node that passes a request on leaves the quota to the other one.
    """
    quota = explanation.quota
    if quota is None or explanation.forwarded_to:
        return None
    if quota.outcome != _explanation.QUOTA_REJECTED:
        return None
    return _explanation.explain_rejection(
        messages.Rejection(
            problem=core.problems.OVER_QUOTA, retry_after=quota.retry_after
        )
    )


def _explain_authentication(result):
    """Return the explanation of what Authenticator.authenticate() returns."""
    if not isinstance(result, messages.Rejection):
        return None
    return _explanation.explain_rejection(result)


def _respond(status, media):
    return http1.HttpResponse(
        status=status,
        headers=((b"content-type", b"application/json"),),
        body=json.dumps(media).encode(),
    )
