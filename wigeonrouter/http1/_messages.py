"""HTTP/1.1 messages and the checks that requests and responses share.

The C parser accepts some malformed messages. Those that could be read in
two ways, which is what request smuggling needs, are refused here.
"""

import dataclasses
import re

from wigeonrouter import core

MAX_HEADER_BYTES = 32 << 10
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
# Headers that the daemon acts on. A second one, or one that a backend server
# may take for the same name, would let the two act on different values.
CONTROL_HEADERS = frozenset(
    (
        b"x-request-id",
        b"x-request-timeout-ms",
        b"x-retry-budget",
        b"x-service",
        b"x-tenant",
    )
)
_SINGLE = CONTROL_HEADERS | {b"content-length", b"transfer-encoding"}
_FIELDS = rb"(?:[!#$%&'*+.^_`|~0-9A-Za-z-]+:[\t -~\x80-\xff]*+\r\n)*+\r\n"
_REQUEST_HEAD = re.compile(rb"[!-~]+ [!-~]+ HTTP/1\.[01]\r\n" + _FIELDS)
_RESPONSE_HEAD = re.compile(
    rb"HTTP/1\.[01] [1-5][0-9]{2}(?: [\t -~\x80-\xff]*+)?\r\n" + _FIELDS
)
_NO_NAMES = frozenset()
_LENGTH = re.compile(rb"[0-9]{1,12}")


class MalformedMessage(Exception):
    """The other side sent something that is not one acceptable message."""

    def __init__(self, problem, detail=""):
        super().__init__(detail or problem.title)
        self.problem = problem


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class HttpRequest:
    """A request. Header names are in lower case, the target in origin form.

    Attributes:
      fields: what index_headers() returns.
    """

    method: bytes
    target: bytes
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    keep_alive: bool
    fields: dict[bytes, bytes] | None = None

    def __post_init__(self):
        if self.fields is None:
            object.__setattr__(self, "fields", index_headers(self.headers))

    def header(self, name):
        """Return the first value of a header, or b""."""
        return self.fields.get(name, b"")


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class HttpResponse:
    """A whole response. Header names are in lower case.

    Attributes:
      fields: what index_headers() returns.
      outcome: what the daemon says of the request in X-Outcome, or b"".
    """

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    outcome: bytes = b""
    fields: dict[bytes, bytes] | None = None

    def __post_init__(self):
        if self.fields is None:
            object.__setattr__(self, "fields", index_headers(self.headers))

    def header(self, name):
        """Return the first value of a header, or b""."""
        return self.fields.get(name, b"")


class HeadCollector:
    """Callbacks of httptools for the head of one message."""

    def __init__(self):
        self.url = b""
        self.headers = []

    def on_url(self, url):
        self.url += url

    def on_header(self, name, value):
        self.headers.append((name.lower(), value))


def check_request_head(head):
    """Raise MalformedMessage unless the bytes are one plain request head."""
    if not _REQUEST_HEAD.fullmatch(head):
        raise MalformedMessage(
            core.problems.BAD_REQUEST, "bad request line or header line"
        )


def check_response_head(head):
    """Raise MalformedMessage unless the bytes are one plain response head."""
    if not _RESPONSE_HEAD.fullmatch(head):
        raise MalformedMessage(
            core.problems.ANSWER_INVALID, "bad status line or header line"
        )


def index_headers(headers):
    """Return a dict from header names to values.

    The first value of a repeated header counts, but those of Connection are
    joined.
    """
    fields = dict(headers)
    if len(fields) < len(headers):
        fields = {}
        for name, value in headers:
            if name not in fields:
                fields[name] = value
            elif name == b"connection":
                fields[name] += b"," + value
    return fields


def check_control_headers(headers, fields):
    """Raise MalformedMessage where a header could be read in two ways."""
    if len(fields) < len(headers):
        names = [name for name, _ in headers]
        if any(names.count(name) > 1 for name in _SINGLE):
            raise MalformedMessage(
                core.problems.BAD_REQUEST, "repeated header"
            )
    for name in fields:
        if b"_" in name and name.replace(b"_", b"-") in _SINGLE:
            raise MalformedMessage(
                core.problems.BAD_REQUEST, "underscore in a header name"
            )


def body_length(headers, fields, problem):
    """Return the length of the body, or None for a chunked one.

    Args:
      headers: (name, value) pairs, names in lower case.
      fields: what index_headers() returns.
      problem: core.ProblemType where the length is not clear.
    """
    length = fields.get(b"content-length")
    coding = fields.get(b"transfer-encoding")
    if len(fields) < len(headers):
        names = [name for name, _ in headers]
        if (
            names.count(b"content-length")
            + (names.count(b"transfer-encoding"))
            > 1
        ):
            raise MalformedMessage(problem, "ambiguous body length")
    if coding is not None:
        if length is not None or coding.lower() != b"chunked":
            raise MalformedMessage(problem, "ambiguous body length")
        return None
    if length is None:
        return 0
    if not _LENGTH.fullmatch(length):
        raise MalformedMessage(problem, "bad Content-Length")
    return int(length)


def read_length(length, data, receive, problem):
    """Read a body of a known length.

    Returns:
      A pair: the body, and the bytes that follow it.
    """
    if len(data) >= length:
        return data[:length], data[length:]
    whole = bytearray(data)
    while len(whole) < length:
        more = receive()
        if not more:
            raise MalformedMessage(problem, "body cut short")
        whole += more
    return bytes(whole[:length]), bytes(whole[length:])


def connection_headers(fields):
    """Return the header names that Connection restricts to one hop."""
    value = fields.get(b"connection")
    if value is None:
        return _NO_NAMES
    return (
        frozenset(name.strip(b" \t").lower() for name in value.split(b","))
        - CONTROL_HEADERS
        - {b"host", b"content-length", b"content-type"}
    )
