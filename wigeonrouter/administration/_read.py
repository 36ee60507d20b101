"""Actions that read settings, history, differences and status."""

import dataclasses
import json

from google.protobuf import json_format
from returns import pipeline
from returns import result

from wigeonrouter import settings
from wigeonrouter.administration import _access
from wigeonrouter.administration import _auth
from wigeonrouter.administration import _changes
from wigeonrouter.administration import _diff
from wigeonrouter.administration import _problems
from wigeonrouter.administration import _registry

MAX_HISTORY_ENTRIES = 1024
_READER = _auth.Role.READER


@_registry.action(method="GET", target="/v1/config")
def show(call):
    """Return the node at a path."""
    return _node_at(call).map(lambda node: _encode_response(call, node))


@_registry.action(method="GET", target="/v1/config/effective")
def effective(call):
    """Return the settings of a node including those that it inherits."""
    return _node_at(call).map(lambda _: _render_effective(call))


@_registry.action(method="GET", target="/v1/config/history")
def history(call):
    """Return the retained revisions that affect a path, newest first."""
    path = call.path
    limit = call.req.get_param_as_int(
        "limit", default=50, min_value=1, max_value=MAX_HISTORY_ENTRIES
    )
    return call.authorize([(_READER, path)]).map(
        lambda _: {
            "revision": call.context.replica.revision,
            "oldest_revision": _oldest_revision(call.context.replica),
            "entries": _describe_entries(call, path, limit),
        }
    )


@_registry.action(method="GET", target="/v1/config/diff")
def diff_revisions(call):
    """Return the differences at a path between two retained revisions."""
    path = call.path
    revisions = (
        call.revision("from"),
        call.revision("to", default=call.context.replica.revision),
    )
    authorized = call.authorize([(_READER, path)])
    if not pipeline.is_successful(authorized):
        return authorized
    nodes = []
    for revision in revisions:
        retrieved = find_node_at_revision(call, path, revision)
        if not pipeline.is_successful(retrieved):
            return retrieved
        nodes.append(retrieved.unwrap())
    return result.Success(_render_diff(call, path, *nodes))


@_registry.action(method="POST", target="/v1/config/diff")
def diff_document(call):
    """Return the differences that a document would make at a path."""
    path = call.path
    authorized = call.authorize([(_READER, path)])
    if not pipeline.is_successful(authorized):
        return authorized
    return _changes.read_change(call, path).map(
        lambda change: _render_diff(
            call,
            path,
            settings.find_node(root=call.context.replica.root, path=path),
            settings.find_node(
                root=settings.apply_changes(
                    root=settings.excerpt_tree(
                        root=call.context.replica.root, paths=[path]
                    ),
                    changes=(change,),
                ),
                path=path,
            ),
        )
    )


@_registry.action(method="GET", target="/v1/status")
def status(call):
    """Return the state of the daemon and the traffic of its services.

    Services that the identity may not read are left out.
    """
    daemon = call.context.daemon
    return result.Success(
        {
            "daemon_id": daemon.settings.daemon_id,
            "revision": daemon.replica.revision,
            "ready": daemon.ready,
            "members": [
                {
                    "daemon_id": member.daemon_id,
                    "state": member.state.value,
                    "region": member.place.region,
                    "failure_domain": member.place.failure_domain,
                    "caller_address": str(member.caller_address),
                }
                for member in daemon.table.members
            ],
            "requests": [
                row
                for row in daemon.metrics.summary()
                if call.identity.has_role(
                    role=_READER, path=row["service"] or "/"
                )
            ],
        }
    )


def find_node_at_revision(call, path, revision):
    """Return a node as of a retained revision.

    Returns:
      Success(settings_pb2.Node), which the caller may modify; Success(None)
      if the node did not exist; or Failure(Problem).
    """
    replica = call.context.replica
    retained, node = replica.node_at(path=path, revision=revision)
    if retained:
        return result.Success(node)
    oldest, newest = _oldest_revision(replica), replica.revision
    return result.Failure(
        _problems.Problem(
            problem=_problems.REVISION_NOT_RETAINED,
            detail=f"revision {revision} is not retained; allowed: "
            f"{oldest} to {newest}",
            members={"oldest_revision": oldest, "current_revision": newest},
        )
    )


def _oldest_revision(replica):
    """Return the oldest revision available for comparison and rollback."""
    entries = replica.history()
    return entries[0].revision - 1 if entries else replica.revision


def _node_at(call):
    path = call.path
    authorized = call.authorize([(_READER, path)])
    if not pipeline.is_successful(authorized):
        return authorized
    node = settings.find_node(root=call.context.replica.root, path=path)
    if node is None:
        return result.Failure(
            _problems.Problem(
                problem=_problems.NO_NODE, detail=f"no node at {path}"
            )
        )
    return result.Success(node)


def _render_effective(call):
    path, replica = call.path, call.context.replica
    merged, origins = settings.effective_settings(root=replica.root, path=path)
    _access.redact_settings(message=merged, path=path, identity=call.identity)
    response = {
        "revision": replica.revision,
        "path": path,
        "settings": _to_dict(merged),
        "origins": {
            field: origin
            for field, origin in sorted(origins.items())
            if not field.startswith("access.") or merged.access
        },
    }
    service = replica.services.get(path)
    if service is not None:
        # Includes the built-in defaults; times are in seconds.
        response["in_force"] = {
            "routing": dataclasses.asdict(service.routing),
            "limits": dataclasses.asdict(service.limits),
            "retries": dataclasses.asdict(service.retries),
            "health": dataclasses.asdict(service.health),
        }
    return response


def _describe_entries(call, path, limit):
    described = []
    for entry in reversed(call.context.replica.history()):
        paths = [
            change.path
            for change in entry.changes
            if settings.paths_overlap(change.path, path)
        ]
        if not paths:
            continue
        described.append(
            {
                "revision": entry.revision,
                "change_id": entry.change_id,
                "author": entry.author,
                "time_ms": entry.time_ms,
                "base_revision": entry.base_revision,
                "comment": entry.comment,
                "paths": paths,
            }
        )
        if len(described) == limit:
            break
    return described


def _render_diff(call, path, before, after):
    nodes = [
        node
        and _access.redact_node(node=node, path=path, identity=call.identity)
        for node in (before, after)
    ]
    differences = _diff.compare_nodes(
        before=nodes[0], after=nodes[1], path=path
    )
    return {
        "path": path,
        "revision": call.context.replica.revision,
        "differences": [
            dataclasses.asdict(difference)
            for difference in differences[: _diff.MAX_DIFFERENCES]
        ],
        "truncated": len(differences) > _diff.MAX_DIFFERENCES,
    }


def _encode_response(call, node):
    pause = _registry.TimeSlice().pause
    path = call.path
    visible = _access.redact_node(
        node=node, path=path, identity=call.identity, pause=pause
    )
    return (
        f'{{"revision": {call.arrival_revision}, "path": {json.dumps(path)}, '
        f'"node": {_encode_node(visible, pause)}}}'
    )


def _encode_node(node, pause):
    """Encode a node as JSON, calling pause for each node."""
    parts = []
    if node.HasField("settings"):
        parts.append(f'"settings": {json.dumps(_to_dict(node.settings))}')
    pause()
    if node.children:
        children = ", ".join(
            f"{json.dumps(name)}: {_encode_node(child, pause)}"
            for name, child in sorted(node.children.items())
        )
        parts.append(f'"children": {{{children}}}')
    return f"{{{', '.join(parts)}}}"


def _to_dict(message):
    return json_format.MessageToDict(message, preserving_proto_field_name=True)
