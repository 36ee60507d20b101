"""What a change needs to be authorised for, and what readers may see."""

from wigeonrouter import settings
from wigeonrouter.administration import _auth
from wigeonrouter.schema import settings_pb2


def required_rights(*, root, changes):
    """Return the rights that a set of changes needs.

    A change needs the role operator at its path, which covers all that it
    replaces below. Wherever it adds, alters or removes tokens, it needs the
    role admin at that node as well.

    Args:
      root: settings_pb2.Node before the changes.
      changes: a sequence of settings_pb2.Change.
    Returns:
      A list of (Role, path).
    """
    needed = [(_auth.Role.OPERATOR, change.path) for change in changes]
    before = settings.excerpt_tree(
        root=root, paths=[change.path for change in changes]
    )
    after = settings.apply_changes(root=before, changes=changes)
    pending = [((), before, after)]
    while pending:
        names, old, new = pending.pop()
        if old == new:
            continue
        if old.settings.access != new.settings.access:
            needed.append((_auth.Role.ADMIN, settings.join_path(names)))
        for name in {*old.children, *new.children}:
            pending.append(
                (
                    (*names, name),
                    _child(old, name),
                    _child(new, name),
                )
            )
    return needed


def keep_access(*, message, document, current):
    """Carry over the tokens of nodes whose document leaves out ``access``.

    Readers do not see tokens, so a document that was read, edited and sent
    back must not remove them.

    Args:
      message: settings_pb2.Node built from the document; it is modified.
      document: the decoded document.
      current: settings_pb2.Node now in the tree, or None.
    """
    pending = [(message, document, current)]
    while pending:
        new, written, old = pending.pop()
        if old is None:
            continue
        keep_settings_access(
            message=new.settings,
            document=written.get("settings", {}),
            current=old.settings,
        )
        for name, child in written.get("children", {}).items():
            pending.append((new.children[name], child, old.children.get(name)))


def keep_settings_access(*, message, document, current):
    """Do the same for the settings of one node; see keep_access."""
    if "access" in document:
        return
    for name, token in current.access.items():
        message.access[name].CopyFrom(token)


def adopt_access(*, message, current):
    """Give a restored node the tokens that the tree has now.

    Restoring tokens along with settings would bring revoked ones back.

    Args:
      message: settings_pb2.Node of an earlier revision; it is modified.
      current: settings_pb2.Node now in the tree, or None.
    """
    pending = [(message, current)]
    while pending:
        restored, now = pending.pop()
        if restored.HasField("settings"):
            restored.settings.ClearField("access")
        if now is not None:
            keep_settings_access(
                message=restored.settings, document={}, current=now.settings
            )
        for name, child in restored.children.items():
            below = None if now is None else now.children.get(name)
            pending.append((child, below))


def redact_node(*, node, path, identity, pause=None):
    """Return a copy of a node without the tokens of other teams.

    Only admins of a node see its tokens. Between the nodes, pause is called
    where it is given.
    """
    copy = settings_pb2.Node()
    copy.CopyFrom(node)
    pending = [(settings.split_path(path), copy)]
    while pending:
        names, current = pending.pop()
        if current.HasField("settings") and current.settings.access:
            redact_settings(
                message=current.settings,
                path=settings.join_path(names),
                identity=identity,
            )
        for name, child in current.children.items():
            pending.append(((*names, name), child))
        if pause is not None:
            pause()
    return copy


def redact_settings(*, message, path, identity):
    """Remove the tokens of one node's settings, unless for its admin."""
    if not identity.may(role=_auth.Role.ADMIN, path=path):
        message.ClearField("access")


def without_access(changes):
    """Return copies of changes without any tokens, for comparison."""
    copies = []
    for change in changes:
        copy = settings_pb2.Change()
        copy.CopyFrom(change)
        if copy.HasField("settings"):
            copy.settings.ClearField("access")
        pending = [copy.node] if copy.HasField("node") else []
        while pending:
            node = pending.pop()
            node.settings.ClearField("access")
            if not node.settings.ByteSize():
                node.ClearField("settings")
            pending.extend(node.children.values())
        copies.append(copy)
    return copies


def _child(node, name):
    if name in node.children:
        return node.children[name]
    return settings_pb2.Node()
