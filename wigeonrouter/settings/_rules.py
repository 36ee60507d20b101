"""Checks that need more than one field: rules on the merged settings.

The schema bounds each field on its own. The rules here look at what a node
has after inheritance, and at the services of the whole tree.
"""

import dataclasses

from wigeonrouter.settings import _checker
from wigeonrouter.settings import _tree

# The protobuf library parses 100 levels of nested messages. A level of the
# tree takes two, and settings, change and log entry take up to eight more.
MAX_TREE_LEVELS = 32


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RuleError:
    """A rule that the tree breaks.

    Attributes:
      node: path of the node that set the value.
      field: dotted name of the field below ``settings``; "" for the node
        itself.
    """

    node: str
    field: str
    problem: str
    allowed: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Anchor:
    """Where a change stands in the operator's document.

    Attributes:
      path: path of the changed node.
      prefix: JSON path of the node or the settings.
      settings_only: whether the document holds settings instead of a node.
    """

    path: str
    prefix: str = "$"
    settings_only: bool = False


def check_rules(*, root, policies, matches=None, pause=None):
    """Check the merged settings of each node.

    Args:
      root: settings_pb2.Node, a whole tree or an excerpt; see
        excerpt_tree.
      policies: names of the known selection policies, or None to accept any.
      matches: dict from match key to service path, for the services that
        are not part of root; see match_keys.
      pause: function to call between nodes. A whole tree of the target size
        takes a quarter of a second, in which a daemon has to serve others.
        The caller must own root.
    Returns:
      A tuple of at most MAX_ERRORS RuleError.
    """
    matches = dict(matches or {})
    errors = {}
    for path, merged in _tree.walk_effective(root):
        found = [
            *_check_depth(path),
            *_check_timeouts(merged),
            *_check_policy(merged, policies),
            *_check_addresses(merged),
            *_check_match(path, merged, matches),
        ]
        if found:
            _, origins = _tree.effective_settings(root=root, path=path)
            found = [_name_origins(error, path, origins) for error in found]
        # Nodes that inherit a mistake would report it once more each.
        errors.update(((e.node, e.field), e) for e in found)
        if len(errors) >= _checker.MAX_ERRORS:
            break
        if pause is not None:
            pause()
    return tuple(errors.values())[: _checker.MAX_ERRORS]


def match_keys(match):
    """Return the texts by which requests find a service.

    Args:
      match: core.MatchSettings or settings_pb2.Match.
    Returns:
      A list of pairs (dotted field name, key). Two services with a common
      key would compete for the same requests.
    """
    keys = []
    if match.service_header:
        keys.append(("service_header", f"X-Service {match.service_header}"))
    hosts = tuple(match.hosts)
    for prefix in match.path_prefixes:
        for host in hosts or ("*",):
            keys.append(("path_prefixes", f"host {host} path {prefix}"))
    if not match.path_prefixes:
        keys.extend(("hosts", f"host {host}") for host in hosts)
    return keys


def locate_error(*, error, anchors):
    """Turn a RuleError into a DocumentError with a JSON path.

    Args:
      error: a RuleError.
      anchors: the Anchors of the document; the last one that holds the node
        counts, since later changes override earlier ones.
    Returns:
      A DocumentError. Where the document does not hold the value, its path
      starts with the path of the node in the tree.
    """
    names = _tree.split_path(error.node)
    field = f".settings.{error.field}" if error.field else ""
    path = f"{error.node} ${field}"
    for anchor in anchors:
        above = _tree.split_path(anchor.path)
        if names[: len(above)] != above:
            continue
        if anchor.settings_only:
            if names == above:
                path = f"{anchor.prefix}.{error.field}"
            continue
        below = "".join(f".children.{name}" for name in names[len(above) :])
        path = f"{anchor.prefix}{below}{field}"
    return _checker.DocumentError(
        path=path, problem=error.problem, allowed=error.allowed
    )


def _name_origins(broken, path, origins):
    """Return the RuleError of a _Broken rule of the node at a path."""
    allowed = broken.allowed
    if broken.cause:
        allowed = f"{allowed}, which {origins.get(broken.cause, path)} sets"
    return RuleError(
        node=origins.get(broken.field, path),
        field=broken.field,
        problem=broken.problem,
        allowed=allowed,
    )


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Broken:
    """A rule that the merged settings of a node break.

    Attributes:
      cause: dotted name of the field that sets the bound, or "".
    """

    field: str
    problem: str
    allowed: str
    cause: str = ""


def _check_depth(path):
    levels = len(_tree.split_path(path))
    if levels > MAX_TREE_LEVELS:
        yield _Broken(
            field="",
            problem=f"node at level {levels} of the tree",
            allowed=f"at most {MAX_TREE_LEVELS} levels",
        )


def _check_timeouts(merged):
    limits = merged.limits
    if not (
        limits.HasField("default_timeout_ms")
        and limits.HasField("max_timeout_ms")
    ):
        return
    if limits.default_timeout_ms > limits.max_timeout_ms:
        yield _Broken(
            field="limits.default_timeout_ms",
            problem=f"{limits.default_timeout_ms} is above max_timeout_ms",
            allowed=f"at most {limits.max_timeout_ms}",
            cause="limits.max_timeout_ms",
        )


def _check_policy(merged, policies):
    routing = merged.routing
    if policies is None:
        return
    if routing.HasField("policy") and routing.policy not in policies:
        yield _Broken(
            field="routing.policy",
            problem=f"unknown policy {routing.policy[:64]!r}",
            allowed="one of " + ", ".join(policies),
        )


def _check_addresses(merged):
    seen = {}
    for group_name, group in sorted(merged.groups.items()):
        for name, server in sorted(group.servers.items()):
            first = seen.setdefault(server.address, f"{group_name}/{name}")
            if first != f"{group_name}/{name}":
                yield _Broken(
                    field=f"groups.{group_name}.servers.{name}.address",
                    problem=f"{server.address} is already {first}",
                    allowed="each address once in a service",
                )


def _check_match(path, merged, matches):
    if not merged.HasField("match"):
        return
    for field, key in match_keys(merged.match):
        owner = matches.setdefault(key, path)
        if owner != path:
            yield _Broken(
                field=f"match.{field}",
                problem=f"service {owner} has the same match: {key}",
                allowed="a match that no other service has",
            )
