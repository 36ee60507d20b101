"""The settings tree: paths, changes and inheritance."""

import dataclasses
import functools

from google.protobuf import descriptor

from wigeonrouter.schema import settings_pb2

# These describe one node; children do not inherit them.
NOT_INHERITED = frozenset(("match", "access"))


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class MissingNode:
    """A path names a node that does not exist."""

    path: str

    def __str__(self):
        return f"no node at {self.path}"


def split_path(path):
    """Split a path such as ``/a/b`` into its names; ``/`` gives none."""
    return tuple(name for name in path.split("/") if name)


def join_path(names):
    """Return the path of the given names."""
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
    """Return a new tree with the changes applied.

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
    """Apply changes to a tree that the caller owns; see apply_changes.

    Copying a tree of 15,000 backend servers for each change would cost more
    processor time than the change itself.
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
    """Return the Change that takes back a change, or None.

    Args:
      root: settings_pb2.Node before the change.
      change: settings_pb2.Change.
    Returns:
      A settings_pb2.Change, or None where the change does nothing.
    """
    names = split_path(change.path)
    removal = change.WhichOneof("action") == "remove"
    node = root
    for depth, name in enumerate(names):
        if name not in node.children:
            if removal:
                return None
            # The change creates this node and all below it.
            return settings_pb2.Change(
                path=join_path(names[: depth + 1]), remove=True
            )
        node = node.children[name]
    if change.WhichOneof("action") == "settings":
        return settings_pb2.Change(path=change.path, settings=node.settings)
    return settings_pb2.Change(path=change.path, node=node)


def paths_overlap(first, second):
    """Return whether one path is that of the other or of its ancestor."""
    first, second = split_path(first), split_path(second)
    shorter = min(len(first), len(second))
    return first[:shorter] == second[:shorter]


def effective_settings(*, root, path):
    """Merge the settings of a node with all that it inherits.

    Args:
      root: settings_pb2.Node.
      path: path of an existing node.
    Returns:
      A pair: the merged settings_pb2.Settings, and a dict that gives for
      each dotted field name the path of the node that set it.
    """
    merged = settings_pb2.Settings()
    origins = {}
    for origin, node, skipped in _inheritance(root, path):
        _merge(merged, node.settings, skipped)
        _note_origins(node.settings, origin, origins, "", skipped)
    return merged, origins


def merge_settings(*, root, path):
    """Merge the settings of a node without origins; see effective_settings.

    Noting origins takes most of the time, which a change of the root would
    need for each of its services.
    """
    merged = settings_pb2.Settings()
    for _, node, skipped in _inheritance(root, path):
        _merge(merged, node.settings, skipped)
    return merged


def walk_services(root, path="/"):
    """Yield (path, node) of each service at or below a path.

    The order is depth first by name; a missing node has no services.
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

    Merging along the way costs one merge per node, where calling
    merge_settings for each would repeat those of the ancestors.
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
        below = settings_pb2.Settings()
        below.CopyFrom(merged)
        for name in NOT_INHERITED:
            below.ClearField(name)
        for name in sorted(node.children, reverse=True):
            pending.append((names + (name,), node.children[name], below))


def excerpt_tree(*, root, paths):
    """Copy the part of a tree that a change at the given paths concerns.

    Copying and checking a tree of 15,000 backend servers for each change
    would cost more than the change.

    Returns:
      A settings_pb2.Node with all at and below each path, and the settings
      of the nodes above.
    """
    excerpt = settings_pb2.Node()
    whole = set()
    for path in sorted(paths, key=lambda path: len(split_path(path))):
        names = split_path(path)
        if any(names[:depth] in whole for depth in range(len(names) + 1)):
            continue
        source, target = root, excerpt
        for name in names:
            target.settings.CopyFrom(source.settings)
            if name not in source.children:
                break
            source, target = source.children[name], target.children[name]
        else:
            target.CopyFrom(source)
            whole.add(names)
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
    """Yield (path, node, names of skipped fields) from the root to a node."""
    node, names = root, split_path(path)
    for depth in range(len(names) + 1):
        if depth:
            node = node.children[names[depth - 1]]
        skipped = NOT_INHERITED if depth < len(names) else frozenset()
        yield join_path(names[:depth]), node, skipped


def _merge(target, source, skipped=frozenset()):
    """Override fields of a message by those that another one sets.

    A part that the target does not have is copied as a whole.
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


def _note_origins(source, origin, origins, prefix, skipped=frozenset()):
    """Note the origin of each field that a message sets."""
    for field, value in source.ListFields():
        if field.name in skipped:
            continue
        name = f"{prefix}{field.name}"
        if _is_map(field):
            for key, item in value.items():
                if hasattr(item, "ListFields"):
                    _note_origins(item, origin, origins, f"{name}.{key}.")
                else:
                    origins[f"{name}.{key}"] = origin
        elif (
            field.type == descriptor.FieldDescriptor.TYPE_MESSAGE
            and not field.is_repeated
        ):
            _note_origins(value, origin, origins, f"{name}.")
        else:
            origins[name] = origin


@functools.cache
def _is_map(field):
    return (
        field.type == descriptor.FieldDescriptor.TYPE_MESSAGE
        and field.message_type.GetOptions().map_entry
    )
