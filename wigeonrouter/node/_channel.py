"""Sends and receives messages between nodes over one TCP connection."""

import struct

import gevent
from gevent import socket
from google.protobuf import message as protobuf_message

from wigeonrouter.schema import node_pb2

_LENGTH_PREFIX = struct.Struct("!I")
_MAX_MESSAGE_BYTES = 16 << 20


class ChannelClosed(Exception):
    """The other side is gone, silent, or sent what is no message."""


class Channel:
    """One connection; one task reads and one writes at a time."""

    def __init__(self, *, sock):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._sock = sock

    def send(self, message, *, timeout):
        """Send a PeerMessage.

        Raises:
          ChannelClosed: the other side did not take it in time.
        """
        data = message.SerializeToString()
        try:
            with gevent.Timeout(timeout, TimeoutError("peer takes nothing")):
                self._sock.sendall(_LENGTH_PREFIX.pack(len(data)) + data)
        except OSError as error:
            raise ChannelClosed(str(error)) from error

    def receive(self, *, timeout):
        """Return the next PeerMessage.

        Raises:
          ChannelClosed: there was none in time.
        """
        try:
            with gevent.Timeout(timeout, TimeoutError("peer is silent")):
                (length,) = _LENGTH_PREFIX.unpack(
                    self._read(_LENGTH_PREFIX.size)
                )
                if length > _MAX_MESSAGE_BYTES:
                    raise ChannelClosed(f"message of {length} bytes")
                return node_pb2.PeerMessage.FromString(self._read(length))
        except (OSError, protobuf_message.DecodeError) as error:
            raise ChannelClosed(str(error)) from error

    def close(self):
        """Close the connection."""
        self._sock.close()

    def _read(self, length):
        data = b""
        while len(data) < length:
            chunk = self._sock.recv(length - len(data))
            if not chunk:
                raise ChannelClosed("closed by the peer")
            data += chunk
        return data


def connect(*, host, port, timeout):
    """Return a Channel to a peer.

    Raises:
      ChannelClosed: no connection was made in time.
    """
    try:
        sock = socket.create_connection((host, port), timeout=timeout)
    except OSError as error:
        raise ChannelClosed(str(error)) from error
    sock.settimeout(None)
    return Channel(sock=sock)
