"""Decodes chunked bodies, byte-exact, and refuses all but the plain form.

Chunk extensions and trailers are refused: parsers differ on them.
"""

import re

from wigeonrouter.http1 import _messages

_SIZE = re.compile(rb"[0-9A-Fa-f]{1,8}")
_MAX_SIZE_LINE_BYTES = 32


class ChunkDecoder:
    """Decodes one body that arrives in parts.

    Attributes:
      body: the decoded bytes so far.
    """

    def __init__(self, *, max_body_bytes, invalid, too_large):
        self.body = bytearray()
        self._max_body_bytes = max_body_bytes
        self._invalid = invalid
        self._too_large = too_large
        self._buffer = bytearray()
        self._position = 0
        # Bytes of the present chunk that are missing, None between chunks.
        self._missing = None
        self._last = False
        self._complete = False

    @property
    def rest(self):
        """The bytes that follow the body."""
        return bytes(self._buffer)

    def feed(self, data):
        """Add data; return whether the body is whole."""
        self._buffer += data
        while not self._complete and self._step():
            pass
        del self._buffer[: self._position]
        self._position = 0
        return self._complete

    def _step(self):
        if self._missing is None:
            return self._read_size()
        return self._read_data()

    def _read_size(self):
        end = self._buffer.find(b"\r\n", self._position)
        waiting = len(self._buffer) - self._position
        if end < 0 and waiting <= _MAX_SIZE_LINE_BYTES:
            return False
        line = self._buffer[self._position : end]
        if end < 0 or not _SIZE.fullmatch(line):
            raise _messages.MalformedMessage(self._invalid, "bad chunk size")
        size = int(line, 16)
        if len(self.body) + size > self._max_body_bytes:
            raise _messages.MalformedMessage(self._too_large)
        self._position = end + 2
        self._missing = size
        self._last = size == 0
        return True

    def _read_data(self):
        end = min(self._position + self._missing, len(self._buffer))
        self.body += self._buffer[self._position : end]
        self._missing -= end - self._position
        self._position = end
        if self._missing or len(self._buffer) < end + 2:
            return False
        if self._buffer[end : end + 2] != b"\r\n":
            raise _messages.MalformedMessage(self._invalid, "bad chunk end")
        self._position = end + 2
        self._missing = None
        self._complete = self._last
        return True
