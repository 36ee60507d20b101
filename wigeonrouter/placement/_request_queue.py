"""Priority order of the queued requests of a service.

Load pattern: after an outage all callers come back at once, and most of their
requests are already too late for their target time. Requests that can still
meet the target time are served first, by priority and then by target time;
late requests get the remaining capacity. Hundreds may be queued, so every
operation takes logarithmic time.
"""

import dataclasses
import itertools
import math

import sortedcontainers

from wigeonrouter.placement import _records

# Number of requests at the head of the queue that may look for a server at the
# same time.
HEAD_SIZE = 4


def late_from(request, service_time):
    """Return the time after which a request misses its target time.

    Args:
      request: PendingRequest.
      service_time: undisturbed service time in seconds.
    """
    return request.target_time - service_time


def is_late(request, *, service_time, now):
    """Return whether a request can no longer meet its target time.

    Args:
      request: PendingRequest.
      service_time: undisturbed service time in seconds.
      now: seconds on the monotonic clock.
    """
    return now > late_from(request, service_time)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True, eq=False)
class _QueuedRequest:
    """A request in the queue.

    Attributes:
      entry: key that the caller of the queue chose.
      sequence: position in the order of arrival, which breaks ties.
      late_from: time after which it misses its target time.
    """

    entry: object
    request: _records.PendingRequest
    sequence: int
    late_from: float


class RequestQueue:
    """Priority queue of the requests of one service.

    The times given to consecutive calls must not decrease.
    """

    def __init__(self):
        self._queued = {}
        self._sequence = itertools.count()
        self._on_time = sortedcontainers.SortedKeyList(key=_on_time_rank)
        self._late = sortedcontainers.SortedKeyList(key=_late_rank)
        # The requests that are not late, in the order in which they will be.
        self._turning_late = sortedcontainers.SortedKeyList(
            key=_turning_late_rank
        )

    def __len__(self):
        return len(self._queued)

    def __iter__(self):
        """Iterate over all entries, in the order of their arrival."""
        return iter(self._queued)

    def add(self, entry, request, service_time):
        """Add a PendingRequest under an entry, which is any hashable object.

        Args:
          entry: key for head() and remove().
          request: PendingRequest.
          service_time: undisturbed service time in seconds.
        """
        queued = _QueuedRequest(
            entry=entry,
            request=request,
            sequence=next(self._sequence),
            late_from=late_from(request, service_time),
        )
        self._queued[entry] = queued
        self._on_time.add(queued)
        self._turning_late.add(queued)

    def remove(self, entry):
        """Remove an entry; no effect if it is not queued."""
        queued = self._queued.pop(entry, None)
        if queued is None:
            return
        if queued in self._late:
            self._late.remove(queued)
        else:
            self._on_time.remove(queued)
            self._turning_late.remove(queued)

    def head(self, now):
        """Return the first entries in order; these may look for a server."""
        self._move_late(now)
        ranked = itertools.chain(self._on_time, self._late)
        return [queued.entry for queued in itertools.islice(ranked, HEAD_SIZE)]

    def count_late(self, now):
        """Return how many queued requests can no longer meet their target."""
        self._move_late(now)
        return len(self._late)

    def count_ahead(self, request, service_time, now):
        """Return how many queued requests would be served before a new one."""
        self._move_late(now)
        if is_late(request, service_time=service_time, now=now):
            return len(self._on_time) + self._late.bisect_key_right(
                (request.priority, request.deadline, math.inf)
            )
        return self._on_time.bisect_key_right(
            (request.priority, request.target_time, math.inf)
        )

    def _move_late(self, now):
        """Move the requests that have become late behind all others."""
        while self._turning_late and self._turning_late[0].late_from < now:
            queued = self._turning_late.pop(0)
            self._on_time.remove(queued)
            self._late.add(queued)


def _on_time_rank(queued):
    request = queued.request
    return (request.priority, request.target_time, queued.sequence)


def _late_rank(queued):
    request = queued.request
    return (request.priority, request.deadline, queued.sequence)


def _turning_late_rank(queued):
    return (queued.late_from, queued.sequence)
