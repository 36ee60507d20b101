"""Validation rules across fields and services.

The schema bounds each field on its own. The rules here apply to the settings
of a node after inheritance and to all services of the tree together.
"""

import dataclasses

from wigeonrouter.settings import _checker
from wigeonrouter.settings import _tree

# The protobuf library parses at most 100 levels of nested messages. Each
# level of the tree takes two; the settings, the change and the log entry take
# up to eight more.
MAX_TREE_LEVELS = 32


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RuleError:
    """One violation of a rule by the tree.

    Attributes:
      node: path of the node that sets the value.
      field: dotted name of the field below ``settings``; "" for the node
        itself.
      problem: what is wrong with the value.
      allowed: description of the accepted values.
    """

    node: str
    field: str
    problem: str
    allowed: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Anchor:
    """Position of a change in the operator's document.

    Attributes:
      path: path of the changed node in the tree.
      prefix: JSON path of the node or the settings in the document.
      settings_only: whether the document holds only the node's settings.
    """

    path: str
    prefix: str = "$"
    settings_only: bool = False


def check_rules(*, root, policies, matches=None, pause=None):
    """Check the merged settings of each node.

    Args:
      root: settings_pb2.Node, a complete tree or an excerpt of it; see
        excerpt_tree.
      policies: names of the known selection policies; None accepts any.
      matches: dict from match key to service path, for the services outside
        of root; see match_keys.
      pause: function without arguments, called between nodes, that lets
        other tasks run, or None. A tree of the target size takes a quarter
        of a second, during which a daemon must go on serving requests. Other
        tasks must not modify root meanwhile.
    Returns:
      A tuple of at most MAX_ERRORS RuleError.
    """
    matches = dict(matches or {})
    errors = {}
    for path, merged in _tree.walk_effective(root):
        violations = [
            *_check_depth(path),
            *_check_timeouts(merged),
            *_check_policy(merged, policies),
            *_check_addresses(merged),
            *_check_match(path, merged, matches),
        ]
        if violations:
            _, origins = _tree.effective_settings(root=root, path=path)
            violations = [
                _to_rule_error(error, path, origins) for error in violations
            ]
        # Drops duplicates: each node that inherits an invalid value reports
        # it again.
        errors.update(((e.node, e.field), e) for e in violations)
        if len(errors) >= _checker.MAX_ERRORS:
            break
        if pause is not None:
            pause()
    return tuple(errors.values())[: _checker.MAX_ERRORS]


def match_keys(match):
    """Return the keys that identify the requests of a service.

    Args:
      match: core.MatchSettings or settings_pb2.Match.
    Returns:
      A list of pairs (field name, key). Two services with a common key would
      match the same requests.
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
    """Convert a RuleError to a DocumentError with a JSON path.

    Args:
      error: a RuleError.
      anchors: the Anchors of the document. The last one that covers the node
        is used, since later changes override earlier ones.
    Returns:
      A DocumentError. If the document does not contain the value, the path
      starts with the path of the node in the tree.
    """
    names = _tree.split_path(error.node)
    field = f".settings.{error.field}" if error.field else ""
    path = f"{error.node} ${field}"
    for anchor in anchors:
        anchor_names = _tree.split_path(anchor.path)
        if names[: len(anchor_names)] != anchor_names:
            continue
        if anchor.settings_only:
            if names == anchor_names:
                path = f"{anchor.prefix}.{error.field}"
            continue
        below = "".join(
            f".children.{name}" for name in names[len(anchor_names) :]
        )
        path = f"{anchor.prefix}{below}{field}"
    return _checker.DocumentError(
        path=path, problem=error.problem, allowed=error.allowed
    )


def _to_rule_error(violation, path, origins):
    """Return the RuleError of a _Violation by the node at a path.

    Args:
      violation: a _Violation.
      path: path of the node whose merged settings were checked.
      origins: dict from dotted field name to the path of the node that sets
        it; see _tree.effective_settings.
    """
    allowed = violation.allowed
    if violation.cause:
        allowed = f"{allowed}, which {origins.get(violation.cause, path)} sets"
    return RuleError(
        node=origins.get(violation.field, path),
        field=violation.field,
        problem=violation.problem,
        allowed=allowed,
    )


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Violation:
    """A violation of a rule by the merged settings of one node.

    Attributes:
      field: dotted name of the field that violates the rule.
      cause: dotted name of the field that sets the bound, or "".
    """

    field: str
    problem: str
    allowed: str
    cause: str = ""


def _check_depth(path):
    levels = len(_tree.split_path(path))
    if levels > MAX_TREE_LEVELS:
        yield _Violation(
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
        yield _Violation(
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
        yield _Violation(
            field="routing.policy",
            problem=f"unknown policy {routing.policy[:64]!r}",
            allowed="one of " + ", ".join(policies),
        )


def _check_addresses(merged):
    names_by_address = {}
    for group_name, group in sorted(merged.groups.items()):
        for name, server in sorted(group.servers.items()):
            first = names_by_address.setdefault(
                server.address, f"{group_name}/{name}"
            )
            if first != f"{group_name}/{name}":
                yield _Violation(
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
            yield _Violation(
                field=f"match.{field}",
                problem=f"service {owner} has the same match: {key}",
                allowed="a match that no other service has",
            )
