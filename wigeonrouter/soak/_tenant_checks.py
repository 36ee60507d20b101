"""Checks of API keys, tenants and quotas."""

import collections

from wigeonrouter.soak import _check_registry
from wigeonrouter.soak import _records

# Written to the settings of the nodes.
QUOTA_WINDOW_S = 5.0
QUOTA_OVERAGE = 0.1
QUOTA_SLACK_COUNT = 20
_UNAUTHORIZED = 401
_UNAVAILABLE = 503


@_check_registry.check
def servers_get_no_keys(observations):
    """A server gets no API key, and the tenant of the caller's key only."""
    tenants = {r.request_id: r.tenant for r in observations.requests}
    for execution in observations.executions:
        if execution.has_key:
            yield _check_registry.violation(
                "no key at servers", str(execution)
            )
        tenant = tenants.get(execution.request_id)
        if execution.tenants != ((tenant,) if tenant else ()):
            yield _check_registry.violation(
                "tenant of the caller's key", f"{tenant!r}: {execution}"
            )


@_check_registry.check
def unknown_keys_are_rejected(observations):
    """A request with an unknown key is not executed and gets 401.

    A node that a fault affected may have no configuration and respond with
    503.
    """
    unknown = {
        request.request_id: request
        for request in observations.requests
        if request.tenant == _records.UNKNOWN_TENANT
    }
    for execution in observations.executions:
        if execution.request_id in unknown:
            yield _check_registry.violation(
                "unknown key not executed", str(execution)
            )
    for request in unknown.values():
        if request.reply is None or request.reply.status == _UNAUTHORIZED:
            continue
        if request.reply.status != _UNAVAILABLE or (
            _check_registry.was_undisturbed(
                observations, request.node, request.sent, request.ended
            )
        ):
            yield _check_registry.violation(
                "unknown key rejected with 401", str(request)
            )


@_check_registry.check
def quotas_are_kept(observations):
    """All nodes together keep the limit of a tenant, also during faults."""
    tenants = {r.request_id: r.tenant for r in observations.requests}
    by_tenant = collections.defaultdict(list)
    for execution in sorted(observations.executions, key=lambda e: e.started):
        by_tenant[tenants.get(execution.request_id)].append(execution.started)
    for tenant in observations.tenants.values():
        if tenant.rate <= 0.0:
            continue
        allowed = (tenant.rate * QUOTA_WINDOW_S + tenant.burst) * (
            1 + QUOTA_OVERAGE
        ) + QUOTA_SLACK_COUNT
        count, end = _check_registry.find_busiest_window(
            by_tenant[tenant.name], QUOTA_WINDOW_S
        )
        if count > allowed:
            yield _check_registry.violation(
                "quota", f"{tenant.name}: {count} of {allowed:.1f} until {end}"
            )
