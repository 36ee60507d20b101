"""Converts merged settings to the immutable records of the request path."""

from wigeonrouter import core
from wigeonrouter.settings import _tree

_MS_IN_S = 1e-3


def build_services(root):
    """Build all services of a tree.

    Args:
      root: settings_pb2.Node, the root of the tree.
    Returns:
      A dict from path to core.EffectiveService.
    """
    return {
        path: build_service(root=root, path=path)
        for path, _ in _tree.walk_services(root)
    }


def build_service(*, root, path):
    """Build the core.EffectiveService of the node at a path."""
    merged = _tree.merge_settings(root=root, path=path)
    return core.EffectiveService(
        name=path,
        match=core.MatchSettings(
            hosts=tuple(merged.match.hosts),
            path_prefixes=tuple(merged.match.path_prefixes),
            service_header=_get_or_none(merged.match, "service_header"),
        ),
        servers=_build_servers(merged),
        kinds=_build_kinds(merged),
        routing=core.RoutingSettings(**_explicit_fields(merged.routing)),
        limits=_build_limits(merged.limits),
        retries=core.RetrySettings(**_explicit_fields(merged.retries)),
        health=_build_health(merged.health),
    )


def _build_servers(merged):
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


def _build_kinds(merged):
    return tuple(
        core.TrafficKind(
            name=name,
            idempotent=kind.idempotent,
            methods=frozenset(kind.methods),
            path_prefixes=tuple(kind.path_prefixes),
            timeout=(
                kind.timeout_ms * _MS_IN_S
                if kind.HasField("timeout_ms")
                else None
            ),
        )
        for name, kind in sorted(merged.kinds.items())
    )


def _build_limits(message):
    values = _explicit_fields(message)
    weights = values.pop("tenant_weights", {})
    for name in ("default_timeout", "max_timeout"):
        if f"{name}_ms" in values:
            values[name] = values.pop(f"{name}_ms") * _MS_IN_S
    return core.LimitSettings(
        tenant_weights=tuple(sorted(weights.items())), **values
    )


def _build_health(message):
    values = _explicit_fields(message)
    if "slow_start_ms" in values:
        values["slow_start"] = values.pop("slow_start_ms") * _MS_IN_S
    return core.HealthSettings(**values)


def _explicit_fields(message):
    return {field.name: value for field, value in message.ListFields()}


def _get_or_none(message, name):
    return getattr(message, name) if message.HasField(name) else None
