"""Tests of a node process with fewer descriptors than connections."""

import functools
import os
import resource
import signal
import subprocess
import sys

import gevent
from gevent import socket
import pytest

from wigeonrouter import http1
from wigeonrouter.platform import conftest
from wigeonrouter.platform import testing

_RECEIVE_BYTES = 65536
_DESCRIPTORS = 150
_IDLE_CALLERS = 200


def _ask(sock, number):
    """Send a request and return the status, None if there is no response."""
    data = testing.render_request(
        method="GET",
        target="/read/a",
        host=conftest.HOST,
        request_id=f"id-{number}",
        remaining=1.0,
    )
    try:
        sock.sendall(data)
        return testing.read_response(
            lambda: sock.recv(_RECEIVE_BYTES), method=b"GET"
        ).status
    except (OSError, http1.MalformedMessage):
        return None


@pytest.fixture
def limited_process(tmp_path, make_settings):
    """Run a node process with few descriptors; return its caller address."""
    settings = make_settings()
    path = tmp_path / "settings"
    path.write_text(testing.render_settings(settings, bounds={"grace": "1s"}))
    process = subprocess.Popen(
        [sys.executable, "-m", "wigeonrouter.platform.main"],
        env={**os.environ, "WIGEONROUTER_SETTINGS": str(path)},
        preexec_fn=functools.partial(
            resource.setrlimit,
            resource.RLIMIT_NOFILE,
            (_DESCRIPTORS, _DESCRIPTORS),
        ),
        stdout=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
    )
    line = process.stdout.readline()
    while b'"started"' not in line:
        line = process.stdout.readline()
    yield settings.caller_address
    process.send_signal(signal.SIGKILL)
    process.wait()
    process.stdout.close()


def test_idle_callers_leave_descriptors_for_servers_and_new_callers(
    backend, limited_process
):
    """Guards against a node that idle connections shut off for good.

    They use up all descriptors of the process before their own limit is
    reached, so that it reaches no server and accepts no new connection.
    """
    for number in range(3):
        backend(f"i-{number}", slots=40)
    address = (limited_process.host, limited_process.port)
    gevent.sleep(1.0)
    idle = [socket.create_connection(address) for _ in range(_IDLE_CALLERS)]
    gevent.sleep(1.0)
    statuses = []
    for number in range(5):
        sock = socket.create_connection(address, timeout=1.5)
        statuses.append(_ask(sock, number))
        sock.close()
    for sock in idle:
        sock.close()
    assert statuses == [200] * 5
