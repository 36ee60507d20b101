"""Length-prefixed protobuf messages on a stream socket."""

import struct

_LENGTH = struct.Struct(">I")
# Above the store's largest value with room for the envelope.
MAX_FRAME_BYTES = 64 << 20


class FramingError(Exception):
    """The peer sent something that is no frame."""


def send_message(sock, message):
    """Send one message."""
    payload = message.SerializeToString()
    sock.sendall(_LENGTH.pack(len(payload)) + payload)


def receive_message(sock, message_type):
    """Receive one message.

    Returns:
      The message, or None where the peer closed between two messages.
    Raises:
      FramingError: the frame is too long, cut short or not decodable.
      OSError: the connection failed.
    """
    header = _receive_exactly(sock, _LENGTH.size, may_end=True)
    if header is None:
        return None
    (length,) = _LENGTH.unpack(header)
    if length > MAX_FRAME_BYTES:
        raise FramingError(f"frame of {length} bytes is too long")
    payload = _receive_exactly(sock, length, may_end=False)
    message = message_type()
    try:
        message.ParseFromString(payload)
    except ValueError as error:
        raise FramingError("frame cannot be decoded") from error
    return message


def _receive_exactly(sock, length, *, may_end):
    parts = []
    missing = length
    while missing:
        part = sock.recv(min(missing, 1 << 16))
        if not part:
            if may_end and missing == length:
                return None
            raise FramingError("connection closed inside a frame")
        parts.append(part)
        missing -= len(part)
    return b"".join(parts)
