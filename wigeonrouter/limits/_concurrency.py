"""Adaptive concurrency of one backend server: a pure function."""

# A server this much slower than the service's mean gets fewer requests at
# once. Half of that is normal scatter of an average over five answers.
SLOW_LATENCY_RATIO = 2.0
_LIMIT_DECREASE = 0.5
_LIMIT_INCREASE = 0.1


def next_concurrency_limit(*, limit, slots, latency, mean_latency, queued):
    """Return the bound on a server's requests after one more answer.

    Args:
      limit: the bound before, a float.
      slots: slots of the server.
      latency: the server's average time to answer, seconds.
      typical: the service's, seconds.
      queued: whether requests wait; then each slot is needed, a slow one too.
    Returns:
      A float from 1 to slots.
    """
    if not queued and latency > SLOW_LATENCY_RATIO * mean_latency:
        return max(1.0, limit - _LIMIT_DECREASE)
    return min(float(slots), limit + _LIMIT_INCREASE)
