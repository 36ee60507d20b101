"""Validates JSON documents against the schema and the bounds in it.

Validation does not stop at the first error. It collects them, each with its
JSON path, the problem and the allowed values, so that an operator can correct
a document in one pass.
"""

import collections
import dataclasses
import functools
import ipaddress
import json
import re

from google.protobuf import descriptor
from google.protobuf import json_format
from returns import result

from wigeonrouter.schema import settings_pb2

# Levels of nested messages. Bounds the recursion of the checker; no useful
# document is nested deeper.
MAX_DEPTH = 64
# The store accepts values of up to 1 MB, and the log entry that holds a
# change adds to its size.
MAX_DOCUMENT_BYTES = 900_000
# Without this limit, the response to a large document full of errors would
# be many times its size. Nobody reads more errors at once.
MAX_ERRORS = 100
# Characters of a value or key that are quoted in an error.
_MAX_SHOWN_CHARACTERS = 40

_Field = descriptor.FieldDescriptor
_SURROGATE = re.compile("[\ud800-\udfff]")
_INTEGER_RANGES = {
    _Field.TYPE_UINT32: (0, 2**32 - 1),
    _Field.TYPE_UINT64: (0, 2**64 - 1),
    _Field.TYPE_INT64: (-(2**63), 2**63 - 1),
}


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class DocumentError:
    """One validation error of a document.

    Attributes:
      path: JSON path, for instance ``$.settings.limits.max_queue``.
      problem: what is wrong with the value at the path.
      allowed: description of the accepted values.
    """

    path: str
    problem: str
    allowed: str

    def __str__(self):
        return f"{self.path}: {self.problem}; allowed: {self.allowed}"


def parse_document(*, text, message_type):
    """Parse and validate a JSON document.

    Args:
      text: the document, str or UTF-8 bytes.
      message_type: generated message class, such as settings_pb2.Node.
    Returns:
      Success(message), or Failure(tuple of DocumentError).
    """
    return decode_document(text).bind(
        lambda document: build_message(
            document=document, message_type=message_type
        )
    )


def decode_document(text):
    """Decode a JSON document without validating it against a schema.

    Args:
      text: the document, str or UTF-8 bytes.
    Returns:
      Success(decoded value), or Failure(tuple of DocumentError).
    """
    if len(text) > MAX_DOCUMENT_BYTES:
        return _document_failure(
            problem=f"document of {len(text)} bytes is too large",
            allowed=f"at most {MAX_DOCUMENT_BYTES} bytes",
        )
    try:
        if isinstance(text, bytes):
            text = text.decode()
        document = json.loads(text, object_pairs_hook=_unique_keys)
    except (ValueError, RecursionError) as error:
        return _document_failure(
            problem=f"not readable as JSON: {error}",
            allowed="one JSON object in UTF-8 with unique keys",
        )
    return result.Success(document)


def build_message(*, document, message_type, pause=None):
    """Validate a decoded document and build its message.

    Args:
      document: decoded JSON value, see decode_document.
      message_type: generated message class.
      pause: function without arguments, called between nested messages, that
        lets other tasks run, or None. The largest documents take a third of
        a second, during which a daemon must go on serving requests.
    Returns:
      Success(message), or Failure(tuple of DocumentError).
    """
    errors = check_document(
        document=document, message_type=message_type, pause=pause
    )
    if errors:
        return result.Failure(errors)
    message = message_type()
    if pause is not None and message_type is settings_pb2.Node:
        _build_node(document, message, pause)
    else:
        json_format.ParseDict(document, message)
    return result.Success(message)


def _build_node(document, node, pause):
    pause()
    if "settings" in document:
        json_format.ParseDict(document["settings"], node.settings)
        node.settings.SetInParent()
    for name, child in document.get("children", {}).items():
        _build_node(child, node.children[name], pause)


def check_document(*, document, message_type, pause=None):
    """Validate a decoded document.

    Args:
      document: decoded JSON value.
      message_type: generated message class.
      pause: see build_message.
    Returns:
      A tuple of at most MAX_ERRORS DocumentError, empty if the document is
      valid.
    """
    errors = _Errors(pause=pause or (lambda: None))
    try:
        _check_message(document, message_type.DESCRIPTOR, "$", errors, 0)
    except _TooManyErrors:
        pass
    return tuple(errors.collected)


class _Errors:
    """Errors found so far in one document."""

    def __init__(self, *, pause):
        self.collected = []
        self.pause = pause


class _TooManyErrors(Exception):
    """Ends the validation once MAX_ERRORS errors have been found."""


def _document_failure(*, problem, allowed):
    return result.Failure(
        (DocumentError(path="$", problem=problem, allowed=allowed),)
    )


def _unique_keys(pairs):
    keys = dict(pairs)
    if len(keys) != len(pairs):
        counts = collections.Counter(key for key, _ in pairs)
        repeated = counts.most_common(1)[0][0]
        raise ValueError(f"key {_truncate(repr(repeated))} occurs twice")
    return keys


def _check_message(value, message, path, errors, depth):
    if depth > MAX_DEPTH:
        _add_error(
            errors, path, "nested too deeply", f"at most {MAX_DEPTH} levels"
        )
        return
    if not isinstance(value, dict):
        _add_error(
            errors, path, f"{_describe_value(value)} found", "an object"
        )
        return
    errors.pause()
    for key, item in value.items():
        field = message.fields_by_name.get(key)
        if field is None:
            known = ", ".join(sorted(message.fields_by_name))
            _add_error(
                errors, f"{path}.{_truncate(key)}", "unknown key", known
            )
            continue
        _check_field(item, field, f"{path}.{key}", errors, depth)
    for field in _list_required_fields(message):
        if field.name not in value:
            _add_error(
                errors,
                f"{path}.{field.name}",
                "missing",
                describe_field(field),
            )


@functools.cache
def _list_required_fields(message):
    return tuple(f for f in message.fields if bounds_of(f).required)


def _check_field(value, field, path, errors, depth):
    if _is_map(field):
        _check_map(value, field, path, errors, depth)
    elif field.is_repeated:
        if not isinstance(value, list):
            _add_error(
                errors, path, f"{_describe_value(value)} found", "a list"
            )
            return
        for index, item in enumerate(value):
            _check_single(item, field, f"{path}[{index}]", errors, depth)
    else:
        _check_single(value, field, path, errors, depth)


def _check_map(value, field, path, errors, depth):
    if not isinstance(value, dict):
        _add_error(
            errors, path, f"{_describe_value(value)} found", "an object"
        )
        return
    pattern = bounds_of(field).pattern
    value_field = field.message_type.fields_by_name["value"]
    for key, item in value.items():
        if pattern and not re.fullmatch(pattern, key):
            quoted_key = _truncate(repr(key))
            _add_error(
                errors,
                path,
                f"invalid name {quoted_key}",
                f"names like {pattern}",
            )
            continue
        if not _is_unicode(key):
            _add_error(errors, path, "invalid name", "valid Unicode text")
            continue
        if value_field.type == _Field.TYPE_MESSAGE:
            _check_single(
                item, value_field, f"{path}.{key}", errors, depth + 1
            )
        else:
            _check_scalar(item, value_field, field, f"{path}.{key}", errors)


def _check_single(value, field, path, errors, depth):
    if field.type == _Field.TYPE_MESSAGE:
        _check_message(value, field.message_type, path, errors, depth + 1)
    else:
        _check_scalar(value, field, field, path, errors)


def _check_scalar(value, field, bounds_field, path, errors):
    bounds = bounds_of(bounds_field)
    if field.type == _Field.TYPE_STRING:
        valid = isinstance(value, str) and _is_unicode(value)
        if valid and bounds.allowed:
            valid = value in bounds.allowed
        elif valid and bounds.pattern:
            valid = re.fullmatch(bounds.pattern, value) is not None
            if valid and bounds.pattern == _ADDRESS_PATTERN:
                valid = is_address(value)
    elif field.type == _Field.TYPE_BOOL:
        valid = isinstance(value, bool)
    elif field.type in _INTEGER_RANGES:
        low, high = _INTEGER_RANGES[field.type]
        valid = type(value) is int and low <= value <= high
        valid = valid and _is_within_bounds(value, bounds)
    else:
        valid = type(value) in (int, float) and _is_within_bounds(
            value, bounds
        )
    if not valid:
        _add_error(
            errors,
            path,
            f"{_describe_value(value)} found",
            describe_field(field, bounds),
        )


def _is_within_bounds(value, bounds):
    if value != value or value in (float("inf"), float("-inf")):
        return False
    if bounds.HasField("min") and value < bounds.min:
        return False
    return not (bounds.HasField("max") and value > bounds.max)


def describe_field(field, bounds=None):
    """Return a description of the values that a field accepts.

    Args:
      field: FieldDescriptor of a scalar field.
      bounds: settings_pb2.Bounds to describe instead of the field's own.
    """
    bounds = bounds or bounds_of(field)
    if field.type == _Field.TYPE_STRING:
        if bounds.allowed:
            return "one of " + ", ".join(bounds.allowed)
        if bounds.pattern == _ADDRESS_PATTERN:
            return "an IPv4 address and a port from 1 to 65535"
        if bounds.pattern:
            return f"text like {bounds.pattern}"
        return "text"
    if field.type == _Field.TYPE_BOOL:
        return "true or false"
    kind = "a whole number" if field.type in _INTEGER_RANGES else "a number"
    if bounds.HasField("min") and bounds.HasField("max"):
        return f"{kind} from {bounds.min:g} to {bounds.max:g}"
    return kind


@functools.cache
def bounds_of(field):
    """Return the Bounds option of a field; the caller must not modify it.

    Cached, because reading an option from the descriptor takes longer than
    all other checks of a value together.
    """
    return field.GetOptions().Extensions[settings_pb2.bounds]


@functools.cache
def _is_map(field):
    return (
        field.type == _Field.TYPE_MESSAGE
        and field.message_type.GetOptions().map_entry
    )


def _describe_value(value):
    if isinstance(value, dict):
        return "an object"
    if isinstance(value, list):
        return "a list"
    return _truncate(json.dumps(value))


def _truncate(text):
    return (
        text
        if len(text) <= _MAX_SHOWN_CHARACTERS
        else f"{text[:_MAX_SHOWN_CHARACTERS]}…"
    )


def _is_unicode(text):
    # JSON escapes can hold a lone surrogate, which UTF-8 cannot encode.
    return _SURROGATE.search(text) is None


def is_address(text):
    """Return whether a text is an IPv4 address with a port from 1 to 65535."""
    host, _, port = text.rpartition(":")
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return False
    return re.fullmatch("[0-9]{1,5}", port) is not None and (
        1 <= int(port) <= 65535
    )


def _add_error(errors, path, problem, allowed):
    errors.collected.append(
        DocumentError(path=path, problem=problem, allowed=allowed)
    )
    if len(errors.collected) >= MAX_ERRORS:
        raise _TooManyErrors()


# Fields with this pattern hold an address; is_address then checks its range.
_ADDRESS_PATTERN = bounds_of(
    settings_pb2.Server.DESCRIPTOR.fields_by_name["address"]
).pattern
