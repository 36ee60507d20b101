"""Tests of backend servers and callers that send bytes without end."""

import dataclasses

import gevent
from gevent import socket
import pytest

from wigeonrouter.platform import _emulator
from wigeonrouter.platform import conftest

# An eighth of it may be buffered.
MEMORY_BYTES = 32_000_000
BUFFER_BYTES = 4_000_000
CLOSE_TIMEOUT_S = 15.0
# The servers share the process of the node. When a busy machine holds it up,
# requests count from the beginning of that pause, and a shorter timeout may
# have passed before they are handled.
_LONG_TIMEOUT_MS = 10_000
# Servers that are registered meanwhile are known before this time has passed.
_FIRST_EXECUTION_S = 2.0


@pytest.fixture
def node(make_settings, start_node):
    """Run one node on a VM with little memory."""
    return start_node(make_settings(memory_bytes=MEMORY_BYTES))


@pytest.fixture
def watch_buffers(node):
    """Return a list that gets the buffered bytes of the node over time."""
    samples = []

    def sample():
        while True:
            samples.append(node.buffered_bytes)
            gevent.sleep(0.001)

    task = gevent.spawn(sample)
    yield samples
    task.kill()


@pytest.mark.parametrize("fault", sorted(_emulator.ENDLESS_BYTES))
def test_endless_response_ends_at_once_and_may_have_run(
    backend, node, caller, watch_buffers, fault
):
    """Guards against memory and time that an endless response takes.

    The server has the request, so "not executed" would not be true.
    """
    (server,) = conftest.start_ready(backend, node, "i-1")
    server.fault = fault
    response = caller.send("/write/a", method="POST", body=b"x")
    assert response.status == 502 and len(server.runs) == 1
    assert response.seconds < 1.0
    assert max(watch_buffers) <= BUFFER_BYTES
    conftest.wait_until(lambda: not node.buffered_bytes)


def _configuration_with_long_timeout():
    route = conftest.configuration()["routes"]["r-read"]
    timeout = f"{_LONG_TIMEOUT_MS}ms"
    return conftest.configuration(
        2, routes={"r-read": {**route, "timeout": timeout}}
    )


def _is_served(response, *, within):
    return response.status == 200 and response.seconds <= within


def test_servers_that_send_without_end_do_not_affect_the_others(
    store, backend, node, watch_buffers
):
    """Guards against a node that ends for lack of memory.

    Three of ten servers send without end. They are paused after a few
    requests, which may repeat and are served by the others.
    """
    store.put("op/config", _configuration_with_long_timeout())
    conftest.wait_until(lambda: node.counts["configuration-in-force"] == 2)
    # They are the only ones at first, so that the first requests are theirs.
    names = [f"i-endless-{number}" for number in range(3)]
    endless = conftest.start_ready(backend, node, *names)
    for server, fault in zip(
        endless,
        ("endless-body", "endless-chunks", "endless-head"),
        strict=True,
    ):
        server.fault = fault
        server.slowdown = 0.5
        server.extra_time = _FIRST_EXECUTION_S
    callers = [
        conftest.Caller(address=node.settings.caller_address) for _ in range(6)
    ]

    def send_some(caller, number):
        return [
            caller.send(
                "/read/a",
                request_id=f"{number}-{count}",
                remaining=_LONG_TIMEOUT_MS,
            )
            for count in range(10)
        ]

    tasks = [
        gevent.spawn(send_some, caller, number)
        for number, caller in enumerate(callers)
    ]
    conftest.wait_until(lambda: all(server.runs for server in endless))
    # Then one of them has at least two requests, which will fail in a row.
    conftest.wait_until(
        lambda: sum(len(server.runs) for server in endless) > len(endless)
    )
    conftest.start_ready(backend, node, *(f"i-{n}" for n in range(7)))
    for server in endless:
        server.extra_time = 0.0
    served = 0
    for task in tasks:
        first, *others = task.get(timeout=20)
        served += _is_served(first, within=1.0 + _FIRST_EXECUTION_S)
        served += sum(_is_served(other, within=1.0) for other in others)
    assert served >= 0.9 * 60
    assert max(watch_buffers) <= BUFFER_BYTES
    assert node.counts["server-paused"]


@pytest.mark.parametrize(
    "start",
    [
        b"",
        b"POST /write/a HTTP/1.1\r\nHost: shop.example\r\n\r\n",
        b"POST /write/a HTTP/1.1\r\nHost: shop.example\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n",
        b"POST /write/a HTTP/1.1\r\nHost: shop.example\r\n"
        b"Content-Length: 999999\r\n\r\n",
    ],
    ids=["head", "no-length", "chunked", "length"],
)
def test_callers_that_send_without_end_do_not_affect_others(
    backend, node, caller, watch_buffers, start
):
    """Guards against callers that use up the memory of a node.

    The node closes their connections, whether they read its response or not.
    """
    # Enough slots for the callers whose first request is valid.
    names = [f"i-{number}" for number in range(8)]
    conftest.start_ready(backend, node, *names)
    address = node.settings.caller_address

    def send_endless(sock):
        sock.sendall(start)
        while True:
            sock.sendall(b"X" * 65536)

    def receive_to_the_end():
        with socket.create_connection((address.host, address.port)) as sock:
            sending = gevent.spawn(send_endless, sock)
            try:
                while sock.recv(65536):
                    pass
            except ConnectionResetError:
                pass
            sending.kill()

    tasks = [gevent.spawn(receive_to_the_end) for _ in range(8)]
    gevent.sleep(0.05)
    assert caller.send("/read/a").status == 200
    gevent.joinall(tasks, timeout=CLOSE_TIMEOUT_S)
    assert all(task.successful() for task in tasks)
    assert max(watch_buffers) <= BUFFER_BYTES


def test_changed_memory_changes_the_limit(node):
    """Guards against a limit that stays at the memory of the start."""
    node.reload(
        dataclasses.replace(node.settings, memory_bytes=2 * MEMORY_BYTES)
    )
    assert node.buffer_limit == 2 * BUFFER_BYTES
