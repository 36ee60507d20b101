"""Tests of what identifies equal requests."""

import pytest

from wigeonrouter import http1
from wigeonrouter.node import _request_digest


def _digest(*, target=b"/a", body=b"x", headers=()):
    return _request_digest.compute(
        http1.HttpRequest(
            method=b"POST",
            target=target,
            headers=((b"host", b"shop.example"), *headers),
            body=body,
            keep_alive=True,
        )
    )


def test_request_that_comes_again_with_another_id_is_equal():
    """Guards against a request that is not recognised when it is repeated."""
    first, again = (
        _digest(headers=((b"request-id", number), (b"deadline-ms", number)))
        for number in (b"1", b"2")
    )
    assert first == again


@pytest.mark.parametrize(
    "changes",
    [
        {"target": b"/b"},
        {"target": b"/a?x=1"},
        {"body": b"y"},
        {"headers": ((b"authorization", b"Bearer other"),)},
        {"target": b"/ax", "body": b""},
    ],
)
def test_other_requests_differ(changes):
    """Guards against one request that is taken for another."""
    assert _digest() != _digest(**changes)


def test_long_bodies_differ_in_length_and_at_both_ends():
    """Guards against hashing a long body whole while other requests wait."""
    body = bytes(1 << 20)
    assert _digest(body=body) != _digest(body=body + b"\0")
    assert _digest(body=body) != _digest(body=b"x" + body[1:])
    assert _digest(body=body) != _digest(body=body[:-1] + b"x")
