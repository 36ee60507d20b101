"""Checks a change as a whole before it is accepted.

A document may be valid by itself and still contradict the rest of the tree,
for instance by matching the requests of another service.
"""

import re

from wigeonrouter import settings

_NAME = re.compile(r"[a-z0-9][a-z0-9-]{0,62}")


def check_changes(*, replica, changes, policies=None, pause=None):
    """Check the tree that changes would lead to.

    Only the changed nodes and their parents are copied and built, because a
    copy of the whole tree would cost more than the change.

    Args:
      replica: a Replica; it is not modified.
      changes: sequence of settings_pb2.Change.
      policies: names of the known policies, or None to accept any.
      pause: function to call between nodes; others may run meanwhile.
    Returns:
      A tuple of settings.DocumentError, empty where the changes are accepted.
    """
    errors = []
    pause = pause or _no_pause
    if not changes:
        errors.append(
            settings.DocumentError(
                path="/", problem="no change", allowed="at least one"
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
    prefixes = tuple(f"{path.rstrip('/')}/" for path in paths)
    matches = {
        key: path
        for path, service in replica.services.items()
        if not f"{path}/".startswith(prefixes)
        for _, key in settings.match_keys(service.match)
    }
    for error in settings.check_rules(
        root=tree, policies=policies, matches=matches, pause=pause
    ):
        errors.append(settings.locate_error(error=error, anchors=()))
    return tuple(errors)


def _no_pause():
    pass


def _normalize(path):
    return settings.join_path(settings.split_path(path))


def _check_path(change):
    names = settings.split_path(change.path)
    fits = (
        change.path.startswith("/")
        and len(names) <= settings.MAX_TREE_LEVELS
        and all(_NAME.fullmatch(name) for name in names)
    )
    if not fits:
        yield settings.DocumentError(
            path=change.path[:200],
            problem="bad path",
            allowed=f"at most {settings.MAX_TREE_LEVELS} names like "
            f"{_NAME.pattern}",
        )
    if change.WhichOneof("action") is None:
        yield settings.DocumentError(
            path=change.path[:200],
            problem="no action",
            allowed="node, settings or remove",
        )
