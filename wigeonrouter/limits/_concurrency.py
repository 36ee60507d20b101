"""Adaptive concurrency limit of one backend server: a pure function."""

# A server whose latency exceeds the mean of the service by this factor gets a
# lower limit. Half of that is the normal scatter of an average over five
# responses.
SLOW_LATENCY_RATIO = 2.0
_LIMIT_DECREASE = 0.5
_LIMIT_INCREASE = 0.1


def next_concurrency_limit(*, limit, slots, latency, mean_latency, queued):
    """Return the concurrency limit of a server after one more response.

    Args:
      limit: limit before the response, a float.
      slots: slots of the server.
      latency: average response time of the server, seconds.
      mean_latency: average response time of the service, seconds.
      queued: whether requests are queued; then every slot is needed, even a
        slow one.
    Returns:
      A float from 1 to slots.
    """
    if not queued and latency > SLOW_LATENCY_RATIO * mean_latency:
        return max(1.0, limit - _LIMIT_DECREASE)
    return min(float(slots), limit + _LIMIT_INCREASE)
