"""Tests of headers of backend servers, also of unusable ones."""

import hypothesis
from hypothesis import strategies
import pytest

from wigeonrouter import http1
from wigeonrouter.platform import _http


def _read_load(value):
    response = http1.HttpResponse(
        status=200, headers=((b"server-load", value),), body=b""
    )
    return _http.HttpCodec().read_response(response).load


def test_load_is_read():
    """Guards against ignoring what servers report."""
    load = _read_load(b"3,1,8,250")
    assert (load.running, load.queued, load.slots) == (3, 1, 8)
    assert load.slowdown == 2.5


@pytest.mark.parametrize(
    "value",
    [
        b"nan,0,2",
        b"0,inf,2",
        b"0,0,-inf,100",
        b"0,0,2,nan",
        b"-1,0,2",
        b"1e300,0,2",
        b"0,0,2,1e300",
        b"9" * 400 + b",0,2",
        b"1,2",
        b"",
    ],
)
def test_absurd_load_is_no_report(value):
    """Guards against a load that fails each request to the server.

    The error was raised after the server had run the request, and it did not
    count as a failure of the server, which therefore got further requests.
    """
    assert _read_load(value) is None


@hypothesis.given(strategies.binary(max_size=40))
def test_any_load_is_read_or_ignored(value):
    """Guards against a load whose numbers overflow."""
    load = _read_load(value)
    if load is not None:
        assert load.running >= 0 and load.queued >= 0
        assert load.slots >= 1 and 0 < load.slowdown < 1e6


def _read_rate_limit(*values):
    response = http1.HttpResponse(
        status=200,
        headers=tuple((b"server-limit", value) for value in values),
        body=b"",
    )
    metadata = _http.HttpCodec().read_response(response)
    return metadata.rate_limit, metadata.rate_limit_valid


def test_rate_limit_is_read():
    """Guards against ignoring the limit that a server names."""
    assert _read_rate_limit(b"1.4") == (1.4, True)
    assert _read_rate_limit(b"0") == (0.0, True)
    assert _read_rate_limit() == (None, True)


def test_smallest_of_two_rate_limits_is_used():
    """Guards against overloading a server that names two limits."""
    assert _read_rate_limit(b"9", b"2.5") == (2.5, True)


@pytest.mark.parametrize(
    "value",
    [
        b"-1",
        b"nan",
        b"inf",
        b"1e9",
        b"1000000000000",
        b"1,2",
        b"+1",
        b"",
        b" ",
    ],
)
def test_absurd_rate_limit_is_neither_a_limit_nor_its_end(value):
    """Guards against a limit that ends because a header is malformed."""
    assert _read_rate_limit(value) == (None, False)
    assert _read_rate_limit(b"1.4", value) == (None, False)
