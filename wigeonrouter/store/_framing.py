"""Length-prefixed protobuf messages on a stream socket."""

import struct

_LENGTH_PREFIX = struct.Struct(">I")
# Above the store's maximum value size, with room for the message around it.
MAX_FRAME_BYTES = 64 << 20


class FramingError(Exception):
    """The peer sent an invalid or incomplete frame."""


def send_message(sock, message):
    """Send one message, prefixed with its length.

    Raises:
      OSError: the connection failed.
    """
    payload = message.SerializeToString()
    sock.sendall(_LENGTH_PREFIX.pack(len(payload)) + payload)


def receive_message(sock, message_type):
    """Receive one message.

    Returns:
      The message, or None if the peer closed the connection between two
      messages.
    Raises:
      FramingError: the frame is too long, truncated or not decodable.
      OSError: the connection failed.
    """
    header = _receive_exactly(sock, _LENGTH_PREFIX.size, allow_end=True)
    if header is None:
        return None
    (length,) = _LENGTH_PREFIX.unpack(header)
    if length > MAX_FRAME_BYTES:
        raise FramingError(f"frame of {length} bytes exceeds the size limit")
    payload = _receive_exactly(sock, length, allow_end=False)
    message = message_type()
    try:
        message.ParseFromString(payload)
    except ValueError as error:
        raise FramingError("frame does not hold a valid message") from error
    return message


def _receive_exactly(sock, length, *, allow_end):
    received = []
    remaining = length
    while remaining:
        chunk = sock.recv(min(remaining, 1 << 16))
        if not chunk:
            if allow_end and remaining == length:
                return None
            raise FramingError("connection was closed within a frame")
        received.append(chunk)
        remaining -= len(chunk)
    return b"".join(received)
