"""Reads fields of untrusted JSON objects."""

import math
import re

from wigeonrouter import core

_TIME = re.compile(r"([0-9]+(?:\.[0-9]+)?)(ms|s)")
_UNIT_S = {"ms": 0.001, "s": 1.0}


class FieldError(ValueError):
    """A field is missing, has another type, or is out of its bounds."""


def table(value, name):
    """Return the dict at a field.

    Raises:
      FieldError: it is missing or something else.
    """
    found = value.get(name)
    if not isinstance(found, dict):
        raise FieldError(f"{name}: not a table")
    return found


def text(value, name):
    """Return the non-empty text at a field; raises FieldError."""
    found = value.get(name)
    if not isinstance(found, str) or not found:
        raise FieldError(f"{name}: not a text")
    return found


def number(value, name, *, least=0):
    """Return the whole number at a field; raises FieldError."""
    found = value.get(name)
    if isinstance(found, bool) or not isinstance(found, int) or found < least:
        raise FieldError(f"{name}: not a whole number of {least} or more")
    return found


def seconds(value, name):
    """Return the time at a field in seconds; raises FieldError."""
    return parse_time(text(value, name))


def parse_time(found):
    """Return the seconds that a text such as ``1500ms`` names.

    Raises:
      FieldError: the text has another form.
    """
    match = _TIME.fullmatch(found)
    if match is None or not math.isfinite(float(match[1])):
        raise FieldError(f"{found!r} is not a time")
    return float(match[1]) * _UNIT_S[match[2]]


def address(found):
    """Return the core.Address that a text names; raises FieldError."""
    try:
        parsed = core.parse_address(found)
    except ValueError as error:
        raise FieldError(str(error)) from error
    if not parsed.host or not 0 < parsed.port < 65536:
        raise FieldError(f"{found!r} is not an address")
    return parsed


def format_time(value):
    """Return the text that names a time in seconds."""
    return f"{round(value * 1000)}ms"
