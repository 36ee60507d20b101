"""Emulator of one node's network paths to the backend servers, for tests.

Each server is reached through a relay of its own, so that the paths of one
node can be cut while those of the other nodes work.
"""

import enum

import gevent
from gevent import event
from gevent import socket

from wigeonrouter import core

_CHUNK_BYTES = 65536
_LINGER_ZERO = b"\x01\x00\x00\x00\x00\x00\x00\x00"
_BACKLOG = 64
# Connections that fill the backlog of a socket that listens for none. The
# kernel drops the opening packets of further ones.
_FILLING_CONNECTIONS = 3


class Cut(enum.Enum):
    """What happens to a node's connections when its paths are cut."""

    # Open connections transfer nothing, new ones get no response.
    HANG = "hang"
    # Open connections are reset, new ones are refused.
    RESET = "reset"
    # Open connections go on to work, new ones are refused.
    KEEP = "keep"


class EmulatedLinks:
    """The paths of one node to all servers."""

    def __init__(self):
        self._relays = {}

    def route(self, address):
        """Return the core.Address at which the node reaches a server."""
        relay = self._relays.get(address)
        if relay is None:
            relay = self._relays[address] = _Relay(target=address)
        return relay.address

    def cut(self, kind, *, addresses=None):
        """Cut the paths to some servers, to all by default.

        Args:
          kind: Cut.
          addresses: core.Addresses of the servers.
        """
        for address, relay in self._relays.items():
            if addresses is None or address in addresses:
                relay.cut(kind)

    def restore(self):
        """Let all paths work again."""
        for relay in self._relays.values():
            relay.restore()

    def stop(self):
        """Stop all relays."""
        for relay in self._relays.values():
            relay.stop()


class _Relay:
    """Relays the connections of one node to one server."""

    def __init__(self, *, target):
        self._target = target
        self._passing = event.Event()
        self._passing.set()
        self._sockets = set()
        self._fillers = []
        self._port = 0
        self._listen(_BACKLOG)

    @property
    def address(self):
        return core.Address(host="127.0.0.1", port=self._port)

    def cut(self, kind):
        self._stop_listening()
        if kind is Cut.RESET:
            self._reset_connections()
        elif kind is Cut.HANG:
            self._passing.clear()
            self._listen(0)
            self._fill_backlog()

    def restore(self):
        self._stop_listening()
        self._passing.set()
        self._listen(_BACKLOG)

    def stop(self):
        self._stop_listening()
        self._reset_connections()

    def _listen(self, backlog):
        self._listener = socket.socket()
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._listener.bind(("127.0.0.1", self._port))
        self._listener.listen(backlog)
        self._port = self._listener.getsockname()[1]
        self._accept_task = None
        if backlog:
            self._accept_task = gevent.spawn(self._accept, self._listener)

    def _stop_listening(self):
        for filler in self._fillers:
            filler.close()
        self._fillers = []
        if self._accept_task is not None:
            self._accept_task.kill()
        self._listener.close()

    def _fill_backlog(self):
        for _ in range(_FILLING_CONNECTIONS):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(("127.0.0.1", self._port))
            self._fillers.append(filler)

    def _reset_connections(self):
        for sock in list(self._sockets):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_ZERO)
            sock.close()

    def _accept(self, listener):
        while True:
            caller, _ = listener.accept()
            gevent.spawn(self._serve, caller)

    def _serve(self, caller):
        try:
            server = socket.create_connection(
                (self._target.host, self._target.port)
            )
        except OSError:
            caller.close()
            return
        pair = {caller, server}
        for sock in pair:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._sockets |= pair
        tasks = [
            gevent.spawn(self._copy, caller, server),
            gevent.spawn(self._copy, server, caller),
        ]
        gevent.joinall(tasks, count=1)
        gevent.killall(tasks)
        self._sockets -= pair
        for sock in pair:
            sock.close()

    def _copy(self, source, destination):
        try:
            while data := source.recv(_CHUNK_BYTES):
                self._passing.wait()
                destination.sendall(data)
        except OSError:
            pass
