"""Limits the bytes that a process buffers for messages.

Load pattern: a few backend servers or callers send bytes without end, each
less than the largest message, while most messages are small. When the limit is
reached, the message with the most bytes is given up, so that the others are
not affected.
"""

from wigeonrouter.http1 import _messages


class BufferBudget:
    """Owns the limit and counts the bytes of all reservations.

    Args:
      limit: largest number of buffered bytes.
    """

    def __init__(self, *, limit):
        self._limit = limit
        self._used = 0
        self._reservations = set()

    @property
    def limit(self):
        """Largest number of buffered bytes."""
        return self._limit

    @property
    def used(self):
        """Number of buffered bytes."""
        return self._used

    def configure(self, *, limit):
        """Change the limit; applies to bytes that are received from now on."""
        self._limit = limit

    def reserve(self):
        """Return a new Reservation, which must be closed."""
        reservation = Reservation(budget=self)
        self._reservations.add(reservation)
        return reservation

    def add(self, count):
        """Count received bytes; give up messages if there are too many.

        Only called by Reservation.
        """
        self._used += count
        while self._used > self._limit:
            largest = max(self._reservations, key=lambda other: other.received)
            if not largest.received:
                return
            largest.abort()

    def remove(self, count):
        """Stop counting bytes; only called by Reservation."""
        self._used -= count

    def forget(self, reservation):
        """Remove a closed reservation; only called by it."""
        self._reservations.discard(reservation)


class Reservation:
    """The bytes that are buffered for one request and its responses.

    One message is received at a time. It is a context manager that closes
    itself.
    """

    def __init__(self, *, budget):
        self._budget = budget
        self._received = 0
        self._kept = 0
        self._abort_connection = None
        self._aborted = False

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.close()

    @property
    def received(self):
        """Number of bytes of the message that is being received."""
        return self._received

    @property
    def aborted(self):
        """Whether the latest message was given up because of the limit."""
        return self._aborted

    def counting(self, receive, *, abort, problem):
        """Start a message; return a function that counts what it receives.

        The function raises MalformedMessage once the message is given up. One
        of keep(), drop() and close() ends the message.

        Args:
          receive: function that returns the next bytes, b"" at the end.
          abort: function that makes a waiting `receive` return.
          problem: core.ProblemType of a message that is given up.
        """
        self._aborted = False
        self._abort_connection = abort

        def receive_counted():
            data = receive()
            if not self._aborted:
                self._received += len(data)
                self._budget.add(len(data))
            # The end of the stream may be that of an aborted connection.
            if self._aborted:
                raise _messages.MalformedMessage(problem, "buffers are full")
            return data

        return receive_counted

    def keep(self):
        """End a message that is complete; its bytes stay buffered."""
        self._abort_connection = None
        self._kept += self._received
        self._received = 0

    def drop(self):
        """End a message whose bytes are no longer buffered."""
        self._abort_connection = None
        self._budget.remove(self._received)
        self._received = 0

    def abort(self):
        """Give up the message that is being received; called by the budget."""
        abort_connection = self._abort_connection
        self._aborted = True
        self.drop()
        abort_connection()

    def close(self):
        """Stop counting, because nothing is buffered any longer."""
        self.drop()
        self._budget.remove(self._kept)
        self._kept = 0
        self._budget.forget(self)
