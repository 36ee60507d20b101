"""Tests of the ports that concurrent test runs use."""

import itertools
import socket

from wigeonrouter.bench import _ports


def test_port_is_not_returned_to_two_test_runs(monkeypatch):
    """Guards against "port already in use" while several suites run.

    A port was tested and released, and another process could take it before
    the server listened.
    """
    offset = 12_345
    monkeypatch.setattr(_ports, "_port_offsets", itertools.count(offset))
    first = _ports.free_ports(3)
    monkeypatch.setattr(_ports, "_port_offsets", itertools.count(offset))
    assert not set(first) & set(_ports.free_ports(3))


def test_reserved_port_can_be_listened_on():
    """Guards against a reservation that keeps its own test from the port."""
    (port,) = _ports.free_ports(1)
    with socket.create_server(("127.0.0.1", port)) as server:
        assert server.getsockname()[1] == port
