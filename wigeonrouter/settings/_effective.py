"""Turns merged settings into the frozen records that requests use."""

from wigeonrouter import core
from wigeonrouter.settings import _tree

_MS = 1e-3


def build_services(root):
    """Build every service of a tree.

    Args:
      root: settings_pb2.Node.
    Returns:
      A dict from path to core.EffectiveService.
    """
    return {
        path: build_service(root=root, path=path)
        for path, _ in _tree.walk_services(root)
    }


def build_service(*, root, path):
    """Build the service at a path; see build_services."""
    merged = _tree.merge_settings(root=root, path=path)
    return core.EffectiveService(
        name=path,
        match=core.MatchSettings(
            hosts=tuple(merged.match.hosts),
            path_prefixes=tuple(merged.match.path_prefixes),
            service_header=_optional(merged.match, "service_header"),
        ),
        servers=_servers(merged),
        kinds=_kinds(merged),
        routing=core.RoutingSettings(**_given(merged.routing)),
        limits=_limits(merged.limits),
        retries=core.RetrySettings(**_given(merged.retries)),
        health=_health(merged.health),
    )


def _servers(merged):
    servers = []
    for group_name in sorted(merged.groups):
        group = merged.groups[group_name]
        for name in sorted(group.servers):
            server = group.servers[name]
            servers.append(
                core.BackendServer(
                    name=f"{group_name}/{name}",
                    address=core.parse_address(server.address),
                    place=core.Place(
                        region=server.region,
                        failure_domain=server.failure_domain,
                    ),
                    slots=server.slots or 2,
                    draining=server.state == "draining",
                )
            )
    return tuple(servers)


def _kinds(merged):
    return tuple(
        core.TrafficKind(
            name=name,
            idempotent=kind.idempotent,
            methods=frozenset(kind.methods),
            path_prefixes=tuple(kind.path_prefixes),
            timeout=(
                kind.timeout_ms * _MS if kind.HasField("timeout_ms") else None
            ),
        )
        for name, kind in sorted(merged.kinds.items())
    )


def _limits(message):
    given = _given(message)
    weights = given.pop("tenant_weights", {})
    for name in ("default_timeout", "max_timeout"):
        if f"{name}_ms" in given:
            given[name] = given.pop(f"{name}_ms") * _MS
    return core.LimitSettings(
        tenant_weights=tuple(sorted(weights.items())), **given
    )


def _health(message):
    given = _given(message)
    if "slow_start_ms" in given:
        given["slow_start"] = given.pop("slow_start_ms") * _MS
    return core.HealthSettings(**given)


def _given(message):
    return {field.name: value for field, value in message.ListFields()}


def _optional(message, name):
    return getattr(message, name) if message.HasField(name) else None
