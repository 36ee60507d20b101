"""Validated access to the fields of untrusted JSON objects.

All functions raise FieldError for a missing or invalid value.
"""

import ipaddress
import re

from wigeonrouter import core

_DURATION = re.compile(r"([0-9]+(?:\.[0-9]+)?)(ms|s)")
_UNIT_S = {"ms": 0.001, "s": 1.0}
# Larger values are of no use and could overflow in calculations.
_MAX_INTEGER = 1 << 53
_MAX_DURATION_S = 1e9


class FieldError(ValueError):
    """A field is missing, has the wrong type or is out of range."""


def get_object(document, name):
    """Return the JSON object (a dict) in a field."""
    value = document.get(name)
    if not isinstance(value, dict):
        raise FieldError(f"{name}: not an object")
    return value


def get_string(document, name):
    """Return the non-empty string in a field."""
    value = document.get(name)
    if not isinstance(value, str) or not value:
        raise FieldError(f"{name}: not a non-empty string")
    return value


def get_integer(document, name, *, minimum=0, maximum=_MAX_INTEGER):
    """Return the integer from `minimum` to `maximum` in a field."""
    value = document.get(name)
    if (
        isinstance(value, bool)
        or not isinstance(value, int)
        or not minimum <= value <= maximum
    ):
        raise FieldError(
            f"{name}: not a whole number from {minimum} to {maximum}"
        )
    return value


def get_number(document, name, *, default=0):
    """Return the number, at least 0, in a field that may be missing."""
    value = document.get(name)
    if value is None:
        return default
    if (
        isinstance(value, bool)
        or not isinstance(value, int | float)
        or not 0 <= value <= _MAX_INTEGER
    ):
        raise FieldError(f"{name}: not a number from 0 to {_MAX_INTEGER}")
    return value


def get_duration(document, name):
    """Return the duration in a field, in seconds."""
    return parse_duration(get_string(document, name))


def parse_duration(text):
    """Parse a duration such as ``1500ms`` or ``6s`` into seconds."""
    match = _DURATION.fullmatch(text)
    if match is None:
        raise FieldError(f"{text!r} is not a duration such as 1500ms")
    seconds = float(match[1]) * _UNIT_S[match[2]]
    if seconds > _MAX_DURATION_S:
        raise FieldError(f"{text!r} is longer than {_MAX_DURATION_S:.0f} s")
    return seconds


def to_address(text):
    """Parse HOST:PORT, where HOST is an IPv4 address, into a core.Address."""
    try:
        parsed = core.parse_address(text)
    except ValueError as error:
        raise FieldError(str(error)) from error
    if not is_ipv4(parsed.host):
        raise FieldError(f"{text!r} has no IPv4 address")
    if not 0 < parsed.port < 65536:
        raise FieldError(f"{text!r} is not an address of the form HOST:PORT")
    return parsed


def is_ipv4(text):
    """Return whether a text is an IPv4 address."""
    try:
        ipaddress.IPv4Address(text)
    except ValueError:
        return False
    return True


def format_duration(seconds):
    """Format a duration in seconds as whole milliseconds, such as 1500ms."""
    return f"{round(seconds * 1000)}ms"
