"""Reads and validates the requests of one connection."""

import re

import httptools

from wigeonrouter import core
from wigeonrouter.http1 import _chunks
from wigeonrouter.http1 import _messages

# Bodies up to this size are read before the service's limit is known.
SMALL_BODY_BYTES = 64 << 10
# A backend server may resolve dot segments and then serve another path than
# the one that was routed.
_DOT_SEGMENT = re.compile(rb"/(?:\.|%2[eE]){1,2}(?:[/?]|$)")
_ABSOLUTE_FORM = re.compile(rb"https?://([^/?#@]+)([/?].*)?", re.IGNORECASE)
_MALFORMED = _messages.MalformedMessage
_BAD_REQUEST = core.problems.BAD_REQUEST


class RequestReader:
    """Reads consecutive requests from one connection.

    Args:
      body_limit: function from an HttpRequest without its body to the
        largest accepted body in bytes; may raise MalformedMessage. It is
        called before reading a body that is longer than SMALL_BODY_BYTES, of
        unknown length, or announced by Expect: 100-continue.
      send_continue: function that sends the response 100 Continue.
    """

    def __init__(self, *, body_limit, send_continue=lambda: None):
        self._body_limit = body_limit
        self._send_continue = send_continue
        self._buffered = b""

    @property
    def pending(self):
        """Whether bytes of the next request have been received already."""
        return bool(self._buffered)

    def read(self, receive):
        """Read one request.

        Args:
          receive: function that returns the next bytes, b"" at the end.
        Returns:
          An HttpRequest, or None if the caller closed between requests.
        Raises:
          MalformedMessage: the request is rejected, and the connection must
            be closed.
        """
        head = self._read_head(receive)
        if head is None:
            return None
        _messages.check_request_head(head)
        collector = _messages.HeadCollector()
        parser = httptools.HttpRequestParser(collector)
        try:
            parser.feed_data(head)
        except httptools.HttpParserUpgrade as error:
            raise _MALFORMED(
                _BAD_REQUEST, "upgrades are not supported"
            ) from error
        except httptools.HttpParserError as error:
            raise _MALFORMED(_BAD_REQUEST, str(error)) from error
        fields = _messages.index_headers(collector.headers)
        _check_headers(parser, collector, fields)
        length = _messages.parse_body_length(
            collector.headers, fields, _BAD_REQUEST
        )
        if length == 0:
            return _build_request(parser, collector, fields, b"")
        if length is None and parser.get_http_version() == "1.0":
            raise _MALFORMED(
                _BAD_REQUEST, "chunked bodies are not allowed in HTTP/1.0"
            )
        limit = None
        if length is None or length > SMALL_BODY_BYTES or b"expect" in fields:
            request = _build_request(parser, collector, fields, b"")
            limit = self._resolve_body_limit(request, length)
        body = self._read_body(length, limit, receive)
        return _build_request(parser, collector, fields, body)

    def _read_head(self, receive):
        data = self._buffered
        while (end := data.find(b"\r\n\r\n")) < 0:
            if len(data) > _messages.MAX_HEADER_BYTES:
                raise _MALFORMED(core.problems.HEADERS_TOO_LARGE)
            more = receive()
            if not more:
                if data:
                    raise _MALFORMED(_BAD_REQUEST, "request head is truncated")
                return None
            data += more
        if end > _messages.MAX_HEADER_BYTES:
            raise _MALFORMED(core.problems.HEADERS_TOO_LARGE)
        self._buffered = data[end + 4 :]
        return data[: end + 4]

    def _resolve_body_limit(self, request, length):
        expected = request.header(b"expect").lower()
        if expected not in (b"", b"100-continue"):
            raise _MALFORMED(_BAD_REQUEST, "unsupported Expect header")
        limit = self._body_limit(request)
        if length is not None and length > limit:
            raise _MALFORMED(core.problems.BODY_TOO_LARGE)
        if expected and not self._buffered:
            self._send_continue()
        return limit

    def _read_body(self, length, limit, receive):
        if length is None:
            return self._read_chunked(limit, receive)
        body, self._buffered = _messages.read_fixed_length_body(
            length, self._buffered, receive, _BAD_REQUEST
        )
        return body

    def _read_chunked(self, limit, receive):
        decoder = _chunks.ChunkDecoder(
            max_body_bytes=limit,
            invalid=_BAD_REQUEST,
            too_large=core.problems.BODY_TOO_LARGE,
        )
        data = self._buffered
        while not decoder.feed(data):
            data = receive()
            if not data:
                raise _MALFORMED(_BAD_REQUEST, "body is truncated")
        self._buffered = decoder.surplus
        return bytes(decoder.body)


def _check_headers(parser, collector, fields):
    headers = collector.headers
    _messages.check_control_headers(headers, fields)
    if len(fields) < len(headers):
        hosts = sum(name == b"host" for name, _ in headers)
    else:
        hosts = b"host" in fields
    if hosts > 1 or (not hosts and parser.get_http_version() == "1.1"):
        raise _MALFORMED(_BAD_REQUEST, "exactly one Host header is required")


def _build_request(parser, collector, fields, body):
    method = parser.get_method()
    return _messages.HttpRequest(
        method=method,
        target=_origin_form(collector.url, method, fields.get(b"host", b"")),
        headers=tuple(collector.headers),
        fields=fields,
        body=body,
        keep_alive=_keeps_alive(fields, parser.get_http_version()),
    )


def _keeps_alive(fields, version):
    # should_keep_alive() of httptools is not used: after a request without a
    # body it ignores Connection. Responses never say that a connection is
    # kept, as callers of HTTP/1.0 would need.
    return version == "1.1" and (
        b"close" not in _messages.connection_headers(fields)
    )


def _origin_form(target, method, host):
    if target[:1] != b"/" and not (target == b"*" and method == b"OPTIONS"):
        absolute = _ABSOLUTE_FORM.fullmatch(target)
        if absolute is None:
            raise _MALFORMED(_BAD_REQUEST, "invalid request target")
        if absolute[1].lower() != host.lower():
            raise _MALFORMED(
                _BAD_REQUEST, "host of the request target differs from Host"
            )
        target = absolute[2] or b"/"
        if target[:1] == b"?":
            target = b"/" + target
    if b"#" in target or b"\\" in target or _DOT_SEGMENT.search(target):
        if b"#" in target or _is_ambiguous(target.partition(b"?")[0]):
            raise _MALFORMED(
                _BAD_REQUEST, "ambiguous path in the request target"
            )
    return target


def _is_ambiguous(path):
    return b"\\" in path or _DOT_SEGMENT.search(path) is not None
