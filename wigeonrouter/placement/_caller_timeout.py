"""Estimates from a caller's timeout how old a request is.

Load pattern: callers that were rejected or lost a connection retry with less
of their timeout left. The timeouts stated by first attempts of a route differ
slightly between callers, and a few callers have far longer timeouts than the
rest. Only a request that states clearly less than the usual timeout is treated
as a retry.
"""

import collections

# Number of the latest timeouts that are kept as samples.
_MAX_SAMPLES = 200
# Samples between two calculations of the quantile.
_REFRESH_SAMPLES = 10
# Quantile of the samples that is taken as the usual timeout. Retries lie below
# it, the callers with the longest timeouts above.
_TIMEOUT_QUANTILE = 0.85
# With fewer samples the timeout that was stored before a restart is the better
# estimate.
_MIN_LEARNED_SAMPLES = 30
# Samples from which on the usual timeout is worth storing.
_STORABLE_SAMPLES = 100
# First attempts state at least this share of the usual timeout.
_MIN_FIRST_ATTEMPT_RATIO = 0.85


class CallerTimeoutEstimate:
    """Learns the usual timeout that callers of one route state.

    Right after all nodes were restarted most requests are retries, so the
    usual timeout cannot be learned from them.

    Args:
      stored: usual timeout in seconds that was learned before a restart, None
        if there is none.
    """

    def __init__(self, *, stored=None):
        self._stored = stored
        self._sample_count = 0
        self._samples = collections.deque(maxlen=_MAX_SAMPLES)
        self._usual_timeout = None
        self._samples_since_refresh = 0

    @property
    def learned_timeout(self):
        """Usual timeout in seconds, None while there are too few samples."""
        return (
            self._usual_timeout
            if self._sample_count >= _STORABLE_SAMPLES
            else None
        )

    def estimate_age(self, remaining):
        """Add the timeout of a request and return the age of the request.

        Args:
          remaining: seconds that the caller will still wait.
        Returns:
          Lower bound in seconds for the time since the first attempt, 0 for a
          request that may be a first attempt.
        """
        self._samples.append(remaining)
        self._sample_count += 1
        self._samples_since_refresh += 1
        if (
            self._usual_timeout is None
            or self._samples_since_refresh >= _REFRESH_SAMPLES
        ):
            self._samples_since_refresh = 0
            ordered = sorted(self._samples)
            self._usual_timeout = ordered[
                int(len(ordered) * _TIMEOUT_QUANTILE)
            ]
        usual_timeout = self._usual_timeout
        if (
            self._stored is not None
            and self._sample_count < _MIN_LEARNED_SAMPLES
        ):
            usual_timeout = self._stored
        return max(0.0, _MIN_FIRST_ATTEMPT_RATIO * usual_timeout - remaining)
