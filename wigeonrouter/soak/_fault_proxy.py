"""TCP proxy that injects network faults."""

import enum
import struct

import gevent
from gevent import event
from gevent import server as gevent_server
from gevent import socket

_CONNECT_TIMEOUT_S = 1.0
_CHUNK_BYTES = 65536
_LINGER_ZERO = struct.pack("ii", 1, 0)


class Direction(enum.Enum):
    """Direction of the bytes on a proxied connection."""

    TO_TARGET = "to target"
    TO_CALLER = "to caller"


class FaultProxy:
    """Forwards the connections to one address to another address.

    A partition only holds bytes back: they are delivered once the faults are
    cleared.

    Attributes:
      delay: delay of each chunk in seconds.
      resets_new_connections: whether new connections are reset.
    """

    def __init__(self, *, listen, target):
        """Start to listen.

        Args:
          listen: pair of host and port of this proxy, port 0 for a free one.
          target: pair of host and port that connections are forwarded to.
        """
        self.delay = 0.0
        self.resets_new_connections = False
        self._target = target
        self._gates = {direction: event.Event() for direction in Direction}
        self.clear_faults()
        self._connections = set()
        self._server = gevent_server.StreamServer(listen, self._serve)
        self._server.start()

    @property
    def port(self):
        """Port that the proxy listens on."""
        return self._server.server_port

    @property
    def listening_descriptor(self):
        """File descriptor of the listening socket."""
        return self._server.socket.fileno()

    @property
    def address(self):
        """Pair of host and port that the proxy listens on."""
        return self._server.server_host, self.port

    def partition(self, *directions):
        """Hold back the bytes of some Directions, of both by default."""
        for direction in directions or Direction:
            self._gates[direction].clear()

    def clear_faults(self):
        """End all faults, but keep blackholed connections as they are."""
        self.delay = 0.0
        self.resets_new_connections = False
        for gate in self._gates.values():
            gate.set()

    def reset(self):
        """Reset all open connections."""
        for connection in list(self._connections):
            connection.reset()

    def blackhole(self):
        """Forward no further bytes on the connections open at present."""
        for connection in list(self._connections):
            connection.blackhole()

    def stop(self):
        """Stop listening and reset all connections.

        The port is free afterwards: a process that is being started may still
        hold a copy of the socket, which goes on listening unless shut down.
        """
        self._server.socket.shutdown(socket.SHUT_RDWR)
        self._server.stop(timeout=0)
        self.reset()

    def wait_until_passing(self, direction):
        """Wait until bytes of a Direction are no longer held back."""
        self._gates[direction].wait()

    def _serve(self, caller, _):
        if self.resets_new_connections:
            _reset(caller)
            return
        try:
            target = socket.create_connection(
                self._target, timeout=_CONNECT_TIMEOUT_S
            )
        except OSError:
            _reset(caller)
            return
        target.settimeout(None)
        connection = _ProxiedConnection(
            proxy=self, caller=caller, target=target
        )
        self._connections.add(connection)
        try:
            connection.run()
        finally:
            self._connections.discard(connection)


class _ProxiedConnection:
    """A connection from a caller and its counterpart to the target."""

    def __init__(self, *, proxy, caller, target):
        self._proxy = proxy
        self._caller = caller
        self._target = target
        self._tasks = []

    def run(self):
        for sock in (self._caller, self._target):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._tasks = [
            gevent.spawn(
                self._forward, self._caller, self._target, Direction.TO_TARGET
            ),
            gevent.spawn(
                self._forward, self._target, self._caller, Direction.TO_CALLER
            ),
        ]
        gevent.joinall(self._tasks, count=1)
        gevent.killall(self._tasks)
        self._caller.close()
        self._target.close()

    def reset(self):
        for sock in (self._caller, self._target):
            _reset(sock)
        gevent.killall(self._tasks, block=False)

    def blackhole(self):
        """Stop forwarding; both sockets stay open and receive nothing."""
        for task in self._tasks:
            task.kill(exception=_Blackholed, block=False)

    def _forward(self, source, sink, direction):
        try:
            while True:
                data = source.recv(_CHUNK_BYTES)
                if self._proxy.delay:
                    gevent.sleep(self._proxy.delay)
                self._proxy.wait_until_passing(direction)
                if not data:
                    return
                sink.sendall(data)
        except _Blackholed:
            event.Event().wait()
        except OSError:
            return


class _Blackholed(Exception):
    """Raised in the forwarding greenlets of a blackholed connection."""


def _reset(sock):
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_ZERO)
    except OSError:
        pass
    sock.close()
