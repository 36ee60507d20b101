"""Requests that reach a node while it stops.

Load pattern: callers use a cached entry for seconds after its node began to
stop, and the node has to end at a fixed time. A request that it sent to a
server and could not finish by then would be cut off, and its caller may not
know whether it ran. Such a request is rejected instead while it has not run.
"""

import dataclasses
import math

# A response may take this many times the longest latency that was measured.
_LATENCY_MARGIN = 1.5


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StopSchedule:
    """When a node stops, seconds on the monotonic clock.

    Attributes:
      entries_expire: time when the last caller drops an entry that it got
        before the stop began.
      end: end of the node; each response has to be there by then.
    """

    entries_expire: float = math.inf
    end: float = math.inf


NO_STOP = StopSchedule()


def latest_start(request, *, longest_latency, schedule):
    """Return the time after which a node must not send a request.

    A request that is over before the node's end in any case, since its
    deadline passes, may be sent at any time. Of the others, only those that
    their caller may repeat are sent: while callers cannot know of the stop,
    and as long as a response is expected in time.

    Args:
      request: PendingRequest.
      longest_latency: longest recent latency of its route in seconds, None if
        none was measured. An idempotent request is then expected to meet its
        target time.
      schedule: StopSchedule of the node.
    Returns:
      Seconds on the monotonic clock: inf if there is no such time, -inf if
      the request must not be sent at all.
    """
    if request.deadline <= schedule.end:
        return math.inf
    if not request.idempotent:
        return -math.inf
    if longest_latency is None:
        longest_latency = request.target_time - request.arrived
    return min(
        schedule.entries_expire,
        schedule.end - _LATENCY_MARGIN * longest_latency,
    )
