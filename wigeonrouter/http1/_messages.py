"""HTTP/1.1 messages and the checks shared by requests and responses.

The C parser (httptools) accepts some malformed messages. Messages that
another parser could interpret differently are rejected here, since request
smuggling relies on such differences.
"""

import dataclasses
import re

from wigeonrouter import core

MAX_HEADER_BYTES = 32 << 10
# Headers that apply to a single connection and are not forwarded.
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
# Headers that the daemon acts on. If one is repeated, or occurs under a name
# that a backend server treats as the same (with underscores), daemon and
# backend server could act on different values.
CONTROL_HEADERS = frozenset(
    (
        b"x-request-id",
        b"x-request-timeout-ms",
        b"x-retry-budget",
        b"x-service",
        b"x-tenant",
    )
)
_SINGLE_VALUED_HEADERS = CONTROL_HEADERS | {
    b"content-length",
    b"transfer-encoding",
}
_HEADER_LINES = (
    rb"(?:[!#$%&'*+.^_`|~0-9A-Za-z-]+:[\t -~\x80-\xff]*+\r\n)*+\r\n"
)
_REQUEST_HEAD = re.compile(rb"[!-~]+ [!-~]+ HTTP/1\.[01]\r\n" + _HEADER_LINES)
_RESPONSE_HEAD = re.compile(
    rb"HTTP/1\.[01] [1-5][0-9]{2}(?: [\t -~\x80-\xff]*+)?\r\n" + _HEADER_LINES
)
_STATUS_LINE_START = re.compile(rb"HTTP/1\.[01] [1-5][0-9]{2}")
_NO_HEADER_NAMES = frozenset()
_CONTENT_LENGTH = re.compile(rb"[0-9]{1,12}")


class MalformedMessage(Exception):
    """The peer sent a malformed, ambiguous, too large or truncated message.

    Args:
      problem: core.ProblemType to report.
      detail: explanation; the title of the problem type if empty.
    """

    def __init__(self, problem, detail=""):
        super().__init__(detail or problem.title)
        self.problem = problem


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class HttpRequest:
    """A request; header names are in lower case, the target in origin form.

    Attributes:
      fields: what index_headers() returns.
      reservation: Reservation that counts the bytes of the request and of its
        responses; requests that a CallerServer has read have one.
    """

    method: bytes
    target: bytes
    # Headers have credentials, which must not get into a log or an error.
    headers: tuple[tuple[bytes, bytes], ...] = dataclasses.field(repr=False)
    body: bytes
    keep_alive: bool
    fields: dict[bytes, bytes] | None = dataclasses.field(
        default=None, repr=False
    )
    reservation: object = dataclasses.field(
        default=None, compare=False, repr=False
    )

    def __post_init__(self):
        if self.fields is None:
            object.__setattr__(self, "fields", index_headers(self.headers))

    def header(self, name):
        """Return the first value of a header, or b""."""
        return self.fields.get(name, b"")


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class HttpResponse:
    """A complete response; header names are in lower case.

    Attributes:
      fields: what index_headers() returns.
      outcome: value of X-Outcome that the daemon adds, or b"".
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
    """Receives the httptools callbacks for the head of one message."""

    def __init__(self):
        self.url = b""
        self.headers = []

    def on_url(self, url):
        self.url += url

    def on_header(self, name, value):
        self.headers.append((name.lower(), value))


def check_request_head(head):
    """Raise MalformedMessage unless the bytes are one valid request head."""
    if not _REQUEST_HEAD.fullmatch(head):
        raise MalformedMessage(
            core.problems.BAD_REQUEST, "invalid request line or header line"
        )


def check_response_head(head):
    """Raise MalformedMessage unless the bytes are one valid response head."""
    if not _RESPONSE_HEAD.fullmatch(head):
        raise MalformedMessage(
            core.problems.ANSWER_INVALID, "invalid status line or header line"
        )
    if _STATUS_LINE_START.search(head, 1):
        # The lines before it belong to a response that was cut short.
        raise MalformedMessage(
            core.problems.ANSWER_INVALID, "two status lines in a head"
        )


def index_headers(headers):
    """Return a dict from header names to values.

    Of a repeated header the first value is kept, but the values of Connection
    are joined.
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
    """Raise MalformedMessage if a single-valued header is ambiguous."""
    if len(fields) < len(headers):
        names = [name for name, _ in headers]
        if any(names.count(name) > 1 for name in _SINGLE_VALUED_HEADERS):
            raise MalformedMessage(
                core.problems.BAD_REQUEST, "repeated header"
            )
    for name in fields:
        if b"_" in name and name.replace(b"_", b"-") in _SINGLE_VALUED_HEADERS:
            raise MalformedMessage(
                core.problems.BAD_REQUEST,
                "underscore in the name of a control header",
            )


def parse_body_length(headers, fields, problem):
    """Return the length of the body in bytes, or None for a chunked one.

    Args:
      headers: (name, value) pairs, names in lower case.
      fields: what index_headers() returns.
      problem: core.ProblemType for the error.
    Raises:
      MalformedMessage: the length is invalid or ambiguous.
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
    if not _CONTENT_LENGTH.fullmatch(length):
        raise MalformedMessage(problem, "invalid Content-Length")
    return int(length)


def read_fixed_length_body(length, data, receive, problem):
    """Read a body of a known length.

    Args:
      length: length of the body, bytes.
      data: bytes that have been received already.
      receive: function that returns the next bytes, b"" at the end.
      problem: core.ProblemType of a truncated body.
    Returns:
      A pair: the body, and the bytes received after it.
    Raises:
      MalformedMessage: the connection ended before the body.
    """
    if len(data) >= length:
        return data[:length], data[length:]
    received = bytearray(data)
    while len(received) < length:
        more = receive()
        if not more:
            raise MalformedMessage(problem, "body is truncated")
        received += more
    with memoryview(received) as view:
        return bytes(view[:length]), bytes(view[length:])


def connection_headers(fields):
    """Return the header names that Connection lists as hop-by-hop.

    Control headers, Host and headers of the body are left out: a caller must
    not be able to remove them.
    """
    value = fields.get(b"connection")
    if value is None:
        return _NO_HEADER_NAMES
    return (
        frozenset(name.strip(b" \t").lower() for name in value.split(b","))
        - CONTROL_HEADERS
        - {b"host", b"content-length", b"content-type"}
    )
