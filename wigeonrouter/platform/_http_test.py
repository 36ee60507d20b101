"""Tests of headers of backend servers that cannot be used."""

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
