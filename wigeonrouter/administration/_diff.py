"""Computes the differences between two trees, field by field."""

import dataclasses
import itertools

from google.protobuf import descriptor
from google.protobuf import json_format

from wigeonrouter import settings
from wigeonrouter.schema import settings_pb2

# Limits the size of the response for trees that have little in common.
MAX_DIFFERENCES = 5000


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Difference:
    """One field with different values.

    Attributes:
      path: path of the node.
      field: dotted name of the field; "" for the node itself.
      before: JSON value in the first tree, None if absent.
      after: JSON value in the second tree, None if absent.
    """

    path: str
    field: str
    before: object
    after: object


def compare_nodes(*, before, after, path):
    """Compare two subtrees.

    Args:
      before: settings_pb2.Node, or None if there is no node.
      after: settings_pb2.Node, or None if there is no node.
      path: path of both.
    Returns:
      A tuple of at most MAX_DIFFERENCES + 1 Difference, ordered by path. The
      additional one shows that there are more than MAX_DIFFERENCES.
    """
    differences = _compare_trees(before, after, settings.split_path(path))
    return tuple(itertools.islice(differences, MAX_DIFFERENCES + 1))


def _compare_trees(before, after, names):
    pending = [(names, before, after)]
    while pending:
        names, old, new = pending.pop()
        # Skips equal subtrees fast: protobuf compares messages in C.
        if old == new:
            continue
        path = settings.join_path(names)
        if old is None or new is None:
            yield Difference(
                path=path,
                field="",
                before=None if old is None else "present",
                after=None if new is None else "present",
            )
        old = settings_pb2.Node() if old is None else old
        new = settings_pb2.Node() if new is None else new
        for field, old_value, new_value in _compare(
            old.settings, new.settings, ""
        ):
            yield Difference(
                path=path, field=field, before=old_value, after=new_value
            )
        for name in sorted({*old.children, *new.children}, reverse=True):
            pending.append(
                (
                    (*names, name),
                    old.children.get(name),
                    new.children.get(name),
                )
            )


def _compare(old, new, prefix):
    """Yield (dotted field, before, after) for two messages of one type."""
    for field in old.DESCRIPTOR.fields:
        name = f"{prefix}{field.name}"
        old_value, new_value = (
            getattr(old, field.name),
            getattr(new, field.name),
        )
        if field.type == descriptor.FieldDescriptor.TYPE_MESSAGE:
            if field.message_type.GetOptions().map_entry:
                yield from _compare_maps(old_value, new_value, f"{name}.")
            elif old_value != new_value:
                yield from _compare(old_value, new_value, f"{name}.")
        elif field.is_repeated:
            if list(old_value) != list(new_value):
                yield name, list(old_value) or None, list(new_value) or None
        else:
            old_value = old_value if old.HasField(field.name) else None
            new_value = new_value if new.HasField(field.name) else None
            if old_value != new_value:
                yield name, old_value, new_value


def _compare_maps(old, new, prefix):
    for key in sorted({*old, *new}):
        old_value = old[key] if key in old else None
        new_value = new[key] if key in new else None
        if old_value == new_value:
            continue
        if hasattr(old_value, "ListFields") and hasattr(
            new_value, "ListFields"
        ):
            yield from _compare(old_value, new_value, f"{prefix}{key}.")
        else:
            yield f"{prefix}{key}", _to_json(old_value), _to_json(new_value)


def _to_json(value):
    if hasattr(value, "ListFields"):
        return json_format.MessageToDict(
            value, preserving_proto_field_name=True
        )
    return value
