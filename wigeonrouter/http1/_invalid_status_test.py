"""Tests of responses whose status is no status, at both processes."""

import pytest

from wigeonrouter import http1

INVALID_STATUSES = (
    "000",
    "001",
    "099",
    "600",
    "999",
    "20",
    "2",
    "2000",
    "0200",
    "+20",
    "2x0",
    "abc",
    "",
)
_INTERIM = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"


def render_invalid(status, headers=b"", *, interim=False):
    """Return the bytes of a response with an invalid status."""
    head = b"HTTP/1.1 %b Status\r\nContent-Length: 4\r\n" % status.encode()
    start = _INTERIM if interim else b""
    return start + head + headers + b"\r\nbody"


@pytest.mark.parametrize("interim", [False, True])
@pytest.mark.parametrize("status", INVALID_STATUSES)
def test_invalid_status_is_no_response(status, interim):
    """Guards against a status that callers cannot interpret."""
    data = [render_invalid(status, interim=interim), b""]
    with pytest.raises(http1.MalformedMessage):
        http1.read_response(
            receive=lambda: data.pop(0), method=b"GET", max_bytes=1 << 16
        )
