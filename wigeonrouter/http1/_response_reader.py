"""Reads and validates responses."""

import httptools

from wigeonrouter import core
from wigeonrouter.http1 import _chunks
from wigeonrouter.http1 import _messages

# Limits the loop if a faulty server sends interim responses without end.
_MAX_INTERIM_RESPONSES = 8
_MALFORMED = _messages.MalformedMessage
_INVALID = core.problems.ANSWER_INVALID


def read_response(*, receive, method, max_bytes):
    """Read one response; its body must have a length or be chunked.

    Args:
      receive: function that returns the next bytes, b"" at the end.
      method: method of the request, since HEAD has no body.
      max_bytes: largest accepted response, headers included.
    Returns:
      A pair: the HttpResponse, and whether the connection may be reused.
    Raises:
      MalformedMessage: the response is truncated, too large or invalid.
    """
    reader = ResponseReader(receive=receive, max_bytes=max_bytes)
    return reader.read(method), reader.reusable


class ResponseReader:
    """Reads consecutive responses from one connection.

    Args:
      receive: function that returns the next bytes, b"" only at the end that
        the server has set. At any other end it raises an exception, because a
        body without a length is whole at the server's end alone.
      max_bytes: largest accepted response, headers included.
      allow_close_delimited: accept a body without a length, which ends with
        the connection.
    """

    def __init__(self, *, receive, max_bytes, allow_close_delimited=False):
        self._receive = receive
        self._max_bytes = max_bytes
        self._allow_close_delimited = allow_close_delimited
        self._buffered = b""
        self._reusable = False

    @property
    def reusable(self):
        """Whether the connection may be reused after the last response."""
        return self._reusable

    def read(self, method):
        """Read the next response.

        Args:
          method: method of the request, since HEAD has no body.
        Returns:
          The HttpResponse.
        Raises:
          MalformedMessage: the response is truncated, too large or invalid.
        """
        self._reusable = False
        data, self._buffered = self._buffered, b""
        for _ in range(_MAX_INTERIM_RESPONSES):
            head, data = _read_head(data, self._receive)
            collector, version, status = _parse_head(head)
            if status >= 200:
                break
        else:
            raise _MALFORMED(_INVALID, "too many interim responses")
        headers = tuple(collector.headers)
        fields = _messages.index_headers(headers)
        length = _messages.parse_body_length(headers, fields, _INVALID)
        close_delimited = False
        if method == b"HEAD" or status in (204, 304):
            body, surplus = b"", data
        elif length == 0 and b"content-length" not in fields:
            if not self._allow_close_delimited:
                # The end of a close-delimited body cannot be distinguished
                # from a lost connection.
                raise _MALFORMED(_INVALID, "response without a length")
            body, surplus, close_delimited = (
                self._read_close_delimited(data),
                b"",
                True,
            )
        else:
            body, surplus = _read_body(
                length, data, self._receive, self._max_bytes - len(head)
            )
        # Surplus bytes would be read as the response to the next request.
        self._reusable = (
            not surplus
            and not close_delimited
            and _keeps_alive(fields, version)
        )
        self._buffered = surplus
        return _messages.HttpResponse(
            status=status, headers=headers, fields=fields, body=body
        )

    def _read_close_delimited(self, data):
        received = bytearray(data)
        while more := self._receive():
            received += more
            if len(received) > self._max_bytes:
                raise _MALFORMED(core.problems.ANSWER_TOO_LARGE)
        return bytes(received)


def _read_head(data, receive):
    while (end := data.find(b"\r\n\r\n")) < 0:
        if len(data) > _messages.MAX_HEADER_BYTES:
            raise _MALFORMED(_INVALID, "header section too large")
        more = receive()
        if not more:
            raise _MALFORMED(core.problems.ANSWER_LOST)
        data += more
    if end > _messages.MAX_HEADER_BYTES:
        raise _MALFORMED(_INVALID, "header section too large")
    return data[: end + 4], data[end + 4 :]


def _parse_head(head):
    _messages.check_response_head(head)
    collector = _messages.HeadCollector()
    parser = httptools.HttpResponseParser(collector)
    try:
        parser.feed_data(head)
    except httptools.HttpParserUpgrade as error:
        # Also raised for any status 101.
        raise _MALFORMED(_INVALID, "protocol upgrade") from error
    except httptools.HttpParserError as error:
        raise _MALFORMED(_INVALID, str(error)) from error
    return collector, parser.get_http_version(), parser.get_status_code()


def _keeps_alive(fields, version):
    # should_keep_alive() of httptools is not used: it loses the length after
    # an empty body and treats every such response as close-delimited.
    tokens = _messages.connection_headers(fields)
    return b"close" not in tokens and (
        version == "1.1" or b"keep-alive" in tokens
    )


def _read_body(length, data, receive, max_bytes):
    if length is None:
        decoder = _chunks.ChunkDecoder(
            max_body_bytes=max_bytes,
            invalid=_INVALID,
            too_large=core.problems.ANSWER_TOO_LARGE,
        )
        while not decoder.feed(data):
            data = receive()
            if not data:
                raise _MALFORMED(core.problems.ANSWER_LOST)
        return bytes(decoder.body), decoder.surplus
    if length > max_bytes:
        raise _MALFORMED(core.problems.ANSWER_TOO_LARGE)
    return _messages.read_fixed_length_body(
        length, data, receive, core.problems.ANSWER_LOST
    )
