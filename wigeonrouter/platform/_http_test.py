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


def _read_statements(*headers, status=503):
    response = http1.HttpResponse(
        status=status,
        headers=((b"not-executed", b"1"), *headers),
        body=b"",
    )
    return _http.HttpCodec().read_response(response)


def test_requested_pause_is_read_from_rejections_only():
    """Guards against pauses that a server's own response asks callers for."""
    assert _read_statements((b"retry-after", b"2.5")).pause == 2.5
    assert _read_statements((b"retry-after", b"3"), status=429).pause is None
    response = http1.HttpResponse(
        status=503, headers=((b"retry-after", b"3"),), body=b""
    )
    assert _http.HttpCodec().read_response(response).pause is None


@pytest.mark.parametrize(
    "value",
    [
        b"-1",
        b"nan",
        b"1e999",
        b"86400",
        b"",
        b"Wed, 21 Oct 2026 07:28:00 GMT",
    ],
)
def test_absurd_pause_is_ignored(value):
    """Guards against a server that is left out for hours by mistake."""
    metadata = _read_statements((b"retry-after", value))
    assert metadata.pause is None
    assert metadata.invalid_statements == ("retry-after",)
    assert _read_statements(
        (b"retry-after", b"1"), (b"retry-after", b"2")
    ).invalid_statements == ("retry-after",)


@pytest.mark.parametrize(
    ("values", "leaving", "invalid"),
    [
        ([], False, ()),
        ([b"1"], True, ()),
        ([b"1", b"1"], True, ()),
        ([b"0"], False, ()),
        ([b"1", b"0"], False, ("server-leaving",)),
        ([b"yes"], False, ("server-leaving",)),
        ([b""], False, ("server-leaving",)),
    ],
)
def test_only_a_valid_statement_says_that_a_server_leaves(
    values, leaving, invalid
):
    """Guards against servers that are lost because of a malformed header."""
    metadata = _read_statements(
        *((b"server-leaving", value) for value in values), status=200
    )
    assert metadata.leaving == leaving
    assert metadata.invalid_statements == invalid


@pytest.mark.parametrize(
    ("values", "seconds"),
    [
        ([], 0.0),
        ([b"0"], 0.0),
        ([b"1500"], 1.5),
        ([b"1500", b"200.5"], 1.5),
        ([b"-1"], None),
        ([b"soon"], None),
        ([b""], None),
        ([b"600001"], None),
        ([b"200", b"nan"], None),
    ],
)
def test_slow_start_that_a_server_states(values, seconds):
    """Guards against a cold server that counts as warm, or is never used."""
    metadata = _http.HttpCodec().read_response(
        http1.HttpResponse(
            status=200,
            headers=tuple((b"warmup-ms", value) for value in values),
            body=b"",
        )
    )
    assert metadata.slow_start == seconds
    invalid = ("warmup-ms",) if seconds is None else ()
    assert metadata.invalid_statements == invalid
