"""Requests that reach a node while it stops.

Load pattern: callers use a cached entry for seconds after its node began to
stop, and the node has to end at a fixed time. A request that it sent to a
server and could not finish by then would be cut off, and its caller may not
repeat it. Such a request is rejected instead while it has not run.
"""

import math

# A response may take this many times the longest latency that was measured.
_LATENCY_MARGIN = 1.5


def latest_start(request, *, longest_latency, stop_deadline):
    """Return the time after which a stopping node must not send a request.

    Args:
      request: PendingRequest.
      longest_latency: longest recent latency of its route in seconds, None if
        none was measured. An idempotent request is then expected to meet its
        target time.
      stop_deadline: end of the node in seconds on the monotonic clock, inf
        if it is not stopping.
    Returns:
      Seconds on the monotonic clock: inf if a response comes or times out
      before the end in any case, -inf if the request must not be sent at all.
    """
    if request.deadline <= stop_deadline:
        return math.inf
    if longest_latency is None:
        if not request.idempotent:
            return -math.inf
        longest_latency = request.target_time - request.arrived
    return stop_deadline - _LATENCY_MARGIN * longest_latency
