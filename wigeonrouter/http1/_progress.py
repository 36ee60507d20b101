"""A timeout for messages that may be large, on links that may be slow."""

import gevent

# A message that has begun goes on if so many bytes arrive within a timeout.
_PROGRESS_BYTES = 4096


class ProgressTimeout:
    """Raises TimeoutError in the calling task if a message stalls.

    Args:
      first: seconds until the first bytes are due.
      stall: seconds within which further ones are due.
    """

    def __init__(self, *, first, stall):
        self._stall = stall
        self._received = 0
        self._timer = _start_timer(first)

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self._timer.close()

    def receive(self, receive):
        """Return what a function returns, and count it as progress."""
        data = receive()
        first = not self._received
        self._received += len(data)
        if first or self._received >= _PROGRESS_BYTES:
            self._received = 1
            self._timer.close()
            self._timer = _start_timer(self._stall)
        return data


def _start_timer(seconds):
    return gevent.Timeout.start_new(seconds, TimeoutError("no bytes in time"))
