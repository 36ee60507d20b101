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
# Fewer statements say less than what was learned before a restart.
_MIN_SAMPLES = 30
# Statements from which on the usual time is worth keeping.
_ENOUGH_SAMPLES = 100
# First attempts state at least this part of the usual time.
_LEAST_PART = 0.85


class UsualWait:
    """Owns the times that callers of one route said they would wait.

    Right after all nodes were restarted, most requests are later attempts,
    so that the usual time cannot be told from them.

    Args:
      kept: usual time in seconds that was learned before, None at first.
    """

    def __init__(self, *, kept=None):
        self._kept = kept
        self._seen = 0
        self._samples = collections.deque(maxlen=_MAX_SAMPLES)
        self._usual = None
        self._since = 0

    @property
    def learned(self):
        """Usual time in seconds, None where too few callers stated one."""
        return self._usual if self._seen >= _ENOUGH_SAMPLES else None

    def spent(self, remaining):
        """Add a statement and return the age of its request.

        Args:
          remaining: seconds that the caller will wait.
        Returns:
          Seconds since its first attempt at least, 0 where that cannot be
          told.
        """
        self._samples.append(remaining)
        self._seen += 1
        self._since += 1
        if self._usual is None or self._since >= _REFRESH:
            self._since = 0
            ordered = sorted(self._samples)
            self._usual = ordered[int(len(ordered) * _USUAL_SHARE)]
        usual = self._usual
        if self._kept is not None and self._seen < _MIN_SAMPLES:
            usual = self._kept
        return max(0.0, _LEAST_PART * usual - remaining)
