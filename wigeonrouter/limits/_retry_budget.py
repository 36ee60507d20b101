"""Bounds retries to a share of the requests."""

# Lets a service with little traffic retry at all.
_MIN_TOKENS = 3.0
_MAX_TOKENS = 100.0


class RetryBudget:
    """Token bucket that each request fills and each retry drains."""

    def __init__(self, *, ratio):
        self._ratio = ratio
        self._tokens = _MIN_TOKENS

    def on_request(self):
        """Credit one first attempt."""
        self._tokens = min(_MAX_TOKENS, self._tokens + self._ratio)

    def try_spend(self):
        """Take the cost of one retry; return whether it was there."""
        if self._ratio <= 0 or self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
