"""Length-prefixed messages between nodes over a TCP connection."""

import functools
import struct

import gevent
from gevent import socket
from google.protobuf import message as protobuf_message

from wigeonrouter import http1
from wigeonrouter.schema import node_pb2

_LENGTH_PREFIX = struct.Struct("!I")
_CHUNK_BYTES = 64 << 10
# A message that is sent goes on if so many bytes are taken within a timeout.
_SENT_BYTES = 4 << 10
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

        A large one may take long on a slow link, so the timeout is that of
        each part of it.

        Raises:
          ChannelClosed: the peer took nothing within `timeout` seconds.
        """
        data = message.SerializeToString()
        rest = memoryview(_LENGTH_PREFIX.pack(len(data)) + data)
        try:
            while rest:
                with gevent.Timeout(
                    timeout, TimeoutError("send to peer timed out")
                ):
                    self._sock.sendall(rest[:_SENT_BYTES])
                rest = rest[_SENT_BYTES:]
        except OSError as error:
            raise ChannelClosed(str(error)) from error

    def receive(self, *, timeout, max_bytes=_MAX_MESSAGE_BYTES):
        """Return the next PeerMessage.

        Args:
          timeout: seconds until it begins, and until more of it arrives.
          max_bytes: largest size of the message.
        Raises:
          ChannelClosed: none began within `timeout` seconds, it stalled, or
            it was malformed or too large.
        """
        try:
            with http1.ProgressTimeout(
                first=timeout, stall=timeout
            ) as progress:
                prefix = self._read(_LENGTH_PREFIX.size, progress)
                (length,) = _LENGTH_PREFIX.unpack(prefix)
                if length > max_bytes:
                    raise ChannelClosed(
                        f"message of {length} bytes is too large"
                    )
                data = self._read(length, progress)
            return node_pb2.PeerMessage.FromString(data)
        except (OSError, protobuf_message.DecodeError) as error:
            raise ChannelClosed(str(error)) from error

    def close(self):
        self._sock.close()

    def _read(self, length, progress):
        data = bytearray()
        while len(data) < length:
            count = min(_CHUNK_BYTES, length - len(data))
            chunk = progress.receive(functools.partial(self._sock.recv, count))
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
