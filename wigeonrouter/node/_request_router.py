"""Finds out what a request is: its route, tenant, service and time limits."""

from urllib import parse

from wigeonrouter import core
from wigeonrouter import placement
from wigeonrouter.node import _caller_timeouts
from wigeonrouter.node import _request_context
from wigeonrouter.node import _request_digest
from wigeonrouter.node import messages

# Retry-After of a node that has no configuration yet.
_NOT_READY_RETRY_S = 0.3
# A node that has just started usually has its configuration within this time.
# Until then it holds requests instead of rejecting them.
_STARTUP_WAIT_S = 0.5
# Network time of a response to the caller, subtracted from the target latency.
_RESPONSE_TRANSIT_S = 0.003


class RequestRouter:
    """Makes the RequestContext of each request.

    Args:
      cluster_state: ClusterState.
      authenticator: Authenticator.
      splitter: topology.TrafficSplitter, chooses the service of a route.
    """

    def __init__(self, *, cluster_state, authenticator, splitter):
        self._cluster_state = cluster_state
        self._authenticator = authenticator
        self._splitter = splitter
        self._caller_timeouts = _caller_timeouts.CallerTimeouts(
            stored=lambda: cluster_state.caller_timeouts
        )

    def changed_timeouts(self):
        """Return the estimates that differ much from the stored ones.

        Returns:
          Dict from route to the usual caller timeout, seconds.
        """
        return self._caller_timeouts.changed()

    def find_route(self, request):
        """Return the topology.Route of a request, None without one."""
        return self.find_route_of(*_host_and_path(request))

    def find_route_of(self, host, path):
        """Return the topology.Route of a host and a decoded path, or None."""
        return self._cluster_state.routes.find(host=host.lower(), path=path)

    def assume(self, route, tenant, arrived):
        """Return the PendingRequest of a caller with the route's timeout.

        Args:
          route: topology.Route.
          tenant: topology.Tenant, None without one.
          arrived: monotonic seconds.
        """
        target_time = arrived + route.target_latency - _RESPONSE_TRANSIT_S
        return self._pending(
            route, tenant, arrived, target_time, route.timeout
        )

    def route(self, request, request_metadata, arrived, origin):
        """Return the RequestContext of a request, or messages.Rejection.

        Args:
          request: HttpRequest.
          request_metadata: messages.RequestMetadata.
          arrived: monotonic seconds.
          origin: what the node says that has passed the request on, None if
            it comes from its caller.
        """
        if self._cluster_state.configuration is None:
            self._cluster_state.wait_configured(_STARTUP_WAIT_S)
        if self._cluster_state.configuration is None:
            return messages.Rejection(
                problem=core.problems.NOT_READY,
                retry_after=_NOT_READY_RETRY_S,
            )
        route = self.find_route(request)
        if route is None:
            host, path = _host_and_path(request)
            return messages.Rejection(
                problem=core.problems.NO_ROUTE, detail=f"{host}{path}"
            )
        tenant = self._authenticator.authenticate(
            route, request_metadata.api_key
        )
        if isinstance(tenant, messages.Rejection):
            return tenant
        return _request_context.RequestContext(
            request=request,
            request_id=request_metadata.request_id,
            digest=_request_digest.compute(
                request, tenant.name if tenant else ""
            ),
            route=route,
            service=self._choose_service(route, origin),
            pending=self._make_pending(
                route, tenant, request_metadata, arrived, origin
            ),
            attempts=origin.attempts if origin else 0,
            may_have_run=origin is not None and origin.may_have_run,
            origin=origin,
            tenant=tenant,
            api_key=request_metadata.api_key,
        )

    def _choose_service(self, route, origin):
        if origin is not None and any(
            share.service == origin.service for share in route.shares
        ):
            return origin.service
        return self._splitter.choose(route)

    def _make_pending(self, route, tenant, request_metadata, arrived, origin):
        if origin is not None:
            # Less time is left than its caller usually waits, so it says
            # nothing about that.
            remaining = origin.time_to_deadline
            target_time = arrived + origin.time_to_target
        else:
            remaining = request_metadata.remaining
            if remaining is None:
                remaining = route.timeout
            elapsed = self._caller_timeouts.estimate_age(route.name, remaining)
            target_time = (
                arrived + route.target_latency - elapsed - _RESPONSE_TRANSIT_S
            )
        return self._pending(route, tenant, arrived, target_time, remaining)

    def _pending(self, route, tenant, arrived, target_time, remaining):
        """Return the PendingRequest whose caller waits `remaining` seconds."""
        return placement.PendingRequest(
            priority=route.priority,
            idempotent=route.idempotent,
            arrived=arrived,
            target_time=target_time,
            deadline=arrived + min(remaining, route.timeout),
            tenant=tenant.name if tenant else "",
            tenant_priority=(
                tenant.priority
                if tenant
                else self._authenticator.public_priority
            ),
            home_regions=placement.merge_home_regions(route, tenant),
        )


def decode_path(target):
    """Return the path of a request target without percent-encoding."""
    path = target.partition("?")[0]
    return parse.unquote(path, "latin-1") if "%" in path else path


def _host_and_path(request):
    """Return what the route of a request depends on."""
    path = decode_path(request.target.decode("latin-1"))
    host = request.header(b"host").decode("latin-1").partition(":")[0]
    return host, path
