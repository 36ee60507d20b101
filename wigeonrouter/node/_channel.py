"""Length-prefixed messages between nodes over a TCP connection."""

import struct

import gevent
from gevent import socket
from google.protobuf import message as protobuf_message

from wigeonrouter.schema import node_pb2

_LENGTH_PREFIX = struct.Struct("!I")
_CHUNK_BYTES = 64 << 10
# Messages with items of the store. The others have at most the state of one
# node, which may name each backend server.
_MAX_MESSAGE_BYTES = 16 << 20
MAX_SHORT_MESSAGE_BYTES = 2 << 20


class ChannelClosed(Exception):
    """The peer disconnected, timed out, or sent a malformed message."""


class Channel:
    """One connection; at most one task reads and one writes at a time."""

    def __init__(self, *, sock):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._sock = sock

    def send(self, message, *, timeout):
        """Send a PeerMessage.

        Raises:
          ChannelClosed: the message was not sent within `timeout` seconds.
        """
        data = message.SerializeToString()
        try:
            with gevent.Timeout(
                timeout, TimeoutError("send to peer timed out")
            ):
                self._sock.sendall(_LENGTH_PREFIX.pack(len(data)) + data)
        except OSError as error:
            raise ChannelClosed(str(error)) from error

    def receive(self, *, timeout, max_bytes=_MAX_MESSAGE_BYTES):
        """Return the next PeerMessage.

        Args:
          timeout: seconds.
          max_bytes: largest size of the message.
        Raises:
          ChannelClosed: none arrived within `timeout` seconds, or it was
            malformed or too large.
        """
        try:
            with gevent.Timeout(
                timeout, TimeoutError("no message from peer in time")
            ):
                (length,) = _LENGTH_PREFIX.unpack(
                    self._read(_LENGTH_PREFIX.size)
                )
                if length > max_bytes:
                    raise ChannelClosed(
                        f"message of {length} bytes is too large"
                    )
                return node_pb2.PeerMessage.FromString(self._read(length))
        except (OSError, protobuf_message.DecodeError) as error:
            raise ChannelClosed(str(error)) from error

    def close(self):
        self._sock.close()

    def _read(self, length):
        data = bytearray()
        while len(data) < length:
            chunk = self._sock.recv(min(_CHUNK_BYTES, length - len(data)))
            if not chunk:
                raise ChannelClosed("closed by the peer")
            data += chunk
        return bytes(data)


def connect(*, host, port, timeout):
    """Return a Channel to a peer.

    Raises:
      ChannelClosed: connecting failed or took longer than `timeout` seconds.
    """
    try:
        sock = socket.create_connection((host, port), timeout=timeout)
    except OSError as error:
        raise ChannelClosed(str(error)) from error
    sock.settimeout(None)
    return Channel(sock=sock)
