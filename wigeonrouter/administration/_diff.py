"""Compares two trees field by field."""

import dataclasses
import itertools

from google.protobuf import descriptor
from google.protobuf import json_format

from wigeonrouter import settings
from wigeonrouter.schema import settings_pb2

# Bounds the reply where two trees have little in common.
MAX_DIFFERENCES = 5000


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Difference:
    """One field that differs.

    Attributes:
      path: path of the node.
      field: dotted name of the field; "" for the node itself.
      before: JSON value, None where it is absent.
      after: JSON value, None where it is absent.
    """

    path: str
    field: str
    before: object
    after: object


def compare_nodes(*, before, after, path):
    """Compare two nodes and all below them.

    Args:
      before: settings_pb2.Node, or None where there is none.
      after: the same.
      path: path of both.
    Returns:
      A tuple of at most MAX_DIFFERENCES + 1 Difference, ordered by path.
    """
    found = _compare_trees(before, after, settings.split_path(path))
    return tuple(itertools.islice(found, MAX_DIFFERENCES + 1))


def _compare_trees(before, after, names):
    pending = [(names, before, after)]
    while pending:
        names, old, new = pending.pop()
        # Comparing whole messages in C skips what is equal.
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
        for field, was, became in _compare(old.settings, new.settings, ""):
            yield Difference(path=path, field=field, before=was, after=became)
        for name in sorted({*old.children, *new.children}, reverse=True):
            pending.append(
                (
                    (*names, name),
                    old.children.get(name),
                    new.children.get(name),
                )
            )


def _compare(old, new, prefix):
    """Yield (dotted field, before, after) of two messages of one type."""
    for field in old.DESCRIPTOR.fields:
        name = f"{prefix}{field.name}"
        was, became = getattr(old, field.name), getattr(new, field.name)
        if field.type == descriptor.FieldDescriptor.TYPE_MESSAGE:
            if field.message_type.GetOptions().map_entry:
                yield from _compare_maps(was, became, f"{name}.")
            elif was != became:
                yield from _compare(was, became, f"{name}.")
        elif field.is_repeated:
            if list(was) != list(became):
                yield name, list(was) or None, list(became) or None
        else:
            was = was if old.HasField(field.name) else None
            became = became if new.HasField(field.name) else None
            if was != became:
                yield name, was, became


def _compare_maps(old, new, prefix):
    for key in sorted({*old, *new}):
        was = old[key] if key in old else None
        became = new[key] if key in new else None
        if was == became:
            continue
        if hasattr(was, "ListFields") and hasattr(became, "ListFields"):
            yield from _compare(was, became, f"{prefix}{key}.")
        else:
            yield f"{prefix}{key}", _to_json(was), _to_json(became)


def _to_json(value):
    if hasattr(value, "ListFields"):
        return json_format.MessageToDict(
            value, preserving_proto_field_name=True
        )
    return value
