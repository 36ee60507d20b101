"""Limits retries to a ratio of the requests and along the call tree.

A call tree may be 15 levels deep. If each level retried on its own, a failing
leaf would be called max_attempts ** 15 times. The header X-Retry-Budget
therefore carries the retry allowance of the whole tree: downstream with a
request, and upstream with a rejection, so that upper levels do not repeat the
retries of lower levels. A retry passes no allowance downstream.
"""

# Lets a service with little traffic retry at all.
_INITIAL_TOKENS = 3.0
_MAX_TOKENS = 100.0


class RetryBudget:
    """Token bucket that each request fills and each retry drains.

    Args:
      ratio: tokens per request; a retry costs one token.
    """

    def __init__(self, *, ratio):
        self._ratio = ratio
        self._tokens = _INITIAL_TOKENS

    def on_request(self):
        """Add the tokens of one first attempt."""
        self._tokens = min(_MAX_TOKENS, self._tokens + self._ratio)

    def try_spend(self):
        """Spend the token of one retry; return whether there was one."""
        if self._ratio <= 0 or self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


def parse_retry_allowance(*, text, max_attempts):
    """Return how many retries a request may still cause.

    Args:
      text: value of X-Retry-Budget, empty if the caller sent none.
      max_attempts: limit on the attempts of one daemon.
    Returns:
      A whole number; 0 if the text is not a number, which is the safe value.
    """
    max_retries = max(0, max_attempts - 1)
    if not text:
        return max_retries
    if not (text.isascii() and text.isdigit()):
        return 0
    return min(max_retries, int(text[:6]))


def downstream_retry_allowance(*, allowance, attempt):
    """Return the retry allowance that an attempt passes downstream.

    Args:
      allowance: retries left.
      attempt: number of the attempt, 1 for the first.
    """
    return allowance if attempt == 1 else 0


def retry_allowance_after_rejection(*, allowance, text):
    """Return the retries left after an attempt was rejected.

    Args:
      allowance: retries left before the attempt.
      text: value of X-Retry-Budget in the response, or empty.
    """
    if not text:
        return allowance
    if not (text.isascii() and text.isdigit()):
        return 0
    return min(allowance, int(text[:6]))
