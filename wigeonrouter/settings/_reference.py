"""Renders the settings reference from the field options of the schema."""

from google.protobuf import descriptor

from wigeonrouter.schema import daemon_pb2
from wigeonrouter.schema import settings_pb2
from wigeonrouter.settings import _checker
from wigeonrouter.settings import _rules

_INTRODUCTION = """\
# Settings reference

`wigeonrouter reference` generates this page from the schema; a test checks
that it is current. `docs/OPERATIONS.md` says how settings are changed.

Documents are JSON objects in UTF-8 of at most {max_bytes} bytes. Unknown
keys, repeated keys and values out of bounds are errors. A node inherits the
settings of the nodes above it and overrides only what differs; lists are
replaced as a whole and maps are merged by key. `match` and `access` are not
inherited. A node with a `match` is a service.

Beyond the bounds of each field, these are errors:

* `default_timeout_ms` above `max_timeout_ms`, inherited values included;
* an unknown policy name;
* the same backend server address under two names in one service;
* two services with a common header value, host or path prefix;
* a tree of more than {max_levels} levels.

A document that leaves out `access` at a node keeps the tokens of that node;
`"access": {{}}` removes them.
"""


def render_reference():
    """Return the settings reference in Markdown, as a str."""
    parts = [
        _INTRODUCTION.format(
            max_bytes=_checker.MAX_DOCUMENT_BYTES,
            max_levels=_rules.MAX_TREE_LEVELS,
        ),
        "\n## The tree\n",
        *_render_messages(settings_pb2.Node.DESCRIPTOR),
        "\n## Daemon settings\n",
        *_render_messages(daemon_pb2.DaemonSettings.DESCRIPTOR),
    ]
    return "".join(parts)


def _render_messages(first):
    pending, done = [first], []
    while pending:
        message = pending.pop(0)
        if message in done:
            continue
        done.append(message)
        yield f"\n### {message.name}\n\n"
        yield "| key | type | allowed | meaning |\n|---|---|---|---|\n"
        for field in message.fields:
            kind, nested = _describe_type(field)
            bounds = _checker.bounds_of(field)
            allowed = _describe_allowed(field, bounds)
            if bounds.required:
                allowed = f"{allowed}; required" if allowed else "required"
            allowed = allowed.replace("|", "\\|")
            yield f"| `{field.name}` | {kind} | {allowed} | {bounds.about} |\n"
            if nested is not None:
                pending.append(nested)


def _describe_type(field):
    """Return (description of a field's type, its message type or None)."""
    if field.type == descriptor.FieldDescriptor.TYPE_MESSAGE:
        if not field.message_type.GetOptions().map_entry:
            return field.message_type.name, field.message_type
        value = field.message_type.fields_by_name["value"]
        kind, nested = _describe_type(value)
        return f"map from name to {kind}", nested
    kind = {
        descriptor.FieldDescriptor.TYPE_STRING: "text",
        descriptor.FieldDescriptor.TYPE_BOOL: "Boolean",
        descriptor.FieldDescriptor.TYPE_DOUBLE: "number",
    }.get(field.type, "whole number")
    return (f"list of {kind}" if field.is_repeated else kind), None


def _describe_allowed(field, bounds):
    if field.type != descriptor.FieldDescriptor.TYPE_MESSAGE:
        description = _checker.describe_field(field)
        if description.startswith("text like "):
            description = f"text like `{bounds.pattern}`"
        return "" if description in ("text", "a number") else description
    if not field.message_type.GetOptions().map_entry:
        return ""
    value = field.message_type.fields_by_name["value"]
    names = f"names like `{bounds.pattern}`" if bounds.pattern else ""
    if value.type == descriptor.FieldDescriptor.TYPE_MESSAGE:
        return names
    return _checker.describe_field(value, bounds)
