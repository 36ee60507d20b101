"""HTTP/1.1 messages: strict parsing around httptools, and rendering.

The C parser accepts some malformed messages. Those that could be read in
two ways, which is what request smuggling needs, are refused here.
"""

import dataclasses
import json
import re

import httptools

from wigeonrouter import core

MAX_HEADER_BYTES = 32 << 10
_TOKEN = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
# Headers that concern one connection only.
HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)


class MalformedMessage(Exception):
    """The peer sent something that is not one HTTP message."""

    def __init__(self, problem, detail=""):
        super().__init__(detail or problem.title)
        self.problem = problem


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class HttpRequest:
    """A whole request. Header names are in lower case."""

    method: bytes
    target: bytes
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    keep_alive: bool

    def header(self, name):
        """Return the first value of a header, or b""."""
        for key, value in self.headers:
            if key == name:
                return value
        return b""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class HttpResponse:
    """A whole response. Header names are in lower case."""

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    keep_alive: bool

    def header(self, name):
        """Return the first value of a header, or b""."""
        for key, value in self.headers:
            if key == name:
                return value
        return b""


class _Collector:
    """Callbacks of httptools for one message."""

    def __init__(self, max_body_bytes):
        self.url = []
        self.headers = []
        self.body = []
        self.body_bytes = 0
        self.headers_complete = False
        self.complete = False
        self.too_large = False
        self._max_body_bytes = max_body_bytes

    def on_url(self, url):
        self.url.append(url)

    def on_header(self, name, value):
        self.headers.append((name.lower(), value))

    def on_headers_complete(self):
        self.headers_complete = True

    def on_body(self, body):
        self.body_bytes += len(body)
        if self.body_bytes > self._max_body_bytes:
            self.too_large = True
            return
        self.body.append(body)

    def on_message_complete(self):
        self.complete = True


class RequestReader:
    """Reads the requests of one caller connection, one after another."""

    def __init__(self, *, max_body_bytes):
        self._max_body_bytes = max_body_bytes
        self._rest = b""

    @property
    def pending(self):
        """Whether bytes of a further request have already arrived."""
        return bool(self._rest)

    def read(self, receive):
        """Read one request.

        Args:
          receive: function that returns the next bytes, b"" at the end.
        Returns:
          An HttpRequest, or None where the caller closed between requests.
        Raises:
          MalformedMessage: the request is refused; the connection cannot be
            used any more.
        """
        head = self._rest
        while (end := head.find(b"\r\n\r\n")) < 0:
            if len(head) > MAX_HEADER_BYTES:
                raise MalformedMessage(core.problems.HEADERS_TOO_LARGE)
            data = receive()
            if not data:
                if head.strip(b"\r\n"):
                    raise MalformedMessage(
                        core.problems.BAD_REQUEST, "request cut short"
                    )
                return None
            head += data
        head, body_start = head[: end + 4], head[end + 4 :]
        if len(head) > MAX_HEADER_BYTES:
            raise MalformedMessage(core.problems.HEADERS_TOO_LARGE)
        _check_head(head)
        collector = _Collector(self._max_body_bytes)
        parser = httptools.HttpRequestParser(collector)
        self._feed(parser, head)
        length = _body_length(collector.headers, core.problems.BAD_REQUEST)
        if length is None:
            self._rest = self._read_chunked(
                parser, collector, body_start, receive
            )
        else:
            if length > self._max_body_bytes:
                raise MalformedMessage(core.problems.BODY_TOO_LARGE)
            body, self._rest = _read_length(length, body_start, receive)
            collector.body = [body]
        if collector.too_large:
            raise MalformedMessage(core.problems.BODY_TOO_LARGE)
        if parser.should_upgrade():
            raise MalformedMessage(
                core.problems.BAD_REQUEST, "upgrades are not supported"
            )
        return HttpRequest(
            method=parser.get_method(),
            target=b"".join(collector.url),
            headers=tuple(collector.headers),
            body=b"".join(collector.body),
            keep_alive=parser.should_keep_alive(),
        )

    def _read_chunked(self, parser, collector, data, receive):
        # Byte-exact boundaries come from decoding the chunks here.
        decoder = _ChunkDecoder(self._max_body_bytes)
        while not decoder.feed(data):
            data = receive()
            if not data:
                raise MalformedMessage(
                    core.problems.BAD_REQUEST, "body cut short"
                )
        collector.body = decoder.parts
        return decoder.rest

    @staticmethod
    def _feed(parser, data):
        try:
            parser.feed_data(data)
        except httptools.HttpParserUpgrade as error:
            raise MalformedMessage(
                core.problems.BAD_REQUEST, "upgrades are not supported"
            ) from error
        except httptools.HttpParserError as error:
            raise MalformedMessage(
                core.problems.BAD_REQUEST, str(error)
            ) from error


class _ChunkDecoder:
    """Decodes a chunked body and refuses anything but the plain form."""

    def __init__(self, max_body_bytes, problem=core.problems.BAD_REQUEST):
        self.parts = []
        self.rest = b""
        self._problem = problem
        self._max_body_bytes = max_body_bytes
        self._total = 0
        self._buffer = b""

    def feed(self, data):
        """Add data; return whether the body is whole."""
        self._buffer += data
        while True:
            end = self._buffer.find(b"\r\n")
            if end < 0:
                if len(self._buffer) > 32:
                    raise MalformedMessage(self._problem, "bad chunk size")
                return False
            line = self._buffer[:end]
            if not re.fullmatch(rb"[0-9A-Fa-f]{1,8}", line):
                raise MalformedMessage(self._problem, "bad chunk size")
            size = int(line, 16)
            needed = end + 2 + size + 2
            if self._total + size > self._max_body_bytes:
                raise MalformedMessage(
                    core.problems.BODY_TOO_LARGE
                    if self._problem is core.problems.BAD_REQUEST
                    else core.problems.ANSWER_TOO_LARGE
                )
            if len(self._buffer) < needed:
                return False
            if self._buffer[needed - 2 : needed] != b"\r\n":
                raise MalformedMessage(self._problem, "bad chunk end")
            if size == 0:
                self.rest = self._buffer[needed:]
                return True
            self.parts.append(self._buffer[end + 2 : end + 2 + size])
            self._total += size
            self._buffer = self._buffer[needed:]


def read_response(*, receive, method, max_bytes):
    """Read one response from a backend server.

    Args:
      receive: function that returns the next bytes, b"" at the end.
      method: method of the request, since HEAD has no body.
      max_bytes: largest accepted response, headers included.
    Returns:
      A pair: the HttpResponse, and whether the connection may be reused.
    Raises:
      MalformedMessage: the response is cut short, too large or not valid.
    """
    data = b""
    while True:
        while (end := data.find(b"\r\n\r\n")) < 0:
            if len(data) > MAX_HEADER_BYTES:
                raise MalformedMessage(core.problems.ANSWER_INVALID)
            more = receive()
            if not more:
                raise MalformedMessage(core.problems.ANSWER_LOST)
            data += more
        head, data = data[: end + 4], data[end + 4 :]
        collector = _Collector(max_bytes)
        parser = httptools.HttpResponseParser(collector)
        try:
            parser.feed_data(head)
            status = parser.get_status_code()
        except httptools.HttpParserError as error:
            raise MalformedMessage(
                core.problems.ANSWER_INVALID, str(error)
            ) from error
        if status >= 200:
            break
    length = _body_length(collector.headers, core.problems.ANSWER_INVALID)
    rest = b""
    if method == b"HEAD" or status in (204, 304):
        body, rest = b"", data
    elif length is None:
        decoder = _ChunkDecoder(max_bytes, core.problems.ANSWER_INVALID)
        while not decoder.feed(data):
            data = receive()
            if not data:
                raise MalformedMessage(core.problems.ANSWER_LOST)
        body, rest = b"".join(decoder.parts), decoder.rest
    else:
        if not any(name == b"content-length" for name, _ in collector.headers):
            # The end of such a body cannot be told from a lost connection.
            raise MalformedMessage(
                core.problems.ANSWER_INVALID, "answer without a length"
            )
        if length + len(head) > max_bytes:
            raise MalformedMessage(core.problems.ANSWER_TOO_LARGE)
        try:
            body, rest = _read_length(length, data, receive)
        except MalformedMessage as error:
            raise MalformedMessage(core.problems.ANSWER_LOST) from error
    reusable = parser.should_keep_alive() and not rest
    return (
        HttpResponse(
            status=status,
            headers=tuple(collector.headers),
            body=body,
            keep_alive=reusable,
        ),
        reusable,
    )


def render_request(*, request, headers):
    """Return the bytes of a request for a backend server.

    Args:
      request: HttpRequest of the caller.
      headers: (name, value) pairs that replace the caller's of that name.
    """
    replaced = {name for name, _ in headers}
    lines = [b"%b %b HTTP/1.1" % (request.method, request.target)]
    for name, value in request.headers:
        if (
            name in HOP_BY_HOP
            or name in replaced
            or name in (b"content-length", b"expect")
        ):
            continue
        lines.append(b"%b: %b" % (name, value))
    for name, value in headers:
        lines.append(b"%b: %b" % (name, value))
    if request.body or request.method in (b"POST", b"PUT", b"PATCH"):
        lines.append(b"content-length: %d" % len(request.body))
    lines.append(b"\r\n")
    return b"\r\n".join(lines) + request.body


def render_response(*, response, headers, close, method):
    """Return the bytes of a response for a caller."""
    lines = [b"HTTP/1.1 %d %b" % (response.status, _reason(response.status))]
    for name, value in response.headers:
        if name in HOP_BY_HOP or name in (b"content-length", b"backend-load"):
            continue
        lines.append(b"%b: %b" % (name, value))
    for name, value in headers:
        lines.append(b"%b: %b" % (name, value))
    if response.status not in (204, 304):
        if method != b"HEAD":
            lines.append(b"content-length: %d" % len(response.body))
    if close:
        lines.append(b"connection: close")
    lines.append(b"\r\n")
    return b"\r\n".join(lines) + response.body


def problem_response(*, refusal, request_id):
    """Return the RFC 9457 HttpResponse of a refusal."""
    problem = refusal.problem
    body = json.dumps(
        {
            "type": f"urn:wigeonrouter:problem:{problem.name}",
            "title": problem.title,
            "status": problem.status,
            "detail": refusal.detail,
            "outcome": problem.outcome.value,
            "request_id": request_id,
        }
    ).encode()
    return HttpResponse(
        status=problem.status,
        headers=(
            (b"content-type", b"application/problem+json"),
            (b"x-outcome", problem.outcome.value.encode()),
        ),
        body=body,
        keep_alive=True,
    )


def _check_head(head):
    lines = head[:-4].split(b"\r\n")
    for line in lines:
        if b"\n" in line or b"\r" in line or b"\x00" in line:
            raise MalformedMessage(
                core.problems.BAD_REQUEST, "bare line end in the header"
            )
    request_line = lines[0].split(b" ")
    if len(request_line) != 3 or request_line[2] not in (
        b"HTTP/1.1",
        b"HTTP/1.0",
    ):
        raise MalformedMessage(core.problems.BAD_REQUEST, "bad request line")
    hosts = 0
    for line in lines[1:]:
        name, separator, _ = line.partition(b":")
        if not separator or not _TOKEN.fullmatch(name):
            raise MalformedMessage(
                core.problems.BAD_REQUEST, "bad or folded header line"
            )
        hosts += name.lower() == b"host"
    if hosts > 1 or (hosts == 0 and request_line[2] == b"HTTP/1.1"):
        raise MalformedMessage(
            core.problems.BAD_REQUEST, "exactly one Host header is needed"
        )


def _body_length(headers, problem):
    """Return the length of the body, or None for a chunked one."""
    lengths = [v for name, v in headers if name == b"content-length"]
    codings = [v for name, v in headers if name == b"transfer-encoding"]
    if codings:
        if lengths or len(codings) > 1 or codings[0].lower() != b"chunked":
            raise MalformedMessage(problem, "ambiguous body length")
        return None
    if len(lengths) > 1:
        raise MalformedMessage(problem, "ambiguous body length")
    if not lengths:
        return 0
    if not re.fullmatch(rb"[0-9]{1,12}", lengths[0]):
        raise MalformedMessage(problem, "bad Content-Length")
    return int(lengths[0])


def _read_length(length, data, receive):
    parts, missing = [data], length - len(data)
    while missing > 0:
        more = receive()
        if not more:
            raise MalformedMessage(core.problems.BAD_REQUEST, "body cut short")
        parts.append(more)
        missing -= len(more)
    whole = b"".join(parts)
    return whole[:length], whole[length:]


_REASONS = {200: b"OK", 404: b"Not Found", 503: b"Service Unavailable"}


def _reason(status):
    return _REASONS.get(status, b"Status")
