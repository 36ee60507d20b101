"""Validation of a change against the whole tree, before it is accepted.

A document that is valid by itself may still conflict with the rest of the
tree, for instance by matching the same requests as another service.
"""

import re

from wigeonrouter import settings

_NAME_PATTERN = re.compile(r"[a-z0-9][a-z0-9-]{0,62}")


def check_changes(*, replica, changes, policies=None, pause=None):
    """Validate the tree that results from changes.

    Only the changed nodes and their ancestors are copied and built, because
    copying the whole tree would cost more than the change itself.

    Args:
      replica: a Replica; it is not modified.
      changes: sequence of settings_pb2.Change.
      policies: names of the known policies, or None to accept any.
      pause: function to call between nodes; it may let other tasks run.
    Returns:
      A tuple of settings.DocumentError, empty if the changes are valid.
    """
    errors = []
    pause = pause or _do_not_pause
    if not changes:
        errors.append(
            settings.DocumentError(
                path="/", problem="no changes", allowed="at least one change"
            )
        )
    for change in changes:
        errors += _check_path(change)
    if errors:
        return tuple(errors)
    paths = {_normalize(change.path) for change in changes}
    tree = settings.excerpt_tree(root=replica.root, paths=paths)
    settings.apply_in_place(root=tree, changes=changes)
    for changed in sorted(paths):
        for path, _ in settings.walk_services(tree, changed):
            pause()
            try:
                settings.build_service(root=tree, path=path)
            except ValueError as error:
                errors.append(
                    settings.DocumentError(
                        path=path,
                        problem=str(error),
                        allowed="settings that a service can be built from",
                    )
                )
    changed_prefixes = tuple(f"{path.rstrip('/')}/" for path in paths)
    other_matches = {
        key: path
        for path, service in replica.services.items()
        if not f"{path}/".startswith(changed_prefixes)
        for _, key in settings.match_keys(service.match)
    }
    for error in settings.check_rules(
        root=tree, policies=policies, matches=other_matches, pause=pause
    ):
        errors.append(settings.locate_error(error=error, anchors=()))
    return tuple(errors)


def _do_not_pause():
    pass


def _normalize(path):
    return settings.join_path(settings.split_path(path))


def _check_path(change):
    names = settings.split_path(change.path)
    is_valid = (
        change.path.startswith("/")
        and len(names) <= settings.MAX_TREE_LEVELS
        and all(_NAME_PATTERN.fullmatch(name) for name in names)
    )
    if not is_valid:
        yield settings.DocumentError(
            path=change.path[:200],
            problem="invalid path",
            allowed=f"at most {settings.MAX_TREE_LEVELS} names like "
            f"{_NAME_PATTERN.pattern}",
        )
    if change.WhichOneof("action") is None:
        yield settings.DocumentError(
            path=change.path[:200],
            problem="missing action",
            allowed="node, settings or remove",
        )
