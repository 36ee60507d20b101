"""Fuzz tests of the readers with split and corrupted messages.

Guards against request smuggling and against truncated or corrupt responses
that are accepted. Requests and response bodies are compared with those of a
simple reference parser that works on the complete input.
"""

import random
import re

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
import pytest

from wigeonrouter import core
from wigeonrouter.http1 import _messages
from wigeonrouter.http1 import _request_reader
from wigeonrouter.http1 import _response_reader

_MAX_BODY = 1000
_FUZZ_SEED = 20261204
_FUZZ_ROUNDS = 4000
# Smallest number of valid mutations; with fewer the comparison proves nothing.
_MIN_ACCEPTED = 100
_BODIES = strategies.binary(max_size=60)
_SPLITS = strategies.lists(strategies.integers(1, 30), max_size=60)


def _chunked(body, sizes):
    parts = []
    while body:
        size = sizes[len(parts) % len(sizes)]
        parts.append(b"%x\r\n%b\r\n" % (len(body[:size]), body[:size]))
        body = body[size:]
    return b"".join(parts) + b"0\r\n\r\n"


@strategies.composite
def _messages_of(draw, first_line):
    lines = [first_line, b"Host: a"]
    for number in range(draw(strategies.integers(0, 3))):
        lines.append(b"X-%d: %b" % (number, b"v" * draw(_small_integers)))
    body = draw(_BODIES)
    if draw(strategies.booleans()):
        lines.append(b"Transfer-Encoding: chunked")
        sizes = draw(strategies.lists(_small_integers, min_size=1, max_size=4))
        wire = _chunked(body, sizes)
    else:
        lines.append(b"Content-Length: %d" % len(body))
        wire = body
    return b"\r\n".join(lines) + b"\r\n\r\n" + wire, body


_small_integers = strategies.integers(1, 20)
_requests = strategies.lists(
    _messages_of(b"POST /r?q HTTP/1.1"), min_size=1, max_size=4
)


def _split(data, sizes):
    parts, position = [], 0
    for size in sizes:
        parts.append(data[position : position + size])
        position += size
    parts.append(data[position:])
    return [part for part in parts if part]


def _receiver(parts):
    rest = iter(parts)
    return lambda: next(rest, b"")


def _read_requests(parts):
    """Return (method, target, body) of each request, None if malformed."""
    reader = _request_reader.RequestReader(body_limit=lambda _: _MAX_BODY)
    receive, read = _receiver(parts), []
    while True:
        try:
            request = reader.read(receive)
        except _messages.MalformedMessage as error:
            assert error.problem.outcome is core.Outcome.NOT_RUN
            return [*read, None]
        if request is None:
            return read
        read.append((request.method, request.target, request.body))


def _read_response(parts):
    try:
        response, reusable = _response_reader.read_response(
            receive=_receiver(parts), method=b"GET", max_bytes=_MAX_BODY
        )
    except _messages.MalformedMessage as error:
        assert error.problem.outcome is core.Outcome.UNKNOWN
        return None
    return response.status, response.body, reusable


def _reference_body(head, data):
    """Return the body and the bytes after it, or None if it is malformed."""
    fields = [line.split(b":", 1) for line in head.split(b"\r\n")[1:]]
    if any(len(field) != 2 for field in fields):
        return None
    values = {}
    for name, value in fields:
        values.setdefault(name.lower(), []).append(value.strip(b" \t"))
    lengths = values.get(b"content-length", [])
    codings = values.get(b"transfer-encoding", [])
    if len(lengths) + len(codings) > 1:
        return None
    if not codings:
        if lengths and not re.fullmatch(rb"[0-9]+", lengths[0]):
            return None
        length = int(lengths[0]) if lengths else 0
        return (data[:length], data[length:]) if len(data) >= length else None
    body = b""
    while match := re.match(rb"([0-9A-Fa-f]+)\r\n", data):
        size = int(match[1], 16)
        end = match.end() + size
        if data[end : end + 2] != b"\r\n":
            return None
        body += data[match.end() : end]
        data = data[end + 2 :]
        if size == 0:
            return body, data
    return None


def _reference_requests(data):
    read = []
    while data:
        head, separator, rest = data.partition(b"\r\n\r\n")
        body_and_rest = _reference_body(head, rest) if separator else None
        words = head.split(b"\r\n")[0].split(b" ")
        if body_and_rest is None or len(words) != 3:
            return [*read, None]
        read.append((words[0], words[1], body_and_rest[0]))
        data = body_and_rest[1]
    return read


@settings(max_examples=300, deadline=None, derandomize=True)
@given(_requests, _SPLITS)
def test_valid_requests_are_read_with_any_split(requests, sizes):
    data = b"".join(wire for wire, _ in requests)
    expected = [(b"POST", b"/r?q", body) for _, body in requests]
    assert _read_requests(_split(data, sizes)) == expected
    assert _reference_requests(data) == expected


@settings(max_examples=300, deadline=None, derandomize=True)
@given(_messages_of(b"HTTP/1.1 200 OK"), _SPLITS)
def test_valid_responses_are_read_with_any_split(message, sizes):
    data, body = message
    assert _read_response(_split(data, sizes)) == (200, body, True)


@settings(max_examples=200, deadline=None, derandomize=True)
@given(_messages_of(b"HTTP/1.1 200 OK"), strategies.data())
def test_truncated_responses_are_rejected(message, data):
    wire, _ = message
    cut = data.draw(strategies.integers(0, len(wire) - 1))
    assert _read_response([wire[:cut]]) is None


_REQUEST_SEEDS = (
    b"POST /r HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nabcde"
    b"GET /n HTTP/1.1\r\nHost: a\r\n\r\n",
    b"POST /r HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"3\r\nabc\r\n0a\r\n0123456789\r\n0\r\n\r\nGET /n HTTP/1.1\r\nHost: a\r\n"
    b"\r\n",
)
_RESPONSE_SEEDS = (
    b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX-A: b\r\n\r\nabcde",
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n"
    b"\r\n",
)
_FRAGMENTS = (
    b"\r\n", b"\n", b"\r", b"\x00", b" ", b"\t", b":", b";", b"0", b"+", b"-",
    b"Content-Length: 3\r\n", b"Transfer-Encoding: chunked\r\n", b",", b"\x0b",
    b"Transfer-Encoding: identity\r\n", b"\r\n\r\n", b"chunked", b"\xff", b"_",
)  # fmt: skip


def _mutate(data, rng):
    for _ in range(rng.randint(1, 4)):
        at = rng.randrange(len(data) + 1)
        kind = rng.randrange(4)
        if kind == 0:
            data = data[:at] + bytes([rng.randrange(256)]) + data[at + 1 :]
        elif kind == 1:
            data = data[:at] + rng.choice(_FRAGMENTS) + data[at:]
        elif kind == 2:
            data = data[:at] + data[at + rng.randint(1, 8) :]
        else:
            end = at + rng.randint(1, 12)
            data = data[:end] + data[at:end] + data[end:]
    return data


def _random_split(data, rng):
    return _split(data, [rng.randint(1, 20) for _ in range(len(data) // 5)])


@pytest.mark.parametrize("seed", _REQUEST_SEEDS)
def test_corrupt_requests_are_read_like_the_reference_or_rejected(seed):
    """Request smuggling needs parsers that read the same bytes differently."""
    rng, accepted = random.Random(_FUZZ_SEED), 0
    for _ in range(_FUZZ_ROUNDS):
        data = _mutate(seed, rng)
        read = _read_requests([data])
        assert read == _read_requests(_random_split(data, rng)), data
        reference = _reference_requests(data)
        for actual, reference_request in zip(read, reference, strict=False):
            if actual is None:
                break
            accepted += 1
            assert actual == reference_request, data
    assert accepted > _MIN_ACCEPTED


@pytest.mark.parametrize("seed", _RESPONSE_SEEDS)
def test_corrupt_responses_are_read_like_the_reference_or_rejected(seed):
    """A corrupt response must not be accepted as a complete response."""
    rng, accepted = random.Random(_FUZZ_SEED), 0
    for _ in range(_FUZZ_ROUNDS):
        data = _mutate(seed, rng)
        # Reusability is not compared: it depends on the surplus bytes that
        # have arrived so far. Later ones are detected before the next use.
        read = (_read_response([data]) or (None,))[:2]
        split = (_read_response(_random_split(data, rng)) or (None,))[:2]
        assert read == split, data
        if read[0] in (None, 204, 304):
            continue
        accepted += 1
        head, _, rest = data.partition(b"\r\n\r\n")
        assert _reference_body(head, rest)[0] == read[1], data
    assert accepted > _MIN_ACCEPTED
