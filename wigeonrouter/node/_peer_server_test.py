"""Tests of connections to a node that do not come from another node."""

import dataclasses
import struct
import tracemalloc

import gevent
from gevent import socket
import pytest

from wigeonrouter import topology
from wigeonrouter.bench import _ports
from wigeonrouter.node import _peer_server
from wigeonrouter.node import _store_cache

_HOST = "127.0.0.1"
_CONNECTIONS = 8
_ANNOUNCED_BYTES = 15 << 20
MAX_MEMORY_BYTES = 8 << 20
WAIT_S = 10.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Settings:
    """The settings that a PeerServer uses."""

    host: str
    peer_ports: tuple


@pytest.fixture
def port():
    """Run the PeerServer of a node that is no hub; return its port."""
    settings = _Settings(host=_HOST, peer_ports=(_ports.free_ports(1)[0], 0))
    server = _peer_server.PeerServer(
        settings=settings,
        store_cache=_store_cache.StoreCache(apply=lambda *_: None),
        role=lambda: topology.Role(kind=topology.RoleKind.UNDECIDED),
        hub=lambda: None,
        check_server=lambda instance: 0,
        on_role_announced=lambda role: None,
    )
    server.start()
    yield settings.peer_ports[0]
    server.kill()


def test_large_messages_that_never_end_do_not_use_up_the_memory(port):
    """Guards against a node that keeps the bytes of many connections.

    Each announces a message of the largest size and does not complete it.
    """

    def send_without_end():
        with socket.create_connection((_HOST, port)) as sock:
            try:
                sock.sendall(struct.pack("!I", _ANNOUNCED_BYTES))
                for _ in range(_ANNOUNCED_BYTES // 65536 - 1):
                    sock.sendall(b"x" * 65536)
                sock.recv(1)
            except OSError:
                pass

    tracemalloc.start()
    try:
        tasks = [gevent.spawn(send_without_end) for _ in range(_CONNECTIONS)]
        gevent.joinall(tasks, timeout=WAIT_S, raise_error=True)
        _, peak = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert all(task.ready() for task in tasks)
    assert peak < MAX_MEMORY_BYTES
