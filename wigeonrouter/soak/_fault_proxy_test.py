"""Tests of the fault proxies of a soak run."""

import os

import pytest

from wigeonrouter.bench import _ports
from wigeonrouter.soak import _fault_proxy

_UNUSED_TARGET = ("127.0.0.1", 1)


@pytest.fixture
def make_proxy():
    """Return a function that starts a proxy at a port."""
    proxies = []

    def make(port):
        proxy = _fault_proxy.FaultProxy(
            listen=("127.0.0.1", port), target=_UNUSED_TARGET
        )
        proxies.append(proxy)
        return proxy

    yield make
    proxies[-1].stop()


def test_port_is_free_while_a_started_process_has_the_socket(make_proxy):
    """Guards against replaced servers that cannot take their address over.

    A process that is being started has copies of all sockets for a while.
    """
    (port,) = _ports.free_ports(1)
    proxy = make_proxy(port)
    copy = os.dup(proxy.listening_descriptor)
    try:
        proxy.stop()
        assert make_proxy(port).port == port
    finally:
        os.close(copy)
