"""Tells how long ago a caller made its first attempt.

Load pattern: callers that were refused or lost a connection return with
less time left. First attempts of a kind of request state times that differ
a little from caller to caller, and a few callers are far more patient than
the others. Only a request that states clearly less than the usual time is
taken for a later attempt.
"""

import collections

# Latest statements that are looked at.
_MAX_SAMPLES = 200
# Statements between two sortings.
_REFRESH = 10
# Share of the statements below the one taken as the usual time. Later
# attempts lie below it, the most patient callers above.
_USUAL_SHARE = 0.85
# First attempts state at least this part of the usual time.
_LEAST_PART = 0.85


class UsualWait:
    """Owns the times that callers of one route said they would wait."""

    def __init__(self):
        self._samples = collections.deque(maxlen=_MAX_SAMPLES)
        self._usual = None
        self._since = 0

    def spent(self, remaining):
        """Add a statement and return the age of its request.

        Args:
          remaining: seconds that the caller will wait.
        Returns:
          Seconds since its first attempt at least, 0 where that cannot be
          told.
        """
        self._samples.append(remaining)
        self._since += 1
        if self._usual is None or self._since >= _REFRESH:
            self._since = 0
            ordered = sorted(self._samples)
            self._usual = ordered[int(len(ordered) * _USUAL_SHARE)]
        return max(0.0, _LEAST_PART * self._usual - remaining)
