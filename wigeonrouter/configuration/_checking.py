"""Checks a change as a whole before it is accepted.

A document may be valid by itself and still contradict the rest of the tree,
for instance by matching the requests of another service.
"""

import dataclasses
import re

from wigeonrouter import settings
from wigeonrouter.schema import settings_pb2

MAX_DEPTH = 64
_NAME = re.compile(r"[a-z0-9][a-z0-9-]{0,62}")


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TreeError:
    """One mistake in a changed tree.

    Attributes:
      path: path of the node.
      problem: what is wrong.
      allowed: what would be accepted.
    """

    path: str
    problem: str
    allowed: str

    def __str__(self):
        return f"{self.path}: {self.problem}; allowed: {self.allowed}"


def check_changes(*, replica, changes, policies=None):
    """Check the tree that changes would lead to.

    Only the changed nodes and their parents are copied and built, because a
    copy of the whole tree would cost more than the change.

    Args:
      replica: a Replica; it is not modified.
      changes: sequence of settings_pb2.Change.
      policies: names of the known policies, or None to accept any.
    Returns:
      A tuple of TreeError, empty where the changes are accepted.
    """
    errors = []
    if not changes:
        errors.append(
            TreeError(path="/", problem="no change", allowed="at least one")
        )
    for change in changes:
        errors += _check_path(change)
    if errors:
        return tuple(errors)
    paths = {_normalize(change.path) for change in changes}
    tree = _copy_parts(replica.root, paths)
    settings.apply_in_place(root=tree, changes=changes)
    built = {}
    for changed in sorted(paths):
        for path, _ in settings.walk_services(tree, changed):
            try:
                built[path] = settings.build_service(root=tree, path=path)
            except ValueError as error:
                errors.append(
                    TreeError(
                        path=path,
                        problem=str(error),
                        allowed="settings that a service can be built from",
                    )
                )
    for service in built.values():
        errors += _check_service(service, policies)
    prefixes = tuple(f"{path.rstrip('/')}/" for path in paths)
    others = {
        path: service
        for path, service in replica.services.items()
        if not f"{path}/".startswith(prefixes)
    }
    errors += _check_matches(built, others)
    return tuple(errors)


def _normalize(path):
    return settings.join_path(settings.split_path(path))


def _check_path(change):
    names = settings.split_path(change.path)
    fits = (
        change.path.startswith("/")
        and len(names) <= MAX_DEPTH
        and all(_NAME.fullmatch(name) for name in names)
    )
    if not fits:
        yield TreeError(
            path=change.path[:200],
            problem="bad path",
            allowed=f"at most {MAX_DEPTH} names like {_NAME.pattern}",
        )
    if change.WhichOneof("action") is None:
        yield TreeError(
            path=change.path[:200],
            problem="no action",
            allowed="node, settings or remove",
        )


def _copy_parts(root, paths):
    """Copy the nodes at paths, and of their parents only the settings."""
    tree = settings_pb2.Node()
    for path in sorted(paths):
        source, target = root, tree
        for name in settings.split_path(path):
            target.settings.CopyFrom(source.settings)
            if name not in source.children:
                break
            source, target = source.children[name], target.children[name]
        else:
            target.CopyFrom(source)
    return tree


def _check_service(service, policies):
    if policies is not None and service.routing.policy not in policies:
        yield TreeError(
            path=service.name,
            problem=f"unknown policy {service.routing.policy!r}",
            allowed=", ".join(sorted(policies)),
        )
    if service.limits.default_timeout > service.limits.max_timeout:
        yield TreeError(
            path=service.name,
            problem="default_timeout_ms is above max_timeout_ms",
            allowed="at most max_timeout_ms",
        )
    seen = {}
    for server in service.servers:
        if server.address in seen:
            yield TreeError(
                path=service.name,
                problem=f"{server.name} and {seen[server.address]} have the "
                f"address {server.address}",
                allowed="each address once in a service",
            )
        seen[server.address] = server.name


def _check_matches(built, others):
    taken = {}
    for path, service in others.items():
        for key in _match_keys(service.match):
            taken[key] = path
    for path, service in built.items():
        for key in _match_keys(service.match):
            first = taken.setdefault(key, path)
            if first != path:
                kind, *values = key
                shown = " ".join(str(v) for v in values if v is not None)
                yield TreeError(
                    path=path,
                    problem=f"{kind} {shown} is matched by {first} too",
                    allowed="each request is matched by one service",
                )


def _match_keys(match):
    if match.service_header:
        yield "service_header", match.service_header
    for host in match.hosts or (None,):
        for prefix in match.path_prefixes:
            yield "path_prefix", prefix, host
        if host is not None and not match.path_prefixes:
            yield "host", host
