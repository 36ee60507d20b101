"""Guards against request smuggling and truncated messages."""

import pytest

from wigeonrouter.http1 import _messages
from wigeonrouter.http1 import _request_reader
from wigeonrouter.http1 import _response_reader

_MAX_BODY = 64


def _read(data, step=None):
    step = step or len(data) or 1
    parts = [data[i : i + step] for i in range(0, len(data), step)]
    reader = _request_reader.RequestReader(body_limit=lambda _: _MAX_BODY)
    receive = iter([*parts, b"", b""]).__next__
    return reader, reader.read(receive)


@pytest.mark.parametrize(
    "data",
    [
        b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n"
        b"Content-Length: 2\r\n\r\nab",
        b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: +1\r\n\r\na",
        b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: xchunked\r\n\r\n",
        b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"1;x=y\r\na\r\n0\r\n\r\n",
        b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"1\na\r\n0\r\n\r\n",
        b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"0x1\r\na\r\n0\r\n\r\n",
        b"GET / HTTP/1.1\nHost: a\n\r\n\r\n",
        b"GET / HTTP/1.1\r\nHost: a\r\n folded\r\n\r\n",
        b"GET / HTTP/1.1\r\nHost : a\r\n\r\n",
        b"GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n",
        b"GET / HTTP/1.1\r\n\r\n",
        b"GET  / HTTP/1.1\r\nHost: a\r\n\r\n",
        b"GET / HTTP/2.0\r\nHost: a\r\n\r\n",
        b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 65\r\n\r\n",
        b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nab",
        b"GET / HTTP/1.1\r\nHost: a\r\nX: " + b"x" * 40_000 + b"\r\n\r\n",
        b"GET / HTTP/1.1\r\nHost: a\r\nX: \x00\r\n\r\n",
    ],
)
@pytest.mark.parametrize("step", [None, 1])
def test_ambiguous_or_oversized_requests_are_rejected(data, step):
    with pytest.raises(_messages.MalformedMessage):
        _read(data, step)


@pytest.mark.parametrize("step", [None, 1, 7])
def test_body_is_read_completely_and_the_next_request_stays_pending(step):
    data = (
        b"POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
    )
    _, request = _read(data, step)
    assert request.body == b"abcde"
    reader, request = _read(data + b"GET /n HTTP/1.1\r\nHost: a\r\n\r\n")
    assert request.body == b"abcde"
    assert reader.pending


@pytest.mark.parametrize(
    "data",
    [
        b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab",
        b"HTTP/1.1 200 OK\r\n\r\nuntil close",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nab",
        b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\n",
        b"garbage\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 5000\r\n\r\n",
    ],
)
def test_truncated_or_invalid_responses_are_rejected(data):
    receive = iter([data, b""]).__next__
    with pytest.raises(_messages.MalformedMessage):
        _response_reader.read_response(
            receive=receive, method=b"GET", max_bytes=1000
        )


def test_surplus_bytes_prevent_connection_reuse():
    data = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nabHTTP/1.1 200"
    receive = iter([data]).__next__
    response, reusable = _response_reader.read_response(
        receive=receive, method=b"GET", max_bytes=1000
    )
    assert response.body == b"ab"
    assert not reusable


_INTERIM_HEAD = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
_HEADS = {
    "length": b"HTTP/1.1 200 OK\r\nX-Id: one\r\nContent-Length: 2\r\n\r\n",
    "chunked": b"HTTP/1.1 200 OK\r\nX-Id: one\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n",
    "until close": b"HTTP/1.1 200 OK\r\nX-Id: one\r\n"
    b"Connection: close\r\n\r\n",
    "empty": b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Id: one\r\n\r\n",
    "no content": b"HTTP/1.1 204 No Content\r\nX-Id: one\r\n\r\n",
}


@pytest.mark.parametrize("head", _HEADS.values(), ids=_HEADS)
@pytest.mark.parametrize("interim", [b"", _INTERIM_HEAD])
def test_response_whose_head_is_cut_short_is_no_response(head, interim):
    """Guards against a success with an empty body, framed as a whole one."""
    data = interim + head
    for end in range(len(data)):
        reader = _response_reader.ResponseReader(
            receive=iter([data[:end], b"", b""]).__next__,
            max_bytes=1000,
            allow_close_delimited=True,
        )
        with pytest.raises(_messages.MalformedMessage):
            reader.read(b"GET")
        assert not reader.reusable
