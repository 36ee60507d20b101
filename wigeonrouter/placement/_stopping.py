"""Requests that reach a node while it stops.

Load pattern: callers use a cached entry for seconds after its node began to
stop, and the node has to end at a fixed time. A request that it sent to a
server and could not finish by then would be cut off, and its caller may not
know whether it ran. Such a request is rejected instead while it has not run.
"""

import dataclasses
import math

# Some callers cache an entry for this many times its TTL.
_ENTRIES_TTL_FACTOR = 3
# Share of the stop grace during which a stopping node still accepts requests,
# because callers with a cached entry still send some.
_ACCEPT_GRACE_SHARE = 0.7
# Share of the stop grace after which the node exits, finished or not.
_EXIT_GRACE_SHARE = 0.95
# Time to return a response to its caller before the node exits.
_RESPONSE_MARGIN_S = 0.05
# A response may take this many times the longest latency that was measured.
_LATENCY_MARGIN = 1.5


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StopSchedule:
    """When a node stops, seconds on the monotonic clock.

    Attributes:
      began: earliest time when the stop signal may have come, inf without a
        stop.
      entries_expire: time when the last caller drops an entry that it got
        before the stop began.
      accept_until: time until which the node accepts connections.
      end: time by which each response has to be there.
      exit: time when the node exits, finished or not.
    """

    began: float = math.inf
    entries_expire: float = math.inf
    accept_until: float = math.inf
    end: float = math.inf
    exit: float = math.inf

    def outlasts(self, request):
        """Return whether a PendingRequest is over before the end for sure."""
        return request.deadline <= self.end


NO_STOP = StopSchedule()


def plan_stop(*, signalled, now, grace, entries_ttl):
    """Return the StopSchedule of a node that begins to stop.

    What the node takes is planned from the earliest time of the signal, since
    the process may be killed one grace after it. Requests that it has taken
    already get all the time that there may be.

    Args:
      signalled: earliest time when the signal may have come, seconds on the
        monotonic clock. It waits while the process is held up.
      now: seconds on the monotonic clock.
      grace: seconds until the process is killed.
      entries_ttl: TTL of the entries that callers got, seconds.
    """
    exit_delay = grace * _EXIT_GRACE_SHARE
    return StopSchedule(
        began=signalled,
        entries_expire=signalled + _ENTRIES_TTL_FACTOR * entries_ttl,
        accept_until=signalled + grace * _ACCEPT_GRACE_SHARE,
        end=signalled + exit_delay - _RESPONSE_MARGIN_S,
        exit=now + exit_delay,
    )


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
    if schedule.outlasts(request):
        return math.inf
    if not request.idempotent:
        return -math.inf
    if longest_latency is None:
        longest_latency = request.target_time - request.arrived
    return min(
        schedule.entries_expire,
        schedule.end - _LATENCY_MARGIN * longest_latency,
    )
