"""Tests of what callers of a daemon get for a response without a status."""

import pytest

from wigeonrouter.http1 import _invalid_status_test
from wigeonrouter.request_path import conftest


@pytest.mark.parametrize("status", _invalid_status_test.INVALID_STATUSES)
@pytest.mark.parametrize("interim", [False, True])
@pytest.mark.parametrize("method", ["GET", "POST"])
def test_caller_gets_no_invalid_status(path, status, interim, method):
    """Guards against a caller that takes a broken response for a server's."""
    raw = _invalid_status_test.render_invalid(status, interim=interim)
    path.set_faults(*[{"raw": raw.decode(), "close": True}] * 2)
    response = conftest.send(path, method, request_id="one")
    assert (response.status, response.outcome) == (502, "unknown")


@pytest.mark.parametrize("status", ["000", "600", "999"])
@pytest.mark.parametrize("method", ["GET", "POST"])
def test_copy_with_an_invalid_status_is_no_response(path, status, method):
    """Guards against a copy of a broken response that a caller gets.

    It names no request, and comes before the own response.
    """
    raw = _invalid_status_test.render_invalid(status)
    raw += b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
    path.set_faults(*[{"raw": raw.decode(), "close": True}] * 2)
    assert conftest.send(path, method, request_id="one").status == 502
