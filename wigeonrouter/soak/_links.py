"""Loopback proxy of one TCP address, with faults on command."""

import enum
import struct

import gevent
from gevent import event
from gevent import server as gevent_server
from gevent import socket

_CONNECT_TIMEOUT_S = 1.0
_CHUNK_BYTES = 65536
_RESET = struct.pack("ii", 1, 0)


class Direction(enum.Enum):
    """Which way bytes go."""

    TO_TARGET = "to target"
    TO_CALLER = "to caller"


class Link:
    """Passes connections to an address on to another one.

    Bytes that a cut holds back are delivered when it heals.

    Attributes:
      delay: seconds that each chunk waits.
      refusing: reset new connections.
    """

    def __init__(self, *, listen, target):
        """Take two pairs of host and port."""
        self.delay = 0.0
        self.refusing = False
        self._target = target
        self._open = {direction: event.Event() for direction in Direction}
        self.heal()
        self._pairs = set()
        self._server = gevent_server.StreamServer(listen, self._serve)
        self._server.start()

    @property
    def port(self):
        """Port that the proxy listens on."""
        return self._server.server_port

    @property
    def address(self):
        """Pair of host and port that the proxy listens on."""
        return self._server.server_host, self.port

    def cut(self, *directions):
        """Hold back all bytes, or those of some Directions."""
        for direction in directions or Direction:
            self._open[direction].clear()

    def heal(self):
        """End all faults but that of silenced connections."""
        self.delay = 0.0
        self.refusing = False
        for gate in self._open.values():
            gate.set()

    def reset(self):
        """Reset all open connections."""
        for pair in list(self._pairs):
            pair.reset()

    def silence(self):
        """Let nothing through on the connections that are open now."""
        for pair in list(self._pairs):
            pair.silence()

    def stop(self):
        """End all connections."""
        self._server.stop(timeout=0)
        self.reset()

    def wait_open(self, direction):
        """Wait until nothing holds bytes of a Direction back."""
        self._open[direction].wait()

    def _serve(self, caller, _):
        if self.refusing:
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
        pair = _Pair(link=self, caller=caller, target=target)
        self._pairs.add(pair)
        try:
            pair.run()
        finally:
            self._pairs.discard(pair)


class _Pair:
    """The two connections of one passed connection."""

    def __init__(self, *, link, caller, target):
        self._link = link
        self._caller = caller
        self._target = target
        self._tasks = []

    def run(self):
        for sock in (self._caller, self._target):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._tasks = [
            gevent.spawn(
                self._pump, self._caller, self._target, Direction.TO_TARGET
            ),
            gevent.spawn(
                self._pump, self._target, self._caller, Direction.TO_CALLER
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

    def silence(self):
        """Stop passing; both sides stay open and hear nothing."""
        for task in self._tasks:
            task.kill(exception=_Silenced, block=False)

    def _pump(self, source, sink, direction):
        try:
            while True:
                data = source.recv(_CHUNK_BYTES)
                if self._link.delay:
                    gevent.sleep(self._link.delay)
                self._link.wait_open(direction)
                if not data:
                    return
                sink.sendall(data)
        except _Silenced:
            event.Event().wait()
        except OSError:
            return


class _Silenced(Exception):
    """Nothing more may pass on the connection."""


def _reset(sock):
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
    except OSError:
        pass
    sock.close()
