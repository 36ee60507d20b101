"""Decodes bodies with chunked transfer coding.

Chunk extensions and trailers are rejected, because HTTP parsers differ in how
they treat them.
"""

import re

from wigeonrouter.http1 import _messages

_SIZE_LINE = re.compile(rb"[0-9A-Fa-f]{1,8}")
_MAX_SIZE_LINE_BYTES = 32
# Bytes of size lines and line ends that a body may have beyond its own size.
# Very small chunks take much more time to decode than they add to the body.
_MAX_EXTRA_FRAMING_BYTES = 64 << 10


class ChunkDecoder:
    """Incremental decoder for one body.

    Attributes:
      body: the bytes decoded so far.

    Args:
      max_body_bytes: largest accepted body.
      invalid: core.ProblemType for a malformed body.
      too_large: core.ProblemType for a body over the limit.
    """

    def __init__(self, *, max_body_bytes, invalid, too_large):
        self.body = bytearray()
        self._max_body_bytes = max_body_bytes
        self._invalid = invalid
        self._too_large = too_large
        self._buffer = bytearray()
        self._position = 0
        self._decoded_bytes = 0
        # Bytes left of the current chunk; None while reading a size line.
        self._chunk_bytes_left = None
        self._in_last_chunk = False
        self._complete = False

    @property
    def surplus(self):
        """The bytes that follow the body."""
        return bytes(self._buffer)

    def feed(self, data):
        """Decode more data; return whether the body is complete.

        Raises:
          MalformedMessage: the body is malformed or too large.
        """
        self._buffer += data
        while not self._complete and self._decode_next():
            pass
        del self._buffer[: self._position]
        self._decoded_bytes += self._position
        self._position = 0
        framing_bytes = self._decoded_bytes - len(self.body)
        if framing_bytes > len(self.body) + _MAX_EXTRA_FRAMING_BYTES:
            raise _messages.MalformedMessage(
                self._invalid, "chunks are too small"
            )
        return self._complete

    def _decode_next(self):
        if self._chunk_bytes_left is None:
            return self._read_size()
        return self._read_data()

    def _read_size(self):
        end = self._buffer.find(b"\r\n", self._position)
        unread_bytes = len(self._buffer) - self._position
        if end < 0 and unread_bytes <= _MAX_SIZE_LINE_BYTES:
            return False
        line = self._buffer[self._position : end]
        if end < 0 or not _SIZE_LINE.fullmatch(line):
            raise _messages.MalformedMessage(
                self._invalid, "invalid chunk size"
            )
        size = int(line, 16)
        if len(self.body) + size > self._max_body_bytes:
            raise _messages.MalformedMessage(self._too_large)
        self._position = end + 2
        self._chunk_bytes_left = size
        self._in_last_chunk = size == 0
        return True

    def _read_data(self):
        end = min(self._position + self._chunk_bytes_left, len(self._buffer))
        self.body += self._buffer[self._position : end]
        self._chunk_bytes_left -= end - self._position
        self._position = end
        if self._chunk_bytes_left or len(self._buffer) < end + 2:
            return False
        if self._buffer[end : end + 2] != b"\r\n":
            raise _messages.MalformedMessage(
                self._invalid, "chunk data is not followed by CRLF"
            )
        self._position = end + 2
        self._chunk_bytes_left = None
        self._complete = self._in_last_chunk
        return True
