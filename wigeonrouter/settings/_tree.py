"""The settings tree: paths, changes and inheritance."""

import dataclasses
import functools

from google.protobuf import descriptor

from wigeonrouter.schema import settings_pb2

# Fields of Settings that apply to one node and not to its children.
NOT_INHERITED = frozenset(("match", "access"))


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class MissingNode:
    """There is no node at a path."""

    path: str

    def __str__(self):
        return f"no node at {self.path}"


def split_path(path):
    """Return the names of a path such as ``/a/b``; ``/`` has none."""
    return tuple(name for name in path.split("/") if name)


def join_path(names):
    """Return the path with the given names, the inverse of split_path."""
    return "/" + "/".join(names)


def find_node(*, root, path):
    """Return the node at a path, or None."""
    node = root
    for name in split_path(path):
        if name not in node.children:
            return None
        node = node.children[name]
    return node


def apply_changes(*, root, changes):
    """Return a copy of a tree with changes applied.

    Args:
      root: settings_pb2.Node; it is not modified.
      changes: an iterable of settings_pb2.Change. Missing parents of a
        changed node are created; removing a missing node does nothing.
    Returns:
      A settings_pb2.Node.
    """
    tree = settings_pb2.Node()
    tree.CopyFrom(root)
    apply_in_place(root=tree, changes=changes)
    return tree


def apply_in_place(*, root, changes):
    """Apply changes to a tree without copying it; see apply_changes.

    Copying a tree of 15,000 backend servers takes more processor time than
    the change itself. The caller must own the tree.
    """
    for change in changes:
        names = split_path(change.path)
        if change.WhichOneof("action") == "remove":
            _remove(root, names)
            continue
        node = root
        for name in names:
            node = node.children[name]
        if change.WhichOneof("action") == "settings":
            node.settings.CopyFrom(change.settings)
        else:
            node.CopyFrom(change.node)


def undo_change(*, root, change):
    """Return the Change that reverts a change.

    Args:
      root: settings_pb2.Node before the change.
      change: settings_pb2.Change.
    Returns:
      A settings_pb2.Change, or None if the change removes a missing node and
      so has no effect.
    """
    names = split_path(change.path)
    removal = change.WhichOneof("action") == "remove"
    node = root
    for depth, name in enumerate(names):
        if name not in node.children:
            if removal:
                return None
            # The change creates this node and those below it.
            return settings_pb2.Change(
                path=join_path(names[: depth + 1]), remove=True
            )
        node = node.children[name]
    if change.WhichOneof("action") == "settings":
        return settings_pb2.Change(path=change.path, settings=node.settings)
    return settings_pb2.Change(path=change.path, node=node)


def paths_overlap(first, second):
    """Return whether two paths are equal or one is an ancestor's."""
    first, second = split_path(first), split_path(second)
    shorter = min(len(first), len(second))
    return first[:shorter] == second[:shorter]


def effective_settings(*, root, path):
    """Merge the settings of a node with those that it inherits.

    Args:
      root: settings_pb2.Node.
      path: path of an existing node.
    Returns:
      A pair: the merged settings_pb2.Settings, and a dict from dotted field
      name to the path of the node that sets the value.
    """
    merged = settings_pb2.Settings()
    origins = {}
    for origin, node, skipped in _inheritance(root, path):
        _merge(merged, node.settings, skipped)
        _record_origins(node.settings, origin, origins, "", skipped)
    return merged, origins


def merge_settings(*, root, path):
    """Merge the settings of a node without their origins.

    Recording the origins takes most of the time of effective_settings. A
    change of the root has to merge the settings of every service.
    """
    merged = settings_pb2.Settings()
    for _, node, skipped in _inheritance(root, path):
        _merge(merged, node.settings, skipped)
    return merged


def walk_services(root, path="/"):
    """Yield (path, node) of each service at or below a path.

    The order is depth first, by name. Yields nothing if there is no node at
    the path.
    """
    start = find_node(root=root, path=path)
    pending = [] if start is None else [(split_path(path), start)]
    while pending:
        names, node = pending.pop()
        if node.settings.HasField("match"):
            yield join_path(names), node
        for name in sorted(node.children, reverse=True):
            pending.append((names + (name,), node.children[name]))


def walk_effective(root):
    """Yield (path, merged settings) of each node, parents first.

    Takes one merge per node, while merge_settings merges all ancestors of a
    node again.
    """
    pending = [((), root, settings_pb2.Settings())]
    while pending:
        names, node, inherited = pending.pop()
        merged = settings_pb2.Settings()
        merged.CopyFrom(inherited)
        _merge(merged, node.settings, frozenset())
        yield join_path(names), merged
        if not node.children:
            continue
        inherited_below = settings_pb2.Settings()
        inherited_below.CopyFrom(merged)
        for name in NOT_INHERITED:
            inherited_below.ClearField(name)
        for name in sorted(node.children, reverse=True):
            pending.append(
                (names + (name,), node.children[name], inherited_below)
            )


def excerpt_tree(*, root, paths):
    """Copy the part of a tree that changes at the given paths affect.

    Copying and checking a tree of 15,000 backend servers would take more
    processor time than the change itself.

    Args:
      root: settings_pb2.Node.
      paths: paths of the changed nodes.
    Returns:
      A settings_pb2.Node with the subtree at each path and the settings of
      its ancestors.
    """
    excerpt = settings_pb2.Node()
    copied = set()
    for path in sorted(paths, key=lambda path: len(split_path(path))):
        names = split_path(path)
        if any(names[:depth] in copied for depth in range(len(names) + 1)):
            continue
        source, target = root, excerpt
        for name in names:
            target.settings.CopyFrom(source.settings)
            if name not in source.children:
                break
            source, target = source.children[name], target.children[name]
        else:
            target.CopyFrom(source)
            copied.add(names)
    return excerpt


def _remove(tree, names):
    if not names:
        tree.Clear()
        return
    node = tree
    for name in names[:-1]:
        if name not in node.children:
            return
        node = node.children[name]
    if names[-1] in node.children:
        del node.children[names[-1]]


def _inheritance(root, path):
    """Yield (path, node, fields not to inherit) from the root to a node."""
    node, names = root, split_path(path)
    for depth in range(len(names) + 1):
        if depth:
            node = node.children[names[depth - 1]]
        skipped = NOT_INHERITED if depth < len(names) else frozenset()
        yield join_path(names[:depth]), node, skipped


def _merge(target, source, skipped=frozenset()):
    """Merge the fields set in one message into another.

    Lists are replaced, and maps are merged by key. A submessage that the
    target lacks is copied as a whole.
    """
    for field, value in source.ListFields():
        name = field.name
        if name in skipped:
            continue
        if _is_map(field):
            _merge_map(getattr(target, name), value)
        elif field.is_repeated:
            target.ClearField(name)
            getattr(target, name).extend(value)
        elif field.type == descriptor.FieldDescriptor.TYPE_MESSAGE:
            if target.HasField(name):
                _merge(getattr(target, name), value)
            else:
                getattr(target, name).CopyFrom(value)
        else:
            setattr(target, name, value)


def _merge_map(target, source):
    for key, value in source.items():
        if not hasattr(value, "ListFields"):
            target[key] = value
        elif key in target:
            _merge(target[key], value)
        else:
            target[key].CopyFrom(value)


def _record_origins(source, origin, origins, prefix, skipped=frozenset()):
    """Record the path of the node that sets each field of a message.

    Args:
      source: message whose fields are recorded.
      origin: path of the node that holds it.
      origins: dict from dotted field name to path; it is modified.
      prefix: prefix of the field names, "" or ending in a dot.
      skipped: names of the fields to leave out.
    """
    for field, value in source.ListFields():
        if field.name in skipped:
            continue
        name = f"{prefix}{field.name}"
        if _is_map(field):
            for key, item in value.items():
                if hasattr(item, "ListFields"):
                    _record_origins(item, origin, origins, f"{name}.{key}.")
                else:
                    origins[f"{name}.{key}"] = origin
        elif (
            field.type == descriptor.FieldDescriptor.TYPE_MESSAGE
            and not field.is_repeated
        ):
            _record_origins(value, origin, origins, f"{name}.")
        else:
            origins[name] = origin


@functools.cache
def _is_map(field):
    return (
        field.type == descriptor.FieldDescriptor.TYPE_MESSAGE
        and field.message_type.GetOptions().map_entry
    )
