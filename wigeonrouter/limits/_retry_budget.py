"""Bounds retries to a share of the requests and along the call tree.

A call may be 15 calls deep. If each level retried by itself, a failing leaf
would be called max_attempts ** 15 times. The header X-Retry-Budget therefore
carries the number of retries left for the whole tree: down with a request,
and up with a refusal, so that levels above do not repeat what a level below
has already repeated. A repeated attempt gives nothing down.
"""

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


def parse_retry_allowance(*, text, max_attempts):
    """Return how many retries a request may still cause.

    Args:
      text: value of X-Retry-Budget, empty where the caller sent none.
      max_attempts: bound on the attempts of one daemon.
    Returns:
      A whole number; 0 where the text is no number, which is safe.
    """
    most = max(0, max_attempts - 1)
    if not text:
        return most
    if not (text.isascii() and text.isdigit()):
        return 0
    return min(most, int(text[:6]))


def downstream_retry_allowance(*, allowance, attempt):
    """Return what an attempt gives down, a whole number.

    Args:
      allowance: retries left.
      attempt: number of the attempt, 1 for the first.
    """
    return allowance if attempt == 1 else 0


def retry_allowance_after_rejection(*, allowance, text):
    """Return the retries left after an attempt was refused.

    Args:
      allowance: retries left before it.
      text: value of X-Retry-Budget of the response, or empty.
    """
    if not text:
        return allowance
    if not (text.isascii() and text.isdigit()):
        return 0
    return min(allowance, int(text[:6]))
