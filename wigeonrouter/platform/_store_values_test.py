"""Tests of registrations that other writers have damaged."""

import json

import hypothesis
from hypothesis import strategies
import pytest

from wigeonrouter import placement
from wigeonrouter.platform import _fields
from wigeonrouter.platform import _store_values

REGIONS = {"za": "r1"}
_VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.text(max_size=20),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(
            strategies.text(max_size=8), inner, max_size=3
        )
    ),
    max_leaves=8,
)


def _document(**changes):
    document = {
        "address": "192.0.2.1:80",
        "info": {"service": "alpha", "zone": "za", "slots": 2},
        "status": {"state": "ready", "seq": 1, "warmup_left": "0ms"},
        "born": 1,
    }
    for path, value in changes.items():
        *outer, name = path.split("__")
        target = document
        for part in outer:
            target = target[part]
        target[name] = value
    return document


def _decode(document, instance="i-1"):
    return _store_values.decode_registration(
        instance, json.dumps(document).encode(), REGIONS
    )


def test_whole_registration_is_read():
    """Guards against checks that reject what servers write."""
    registration = _decode(_document())
    assert (registration.slots, registration.started_ms) == (2, 1)


@pytest.mark.parametrize(
    "changes",
    [
        {"info__slots": 10**400},
        {"info__slots": 1 << 40},
        {"status__seq": 10**400},
        {"born": 10**400},
        {"status__warmup_left": "9" * 300 + "s"},
        {"address": "server.example:80"},
        {"address": "a" * 70 + ".example:80"},
        {"address": "[::1]:80"},
        {"address": "1.2.3:80"},
    ],
)
def test_absurd_value_names_no_server(changes):
    """Guards against one registration that fails all requests of a service.

    A number of slots that no float can hold raised an error in the choice
    among the servers, and a name with a long label one while connecting.
    """
    with pytest.raises(_fields.FieldError):
        _decode(_document(**changes))


@pytest.mark.parametrize(
    "instance", ["", "i-1\r\nDeadline-Ms: 1", "i 1", "i-\u20ac", "i\x00"]
)
def test_instance_that_fits_no_header_names_no_server(instance):
    """Guards against an instance id that changes the request it is sent in."""
    with pytest.raises(_fields.FieldError):
        _decode(_document(), instance=instance)


@hypothesis.given(
    field=strategies.sampled_from(
        [
            "address",
            "info",
            "status",
            "born",
            "info__service",
            "info__zone",
            "info__slots",
            "status__state",
            "status__seq",
            "status__warmup_left",
        ]
    ),
    value=_VALUES,
)
def test_any_value_is_rejected_or_usable(field, value):
    """Guards against a value that raises an error later, while it is used."""
    try:
        registration = _decode(_document(**{field: value}))
    except _fields.FieldError:
        return
    view = placement.ServerView(
        instance=registration.instance,
        locality=placement.Locality.DOMAIN,
        slots=registration.slots,
        slow_start_until=registration.slow_start,
    )
    latency = placement.expected_latency(
        view, service_time=0.1, mean_slowdown=1.5, now=0.0
    )
    assert 0 < latency < 1


@hypothesis.given(strategies.binary(max_size=60))
def test_any_bytes_are_rejected(value):
    """Guards against bytes that raise something else than a FieldError."""
    with pytest.raises(_fields.FieldError):
        _store_values.decode_registration("i-1", value, REGIONS)
