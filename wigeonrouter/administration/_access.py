"""Authorisation of changes, and visibility of the tokens in the tree."""

from wigeonrouter import settings
from wigeonrouter.administration import _auth
from wigeonrouter.schema import settings_pb2


def required_rights(*, root, changes):
    """Return the rights that a set of changes requires.

    A change requires the role operator at its path, which covers the subtree
    that it replaces. At each node whose tokens it adds, modifies or removes,
    it requires the role admin as well.

    Args:
      root: settings_pb2.Node before the changes.
      changes: a sequence of settings_pb2.Change.
    Returns:
      A list of (Role, path).
    """
    rights = [(_auth.Role.OPERATOR, change.path) for change in changes]
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
            rights.append((_auth.Role.ADMIN, settings.join_path(names)))
        for name in {*old.children, *new.children}:
            pending.append(
                (
                    (*names, name),
                    _child_or_empty(old, name),
                    _child_or_empty(new, name),
                )
            )
    return rights


def keep_access(*, message, document, current):
    """Copy the tokens of nodes whose document omits ``access``.

    Tokens are hidden from readers, so a document that was read, edited and
    written back must not remove them.

    Args:
      message: settings_pb2.Node built from the document; it is modified.
      document: the decoded document.
      current: settings_pb2.Node in the tree now, or None.
    """
    pending = [(message, document, current)]
    while pending:
        new, node_document, old = pending.pop()
        if old is None:
            continue
        keep_settings_access(
            message=new.settings,
            document=node_document.get("settings", {}),
            current=old.settings,
        )
        for name, child in node_document.get("children", {}).items():
            pending.append((new.children[name], child, old.children.get(name)))


def keep_settings_access(*, message, document, current):
    """Copy the tokens of one node if its document omits ``access``.

    Args:
      message: settings_pb2.Settings built from the document; it is modified.
      document: the decoded document.
      current: settings_pb2.Settings in the tree now.
    """
    if "access" in document:
        return
    for name, token in current.access.items():
        message.access[name].CopyFrom(token)


def adopt_access(*, message, current):
    """Replace the tokens of a restored node by those in the tree now.

    A rollback that restored tokens as well would make revoked tokens valid
    again.

    Args:
      message: settings_pb2.Node of an earlier revision; it is modified.
      current: settings_pb2.Node in the tree now, or None.
    """
    pending = [(message, current)]
    while pending:
        restored, current_node = pending.pop()
        if restored.HasField("settings"):
            restored.settings.ClearField("access")
        if current_node is not None:
            keep_settings_access(
                message=restored.settings,
                document={},
                current=current_node.settings,
            )
        for name, child in restored.children.items():
            below = (
                None
                if current_node is None
                else current_node.children.get(name)
            )
            pending.append((child, below))


def redact_node(*, node, path, identity, pause=None):
    """Return a copy of a node without the tokens that an identity may not see.

    The tokens of a node are visible to its admins only.

    Args:
      node: settings_pb2.Node.
      path: path of the node.
      identity: the Identity that reads it.
      pause: function without arguments, called after each node, that lets
        other tasks run, or None.
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
    """Remove the tokens from the settings of a node unless for its admin.

    Args:
      message: settings_pb2.Settings; it is modified.
      path: path of the node.
      identity: the Identity that reads the settings.
    """
    if not identity.has_role(role=_auth.Role.ADMIN, path=path):
        message.ClearField("access")


def strip_access(changes):
    """Return a list of copies of the changes without tokens.

    Changes are compared without them, since the tokens that a change keeps
    depend on the tree at that time.
    """
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


def _child_or_empty(node, name):
    if name in node.children:
        return node.children[name]
    return settings_pb2.Node()
