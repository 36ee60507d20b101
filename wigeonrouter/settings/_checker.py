"""Checks JSON documents against the schema and its bounds.

The checker collects every error with its JSON path, what is wrong and what
is allowed, so that an operator can mend a document in one go.
"""

import dataclasses
import json
import re

from google.protobuf import descriptor
from google.protobuf import json_format
from returns import result

from wigeonrouter.schema import settings_pb2

# A tree deeper than this is a mistake, and unbounded recursion a hazard.
MAX_DEPTH = 64
# The store holds values up to 1 MB; a change has to fit with its envelope.
MAX_DOCUMENT_BYTES = 900_000

_Field = descriptor.FieldDescriptor
_INTEGER_RANGES = {
    _Field.TYPE_UINT32: (0, 2**32 - 1),
    _Field.TYPE_UINT64: (0, 2**64 - 1),
    _Field.TYPE_INT64: (-(2**63), 2**63 - 1),
}


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class DocumentError:
    """One mistake in a document.

    Attributes:
      path: JSON path, for instance ``$.settings.limits.max_queue``.
      problem: what is wrong.
      allowed: what would be accepted.
    """

    path: str
    problem: str
    allowed: str

    def __str__(self):
        return f"{self.path}: {self.problem}; allowed: {self.allowed}"


def parse_document(*, text, message_type):
    """Parse and check a JSON document.

    Args:
      text: the document, str or bytes.
      message_type: generated class, for instance settings_pb2.Node.
    Returns:
      Success(message), or Failure(tuple of DocumentError).
    """
    if len(text) > MAX_DOCUMENT_BYTES:
        return result.Failure(
            (
                DocumentError(
                    path="$",
                    problem=f"document of {len(text)} bytes is too large",
                    allowed=f"at most {MAX_DOCUMENT_BYTES} bytes",
                ),
            )
        )
    try:
        document = json.loads(text, object_pairs_hook=_unique_keys)
    except (ValueError, RecursionError) as error:
        return result.Failure(
            (
                DocumentError(
                    path="$",
                    problem=f"not readable as JSON: {error}",
                    allowed="one JSON object with unique keys",
                ),
            )
        )
    errors = check_document(document=document, message_type=message_type)
    if errors:
        return result.Failure(errors)
    return result.Success(json_format.ParseDict(document, message_type()))


def check_document(*, document, message_type):
    """Check a decoded document.

    Args:
      document: what json.loads returned.
      message_type: generated class.
    Returns:
      A tuple of DocumentError, empty where the document is accepted.
    """
    errors = []
    _check_message(document, message_type.DESCRIPTOR, "$", errors, 0)
    return tuple(errors)


def _unique_keys(pairs):
    keys = dict(pairs)
    if len(keys) != len(pairs):
        names = [key for key, _ in pairs]
        repeated = next(key for key in names if names.count(key) > 1)
        raise ValueError(f"key {repeated!r} stands twice")
    return keys


def _check_message(value, message, path, errors, depth):
    if depth > MAX_DEPTH:
        _add(errors, path, "nested too deep", f"at most {MAX_DEPTH} levels")
        return
    if not isinstance(value, dict):
        _add(errors, path, f"{_kind(value)} found", "an object")
        return
    for key, item in value.items():
        field = message.fields_by_name.get(key)
        if field is None:
            known = ", ".join(sorted(message.fields_by_name))
            _add(errors, f"{path}.{key}", "unknown key", known)
            continue
        _check_field(item, field, f"{path}.{key}", errors, depth)
    for field in message.fields:
        if _bounds(field).required and field.name not in value:
            _add(
                errors,
                f"{path}.{field.name}",
                "missing",
                _describe(field),
            )


def _check_field(value, field, path, errors, depth):
    if _is_map(field):
        _check_map(value, field, path, errors, depth)
    elif field.is_repeated:
        if not isinstance(value, list):
            _add(errors, path, f"{_kind(value)} found", "a list")
            return
        for index, item in enumerate(value):
            _check_single(item, field, f"{path}[{index}]", errors, depth)
    else:
        _check_single(value, field, path, errors, depth)


def _check_map(value, field, path, errors, depth):
    if not isinstance(value, dict):
        _add(errors, path, f"{_kind(value)} found", "an object")
        return
    pattern = _bounds(field).pattern
    value_field = field.message_type.fields_by_name["value"]
    for key, item in value.items():
        if pattern and not re.fullmatch(pattern, key):
            _add(errors, path, f"bad name {key!r}", f"names like {pattern}")
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
    bounds = _bounds(bounds_field)
    if field.type == _Field.TYPE_STRING:
        fits = isinstance(value, str)
        if fits and bounds.allowed:
            fits = value in bounds.allowed
        elif fits and bounds.pattern:
            fits = re.fullmatch(bounds.pattern, value) is not None
    elif field.type == _Field.TYPE_BOOL:
        fits = isinstance(value, bool)
    elif field.type in _INTEGER_RANGES:
        low, high = _INTEGER_RANGES[field.type]
        fits = type(value) is int and low <= value <= high
        fits = fits and _within(value, bounds)
    else:
        fits = type(value) in (int, float) and _within(value, bounds)
    if not fits:
        shown = json.dumps(value)
        if len(shown) > 40:
            shown = f"{shown[:40]}…"
        _add(errors, path, f"{shown} found", _describe(field, bounds))


def _within(value, bounds):
    if value != value or value in (float("inf"), float("-inf")):
        return False
    if bounds.HasField("min") and value < bounds.min:
        return False
    return not (bounds.HasField("max") and value > bounds.max)


def _describe(field, bounds=None):
    bounds = bounds or _bounds(field)
    if field.type == _Field.TYPE_STRING:
        if bounds.allowed:
            return "one of " + ", ".join(bounds.allowed)
        if bounds.pattern:
            return f"text like {bounds.pattern}"
        return "text"
    if field.type == _Field.TYPE_BOOL:
        return "true or false"
    kind = "a whole number" if field.type in _INTEGER_RANGES else "a number"
    if bounds.HasField("min") and bounds.HasField("max"):
        return f"{kind} from {bounds.min:g} to {bounds.max:g}"
    return kind


def _bounds(field):
    return field.GetOptions().Extensions[settings_pb2.bounds]


def _is_map(field):
    return (
        field.type == _Field.TYPE_MESSAGE
        and field.message_type.GetOptions().map_entry
    )


def _kind(value):
    if isinstance(value, dict):
        return "an object"
    if isinstance(value, list):
        return "a list"
    return json.dumps(value)[:40]


def _add(errors, path, problem, allowed):
    errors.append(DocumentError(path=path, problem=problem, allowed=allowed))
