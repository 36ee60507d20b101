"""Tests of what callers of a node get for a response without a status."""

import functools

import pytest

from wigeonrouter import core
from wigeonrouter import http1
from wigeonrouter import placement
from wigeonrouter.http1 import _invalid_status_test
from wigeonrouter.node import _sender
from wigeonrouter.platform import _emulator
from wigeonrouter.platform import _http
from wigeonrouter.platform import conftest

_STATUSES = ("000", "099", "600", "999", "20", "2000", "abc")
# What a server may write before its own response: a copy of another one.
_COPY_ID = b"Request-Id: other\r\n"


class _InvalidBackend(_emulator.EmulatedBackend):
    """An EmulatedBackend whose responses to requests have no valid status.

    Args:
      status: text in place of the status.
      interim: whether an interim response goes before it.
      copy: whether it is a copy for another request, before a valid response.
    """

    def __init__(self, *, status, interim, copy, **options):
        self._invalid = functools.partial(
            _invalid_status_test.render_invalid, status, interim=interim
        )
        self._copy = copy
        super().__init__(**options)

    def render(self, request, response):
        """Return the bytes of a response."""
        data = super().render(request, response)
        if request.target == b"/health":
            return data
        if self._copy:
            return self._invalid(_COPY_ID) + data
        request_id = request.header(b"request-id")
        return self._invalid(
            b"Request-Id: %b\r\nServer-Stamp: stamp.i-1\r\n" % request_id
        )


@pytest.fixture
def run_invalid(store, node):
    """Return a function that runs an _InvalidBackend."""
    servers = []

    def run(status, *, interim=False, copy=False):
        server = _InvalidBackend(
            instance="i-1",
            service="alpha",
            status=status,
            interim=interim,
            copy=copy,
        )
        servers.append(server)
        store.put("servers/i-1", server.registration())
        conftest.wait_until(lambda: node.servers == {"i-1"})
        return server

    yield run
    for server in servers:
        server.stop()


@pytest.mark.parametrize("status", _STATUSES)
@pytest.mark.parametrize(
    "options", [{}, {"interim": True}, {"copy": True}], ids=str
)
def test_caller_gets_no_invalid_status(run_invalid, caller, status, options):
    """Guards against a caller that takes a broken response for a server's."""
    server = run_invalid(status, **options)
    for path in ("/write/a", "/read/a"):
        response = caller.send(path, method="POST")
        assert response.status == 502
        assert "server-stamp" not in response.headers
    assert len([run for run in server.runs if run.target == "/write/a"]) == 1


@pytest.mark.parametrize("status", _STATUSES)
def test_node_of_an_earlier_build_passes_no_invalid_status_on(
    scripted_server, status
):
    """Guards against a response that another node hands out unchecked."""
    address = scripted_server(
        [[_invalid_status_test.render_invalid(status, b"Request-Id: r-1\r\n")]]
    )
    request = http1.HttpRequest(
        method=b"GET",
        target=b"/",
        headers=((b"host", b"shop.example"), (b"request-id", b"r-1")),
        body=b"",
        keep_alive=True,
        reservation=http1.BufferBudget(limit=1 << 20).reserve(),
    )
    sender = _sender.Sender(
        pool=http1.ConnectionPool(max_idle=1.0), codec=_http.HttpCodec()
    )
    attempt = sender.send_to(
        core.Address(host=address.host, port=address.port),
        render=lambda remaining: b"GET / HTTP/1.1\r\nHost: a\r\n\r\n",
        request=request,
        request_id="r-1",
        idempotent=True,
        response_deadline=sender._clock() + 2.0,
    )
    assert attempt.response is None
    assert attempt.outcome is placement.AttemptOutcome.RESPONSE_LOST
    assert attempt.may_have_run
