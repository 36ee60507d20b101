"""Parses the changes in a request body and validates them."""

from returns import pipeline
from returns import result

from wigeonrouter import selection
from wigeonrouter import settings
from wigeonrouter.administration import _access
from wigeonrouter.administration import _auth
from wigeonrouter.administration import _registry
from wigeonrouter.schema import settings_pb2

# Changes in one request. All changes of a revision are stored as one value of
# the store.
MAX_CHANGES = 1000
_ACTIONS = ("node", "settings", "remove")


def read_change(call, path):
    """Parse and validate a body that holds one node or its settings.

    With the query parameter ``only=settings`` the body holds settings.

    Args:
      call: a Call.
      path: path of the changed node.
    Returns:
      Success(settings_pb2.Change), including the tokens that the node keeps,
      or Failure(Problem).
    """
    settings_only = call.req.get_param("only", default="node") == "settings"
    anchor = settings.Anchor(path=path, settings_only=settings_only)
    document = call.document()
    if not pipeline.is_successful(document):
        return document
    return _build_change(call, anchor, document.unwrap()).bind(
        lambda change: check_changes(call, (change,), (anchor,)).map(
            lambda _: change
        )
    )


def read_changes(call):
    """Parse and validate a body that holds several changes.

    Returns:
      Success(tuple of settings_pb2.Change), or Failure(Problem).
    """
    decoded = call.document()
    if not pipeline.is_successful(decoded):
        return decoded
    items = decoded.unwrap()
    items = items.get("changes") if isinstance(items, dict) else None
    if not (isinstance(items, list) and 0 < len(items) <= MAX_CHANGES):
        return _invalid_document(
            "$.changes",
            "not a list of changes, or of the wrong length",
            f"1 to {MAX_CHANGES} changes",
        )
    changes, anchors = [], []
    for index, item in enumerate(items):
        prefix = f"$.changes[{index}]"
        built = _build_item(call, item, prefix)
        if not pipeline.is_successful(built):
            return built
        anchor, change = built.unwrap()
        changes.append(change)
        anchors.append(anchor)
    changes = tuple(changes)
    return (
        call.authorize(
            [(_auth.Role.OPERATOR, change.path) for change in changes]
        )
        .bind(lambda _: check_changes(call, changes, anchors))
        .map(lambda _: changes)
    )


def check_changes(call, changes, anchors):
    """Check the rules on the tree that the changes would result in.

    Args:
      call: a Call.
      changes: tuple of settings_pb2.Change.
      anchors: the settings.Anchors that locate errors in the document.
    Returns:
      Success(None), or Failure(Problem).
    """
    paths = [change.path for change in changes]
    root = settings.excerpt_tree(root=call.context.replica.root, paths=paths)
    settings.apply_in_place(root=root, changes=changes)
    errors = settings.check_rules(
        root=root,
        policies=selection.policy_names(),
        matches=_matches_outside(call.context.matches, paths),
        pause=_registry.TimeSlice().pause,
    )
    if not errors:
        return result.Success(None)
    return result.Failure(
        _registry.invalid_document(
            tuple(
                settings.locate_error(error=error, anchors=anchors)
                for error in errors
            )
        )
    )


def _matches_outside(matches, paths):
    """Return the matches of the services outside of the changed subtrees."""
    prefixes = tuple(f"{path.rstrip('/')}/" for path in paths)
    return {
        key: service
        for key, service in matches.items()
        if not f"{service}/".startswith(prefixes)
    }


def _build_item(call, item, prefix):
    """Parse one item of a list of changes.

    Args:
      call: a Call.
      item: the decoded item.
      prefix: JSON path of the item.
    Returns:
      Success((Anchor, Change)), or Failure(Problem).
    """
    if not isinstance(item, dict) or not isinstance(item.get("path"), str):
        return _invalid_document(
            prefix, "not an object with a path", "path and one action"
        )
    actions = sorted(key for key in item if key != "path")
    if len(actions) != 1 or actions[0] not in _ACTIONS:
        return _invalid_document(
            prefix,
            f"{len(actions)} keys besides path",
            "exactly one of " + ", ".join(_ACTIONS),
        )
    path = call.check_path(item["path"], f"{prefix}.path")
    name = actions[0]
    anchor = settings.Anchor(
        path=path,
        prefix=f"{prefix}.{name}",
        settings_only=name == "settings",
    )
    if name == "remove":
        if item["remove"] is not True:
            return _invalid_document(f"{prefix}.remove", "not true", "true")
        return result.Success(
            (anchor, settings_pb2.Change(path=path, remove=True))
        )
    return _build_change(call, anchor, item[name]).map(
        lambda change: (anchor, change)
    )


def _build_change(call, anchor, document):
    current = settings.find_node(
        root=call.context.replica.root, path=anchor.path
    )
    if anchor.settings_only:
        message_type = settings_pb2.Settings
    else:
        message_type = settings_pb2.Node
    built = settings.build_message(
        document=document,
        message_type=message_type,
        pause=_registry.TimeSlice().pause,
    )
    if not pipeline.is_successful(built):
        return result.Failure(
            _registry.invalid_document(
                tuple(
                    settings.DocumentError(
                        path=anchor.prefix + error.path[1:],
                        problem=error.problem,
                        allowed=error.allowed,
                    )
                    for error in built.failure()
                )
            )
        )
    message = built.unwrap()
    if not anchor.settings_only:
        _access.keep_access(
            message=message, document=document, current=current
        )
        return result.Success(
            settings_pb2.Change(path=anchor.path, node=message)
        )
    if current is not None:
        _access.keep_settings_access(
            message=message, document=document, current=current.settings
        )
    return result.Success(
        settings_pb2.Change(path=anchor.path, settings=message)
    )


def _invalid_document(path, problem, allowed):
    error = settings.DocumentError(path=path, problem=problem, allowed=allowed)
    return result.Failure(_registry.invalid_document((error,)))
