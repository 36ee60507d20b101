"""Actions that change settings or drain backend servers."""

import re

import falcon
import logbook
from returns import pipeline
from returns import result

from wigeonrouter import configuration
from wigeonrouter import core
from wigeonrouter import settings
from wigeonrouter.administration import _access
from wigeonrouter.administration import _auth
from wigeonrouter.administration import _changes
from wigeonrouter.administration import _problems
from wigeonrouter.administration import _read
from wigeonrouter.administration import _registry
from wigeonrouter.schema import settings_pb2

_LOG = logbook.Logger(__name__)
MAX_COMMENT_CHARACTERS = 1000
_CHANGE_ID = re.compile(r"[A-Za-z0-9._:-]{1,128}")
_OPERATOR = _auth.Role.OPERATOR


@_registry.action(method="PUT", target="/v1/config")
def replace(call):
    """Replace the node at a path, or only its settings."""
    path = call.path
    return (
        call.authorize([(_OPERATOR, path)])
        .bind(lambda _: _changes.read_change(call, path))
        .bind(lambda change: _propose(call, (change,)))
    )


@_registry.action(method="DELETE", target="/v1/config")
def remove(call):
    """Remove the subtree at a path."""
    path = call.path
    authorized = call.authorize([(_OPERATOR, path)])
    if not pipeline.is_successful(authorized):
        return authorized
    if settings.find_node(root=call.context.replica.root, path=path) is None:
        # The node is also missing if this request repeats an accepted removal.
        if call.context.replica.find_change(_read_change_id(call)) is None:
            return _node_not_found(path)
    return _propose(call, (settings_pb2.Change(path=path, remove=True),))


@_registry.action(method="POST", target="/v1/config/changes")
def change_nodes(call):
    """Apply several changes as one revision."""
    return _changes.read_changes(call).bind(
        lambda changes: _propose(call, changes)
    )


@_registry.action(method="POST", target="/v1/config/validate")
def validate(call):
    """Validate a document against the tree without applying it."""
    path = call.path
    return (
        call.authorize([(_auth.Role.READER, path)])
        .bind(lambda _: _changes.read_change(call, path))
        .map(
            lambda _: {
                "valid": True,
                "path": path,
                "revision": call.context.replica.revision,
            }
        )
    )


@_registry.action(method="POST", target="/v1/config/rollback")
def rollback(call):
    """Restore the node at a path from an earlier revision.

    The rollback is a new revision. Tokens are not restored; see
    adopt_access.
    """
    path, revision = call.path, call.revision("revision")
    authorized = call.authorize([(_OPERATOR, path)])
    if not pipeline.is_successful(authorized):
        return authorized
    retrieved = _read.find_node_at_revision(call, path, revision)
    if not pipeline.is_successful(retrieved):
        return retrieved
    node = retrieved.unwrap()
    change = settings_pb2.Change(path=path)
    if node is None:
        change.remove = True
    else:
        change.node.CopyFrom(node)
        _access.adopt_access(
            message=change.node,
            current=settings.find_node(
                root=call.context.replica.root, path=path
            ),
        )
    anchor = settings.Anchor(path=path)
    return _changes.check_changes(call, (change,), (anchor,)).bind(
        lambda _: _propose(call, (change,))
    )


@_registry.action(method="POST", target="/v1/drain")
def drain(call):
    """Start or end draining a backend server."""
    address = _parse_address(call.req.get_param("address", required=True))
    draining = call.req.get_param_as_bool("draining", default=True)
    services = [
        path
        for path, service in call.context.replica.services.items()
        if any(
            server.address.port == address.port
            and server.address.host == address.host
            for server in service.servers
        )
    ]
    if not services:
        return result.Failure(
            _problems.Problem(
                problem=_problems.NO_BACKEND_SERVER,
                detail=f"no service has a backend server at {address}",
            )
        )
    authorized = call.authorize([(_OPERATOR, path) for path in services])
    if not pipeline.is_successful(authorized):
        return authorized
    # Drains are not part of the settings history; this line is their record.
    _LOG.info(
        "drain",
        extra={
            "author": call.identity.name,
            "address": str(address),
            "draining": draining,
        },
    )
    call.context.daemon.drain_server(
        address=address, draining=draining, author=call.identity.name
    )
    return result.Success(
        {
            "address": str(address),
            "draining": draining,
            "services": sorted(services),
        }
    )


def _propose(call, changes):
    """Authorise changes and commit them as a new revision.

    Returns:
      Success(dict) with the revision, the change id and the daemons that
      acknowledged it, or Failure(Problem).
    Raises:
      falcon.HTTPInvalidParam: a query parameter is missing or invalid.
    """
    replica = call.context.replica
    change_id = _read_change_id(call)
    comment = call.req.get_param("comment", default="")
    if len(comment) > MAX_COMMENT_CHARACTERS:
        raise falcon.HTTPInvalidParam(
            f"allowed: at most {MAX_COMMENT_CHARACTERS} characters", "comment"
        )
    # The changes contain tokens copied from this daemon's tree at the time
    # the request arrived. A later revision must be a conflict, even if the
    # operator has seen it at another daemon, or it could restore a token that
    # the later revision revoked.
    base = min(
        call.revision("base", default=call.arrival_revision),
        call.arrival_revision,
    )
    rights = [(_OPERATOR, change.path) for change in changes]
    known = replica.find_change(change_id)
    if known is None:
        rights = _access.required_rights(root=replica.root, changes=changes)
    authorized = call.authorize(rights)
    if not pipeline.is_successful(authorized):
        return authorized
    if known is not None:
        return _confirm_change(call, known, changes, ())
    accepted = call.context.daemon.accept(
        configuration.Proposal(
            change_id=change_id,
            author=call.identity.name,
            base_revision=base,
            comment=comment,
            changes=changes,
        )
    )
    if not pipeline.is_successful(accepted):
        return result.Failure(_problem_of_failure(accepted.failure()))
    entry, acknowledged = accepted.unwrap()
    return _confirm_change(call, entry, changes, acknowledged)


def _confirm_change(call, entry, changes, acknowledged):
    """Check that the log entry of a change id is this operator's change.

    An entry without an author is no longer retained; only its change id and
    revision are known, so it is not checked.

    Returns:
      Success(dict), see _propose, or Failure(Problem).
    """
    is_other_change = entry.author and (
        entry.author != call.identity.name
        or _access.strip_access(entry.changes) != _access.strip_access(changes)
    )
    if is_other_change:
        return result.Failure(
            _problems.Problem(
                problem=_problems.CHANGE_ID_REUSED,
                detail="the change id belongs to another change; choose a "
                "new one",
                members={"change_id": entry.change_id},
            )
        )
    return result.Success(
        {
            "revision": entry.revision,
            "change_id": entry.change_id,
            "acknowledged_by": list(acknowledged),
        }
    )


def _problem_of_failure(failure):
    """Return the Problem for a failure of configuration.accept."""
    if isinstance(failure, configuration.Conflict):
        return _problems.Problem(
            problem=_problems.CONFLICT,
            detail=f"{failure.path} was changed by revision "
            f"{failure.current_revision}, after revision "
            f"{failure.base_revision}",
            members={
                "path": failure.path,
                "base_revision": failure.base_revision,
                "current_revision": failure.current_revision,
            },
        )
    if isinstance(failure, configuration.Undetermined):
        return _problems.Problem(
            problem=_problems.UNDETERMINED,
            detail="repeat the change with the same change id",
            members={"change_id": failure.change_id},
        )
    if isinstance(failure, configuration.InvalidChange):
        # Reached only if another change came after the validation above.
        return _registry.invalid_document(failure.errors)
    if isinstance(failure, configuration.TooLarge):
        return _registry.too_large(size=failure.size, limit=failure.limit)
    return _problems.Problem(
        problem=_problems.STORE_UNAVAILABLE, detail=failure.detail
    )


def _read_change_id(call):
    change_id = call.req.get_param("change_id", required=True)
    if not _CHANGE_ID.fullmatch(change_id):
        raise falcon.HTTPInvalidParam(
            f"allowed: text like {_CHANGE_ID.pattern}", "change_id"
        )
    return change_id


def _parse_address(text):
    if not settings.is_address(text):
        raise falcon.HTTPInvalidParam(
            "allowed: an IPv4 address and a port from 1 to 65535", "address"
        )
    return core.parse_address(text)


def _node_not_found(path):
    return result.Failure(
        _problems.Problem(
            problem=_problems.NO_NODE, detail=f"no node at {path}"
        )
    )
