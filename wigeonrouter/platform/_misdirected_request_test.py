"""Tests of servers whose address answers as another instance for a while."""

import time

import gevent
import pytest

from wigeonrouter import http1
from wigeonrouter.platform import _emulator
from wigeonrouter.platform import conftest

# Longer than the node may take to use a server again that is back, with a
# margin for a busy machine.
_BACK_WITHIN_S = 4.0
_STALE_S = 3.0
# Of one node in that time.
_MAX_STALE_ATTEMPTS = 5
_REQUEST_INTERVAL_S = 0.02
# A node that has just started reads the store again within this time.
_SETTLED_S = 1.0


class ReplacedBackend(_emulator.EmulatedBackend):
    """An EmulatedBackend whose health check may name no instance."""

    def __init__(self, *, names_itself, **options):
        self._names_itself = names_itself
        super().__init__(**options)

    def handle(self, request, sock):
        """Handle a request or a health check."""
        if request.target == b"/health" and not self._names_itself:
            self.probes += 1
            return http1.HttpResponse(status=200, headers=(), body=b"")
        return super().handle(request, sock)


@pytest.fixture
def old_process(store, node):
    """Return a function that runs the process before "i-1" at its address."""
    servers = []

    def start(*, names_itself):
        server = ReplacedBackend(
            instance="i-0", service="alpha", names_itself=names_itself
        )
        servers.append(server)
        store.put("servers/i-1", server.registration())
        conftest.wait_until(lambda: node.servers == {"i-1"})
        gevent.sleep(_SETTLED_S)
        return server

    yield start
    for server in servers:
        server.stop()


@pytest.mark.parametrize("names_itself", [False, True])
def test_server_is_used_once_the_old_process_is_gone(
    old_process, caller, names_itself
):
    """Guards against a server that is left out until its entry changes.

    The new process registered before the old one had gone, which answered 421
    at their address.
    """
    server = old_process(names_itself=names_itself)
    assert caller.send("/write/a", method="POST").status == 503
    server.instance = "i-1"
    conftest.wait_until(
        lambda: caller.send("/write/a", method="POST").status == 200,
        timeout=_BACK_WITHIN_S,
    )


@pytest.mark.parametrize("names_itself", [False, True])
def test_stale_entry_costs_few_attempts(old_process, caller, names_itself):
    """Guards against requests that are offered to a stale entry or held.

    No other server is left, so each request could only wait for it.
    """
    server = old_process(names_itself=names_itself)
    caller.send("/read/a")
    end = time.monotonic() + _STALE_S
    responses = []
    while time.monotonic() < end:
        responses.append(caller.send("/read/a"))
        gevent.sleep(_REQUEST_INTERVAL_S)
    assert {response.status for response in responses} == {503}
    assert len(server.arrivals) <= _MAX_STALE_ATTEMPTS
    seconds = sorted(response.seconds for response in responses)
    assert seconds[len(seconds) // 2] < 0.1


def test_stale_entry_beside_a_server_is_not_used(
    old_process, backend, node, caller
):
    """Guards against callers who pay for a stale entry that is known."""
    server = old_process(names_itself=True)
    backend("i-2")
    conftest.wait_until(lambda: len(node.servers) == 2)
    caller.send("/read/a")
    known = len(server.arrivals)
    end = time.monotonic() + _STALE_S
    while time.monotonic() < end:
        assert caller.send("/write/a", method="POST").status == 200
        gevent.sleep(_REQUEST_INTERVAL_S)
    assert len(server.arrivals) <= known + 1
