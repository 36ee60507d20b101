"""Authenticates requests by the configuration in force."""

import dataclasses
import statistics

from wigeonrouter import core
from wigeonrouter import tenancy
from wigeonrouter import topology
from wigeonrouter.node import messages

# Retry-After while the copy of the configuration is too old. A node that finds
# another hub has a current one within this time.
_OUTDATED_RETRY_S = 1.0
# Retry-After of a request whose key has got another tenant on the way.
_CHANGED_RETRY_S = 0.1


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Rules:
    """What a configuration says about keys.

    Attributes:
      public_routes: dict from the name of each route to whether it is public.
      public_priority: see Authenticator.public_priority.
    """

    configuration: topology.Configuration
    keys: tenancy.KeyTable
    public_routes: dict[str, bool]
    public_priority: int


class Authenticator:
    """Finds the tenants of requests.

    Without a configuration no request is authenticated. With one of which the
    operator uses no tenants, requests need no keys and have no tenant.

    Args:
      cluster_state: ClusterState, which has the configuration in force.
      is_outdated: function that returns whether this node's copy of the
        configuration is too old to tell which keys are valid.
    """

    def __init__(self, *, cluster_state, is_outdated=lambda: False):
        self._cluster_state = cluster_state
        self._is_outdated = is_outdated
        self._latest_rules = None

    @property
    def keys_required(self):
        """Whether requests need API keys, also while that is unknown."""
        configuration = self._cluster_state.configuration
        return configuration is None or configuration.keys_required

    @property
    def public_priority(self):
        """Tenant priority of requests that have no tenant.

        That of the middle tenant. Anyone may send such requests, so that they
        must not go before those of all tenants.
        """
        if self._cluster_state.configuration is None:
            return 0
        return self._rules().public_priority

    def authenticate(self, route, api_key):
        """Find the tenant of a request.

        Args:
          route: topology.Route.
          api_key: text, "" without a usable key.
        Returns:
          topology.Tenant, None if the request needs none, or
          messages.Rejection.
        """
        if self._cluster_state.configuration is None:
            return messages.Rejection(
                problem=core.problems.NOT_READY, detail="no configuration"
            )
        if not self.keys_required:
            return None
        rules = self._rules()
        if rules.public_routes.get(route.name, route.public):
            return None
        if api_key and self._is_outdated():
            return messages.Rejection(
                problem=core.problems.KEY_UNSETTLED,
                retry_after=_OUTDATED_RETRY_S,
                detail="copy of the store is too old",
            )
        tenant = rules.keys.find(api_key)
        if tenant is None:
            return messages.Rejection(
                problem=core.problems.UNKNOWN_KEY, detail=f"route {route.name}"
            )
        return tenant

    def recheck(self, context):
        """Authenticate a request again, right before it is sent.

        The configuration may have changed while it waited.

        Args:
          context: RequestContext.
        Returns:
          messages.Rejection, None if the request still has its tenant.
        """
        tenant = self.authenticate(context.route, context.api_key)
        if isinstance(tenant, messages.Rejection):
            return tenant
        if _name(tenant) != _name(context.tenant):
            # Its place in the queue and its digest are those of the other.
            return messages.Rejection(
                problem=core.problems.KEY_UNSETTLED,
                retry_after=_CHANGED_RETRY_S,
                detail="the tenant has changed",
            )
        context.tenant = tenant
        return None

    def name_for_server(self, context):
        """Return the name of a request's tenant for the server.

        Returns:
          Text, "" if the request has no tenant; None if the operator uses no
          tenants.
        """
        return _name(context.tenant) if self.keys_required else None

    def _rules(self):
        """Return the _Rules of the configuration in force."""
        configuration = self._cluster_state.configuration
        rules = self._latest_rules
        if rules is None or rules.configuration is not configuration:
            rules = self._latest_rules = _Rules(
                configuration=configuration,
                keys=tenancy.KeyTable(configuration.tenants.values()),
                public_routes={
                    route.name: route.public for route in configuration.routes
                },
                public_priority=_middle_priority(configuration.tenants),
            )
        return rules


def _middle_priority(tenants):
    """Return the priority of the middle one of some tenants, 0 without any."""
    priorities = [tenant.priority for tenant in tenants.values()]
    return statistics.median_low(priorities) if priorities else 0


def _name(tenant):
    return tenant.name if tenant else ""
