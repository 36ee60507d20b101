"""Priority order of the queued requests of a service.

Load pattern: after an outage all callers come back at once, and most of their
requests are already too late for their target time. Requests that can still
meet the target time are served first, by the priority of their tenant, that of
their route and then by target time; late requests get the remaining capacity.
Hundreds may be queued, so no operation looks at each of them.

Load pattern: one tenant sends several times as many requests as the others
with the same priorities. Slot time is divided equally between the tenants
whose requests wait, so that only its own requests wait longer.
"""

import collections
import dataclasses
import itertools
import math

import sortedcontainers

from wigeonrouter import limits
from wigeonrouter.placement import _records
from wigeonrouter.placement import _starvation_guard

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


def _rank(request):
    """Return the rank of a request; the smallest one is the highest."""
    return (request.tenant_priority, request.priority)


class _RankedQueue:
    """Requests by rank, and of equal rank in a fair queue by tenant."""

    def __init__(self):
        self._by_rank = sortedcontainers.SortedDict()
        self._size = 0

    def __len__(self):
        return self._size

    def push(self, request, key, item):
        """Add an item; return the limits.QueueEntry for remove()."""
        rank = _rank(request)
        queue = self._by_rank.get(rank)
        if queue is None:
            queue = self._by_rank[rank] = limits.FairQueue()
        self._size += 1
        return queue.push(tenant=request.tenant, key=key, item=item)

    def remove(self, request, fair_entry, *, cost=None):
        """Remove an item; with a cost, charge it to the tenant."""
        rank = _rank(request)
        queue = self._by_rank[rank]
        if cost is None:
            queue.remove(fair_entry)
        else:
            queue.dequeue(fair_entry, cost=cost)
        self._size -= 1
        if not len(queue):
            del self._by_rank[rank]

    def first(self, count):
        """Return the first items in order."""
        items = []
        for queue in self._by_rank.values():
            if len(items) == count:
                break
            cost = queue.peek().item.service_time
            items += [
                fair_entry.item
                for fair_entry in queue.first(count - len(items), cost=cost)
            ]
        return items

    def first_of(self, request_class):
        """Return the first item of a class, or None."""
        rank, tenant = request_class
        queue = self._by_rank.get(rank)
        fair_entry = None if queue is None else queue.first_of(tenant)
        return None if fair_entry is None else fair_entry.item

    def count_ahead(self, request, key):
        """Return how many items would be served before a new request."""
        rank = _rank(request)
        ahead = 0
        for other, queue in self._by_rank.items():
            if other > rank:
                break
            ahead += (
                len(queue)
                if other < rank
                else queue.count_ahead(tenant=request.tenant, key=key)
            )
        return ahead

    def counts(self):
        """Return a dict from each rank to the number of its items."""
        return {rank: len(queue) for rank, queue in self._by_rank.items()}


@dataclasses.dataclass(kw_only=True, slots=True, eq=False)
class _QueuedRequest:
    """A request in the queue.

    Attributes:
      entry: key that the caller of the queue chose.
      sequence: position in the order of arrival, which breaks ties.
      service_time: undisturbed service time in seconds.
      late_from: time after which it misses its target time.
      fair_entry: its entry in a fair queue.
      late: whether this is the one of late requests.
    """

    entry: object
    request: _records.PendingRequest
    sequence: int
    service_time: float
    late_from: float
    fair_entry: limits.QueueEntry | None = None
    late: bool = False


class RequestQueue:
    """Priority queue of the requests of one service.

    The times given to consecutive calls must not decrease.
    """

    def __init__(self):
        self._queued = {}
        self._sequence = itertools.count()
        self._on_time = _RankedQueue()
        self._late = _RankedQueue()
        # The requests that are not late, in the order in which they will be.
        self._turning_late = sortedcontainers.SortedKeyList(
            key=_turning_late_rank
        )
        self._guard = _starvation_guard.StarvationGuard()

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
            service_time=service_time,
            late_from=late_from(request, service_time),
        )
        self._queued[entry] = queued
        queued.fair_entry = self._on_time.push(
            request, (request.target_time, queued.sequence), queued
        )
        self._turning_late.add(queued)

    def remove(self, entry):
        """Remove an entry; no effect if it is not queued."""
        self._remove(entry, charge=False)

    def dispatch(self, entry):
        """Remove an entry that gets a server; its tenant is charged for it."""
        self._remove(entry, charge=True)

    def record_end(self, request, *, served, now):
        """Count a request that no longer waits, or never did.

        Args:
          request: PendingRequest.
          served: whether it got a server, rather than being rejected or given
            up by its caller.
          now: seconds on the monotonic clock.
        Returns:
          Whether requests of its rank and tenant have just become starved.
        """
        return self._guard.record(_class_of(request), served=served, now=now)

    def head(self, now):
        """Return the first entries in order; these may look for a server."""
        self._move_late(now)
        first = self._on_time.first(HEAD_SIZE)
        if len(first) < HEAD_SIZE:
            first += self._late.first(HEAD_SIZE - len(first))
        starved = self._first_starved()
        if starved is not None:
            first = [
                starved,
                *(queued for queued in first if queued is not starved),
            ]
        return [queued.entry for queued in first[:HEAD_SIZE]]

    def count_late(self, now):
        """Return how many queued requests can no longer meet their target."""
        self._move_late(now)
        return len(self._late)

    def estimate_late(self, now):
        """Return count_late() without reordering the queue."""
        return len(self._late) + self._turning_late.bisect_key_left((now,))

    def count_by_rank(self):
        """Return a dict from each rank to the number of its requests.

        A rank is a pair: the priority of the tenant and that of the route.
        """
        counts = collections.Counter(self._on_time.counts())
        counts.update(self._late.counts())
        return dict(counts)

    def count_ahead(self, request, service_time, now):
        """Return how many queued requests would be served before a new one."""
        self._move_late(now)
        return self.estimate_ahead(request, service_time, now)

    def estimate_ahead(self, request, service_time, now):
        """Return count_ahead() without reordering the queue.

        Requests that have become late since the last change count as before.
        """
        if is_late(request, service_time=service_time, now=now):
            return len(self._on_time) + self._late.count_ahead(
                request, (request.deadline, math.inf)
            )
        return self._on_time.count_ahead(
            request, (request.target_time, math.inf)
        )

    def is_starved(self, request):
        """Return whether requests of this rank and tenant are starved."""
        return _class_of(request) in self._guard.starved

    def may_go_first(self, request):
        """Return whether a new request would go before all others.

        That is so if its rank and tenant are starved, and none of theirs is
        queued.
        """
        return (
            self.is_starved(request)
            and self._first_of(_class_of(request)) is None
        )

    @property
    def starved_count(self):
        """Number of pairs of rank and tenant that are starved."""
        return len(self._guard.starved)

    def _remove(self, entry, *, charge):
        queued = self._queued.pop(entry, None)
        if queued is None:
            return
        if not queued.late:
            self._turning_late.remove(queued)
        queue = self._late if queued.late else self._on_time
        queue.remove(
            queued.request,
            queued.fair_entry,
            cost=queued.service_time if charge else None,
        )

    def _first_starved(self):
        """Return the first request of the longest starved class, or None."""
        for request_class in self._guard.starved:
            queued = self._first_of(request_class)
            if queued is not None:
                return queued
        return None

    def _first_of(self, request_class):
        return self._on_time.first_of(request_class) or self._late.first_of(
            request_class
        )

    def _move_late(self, now):
        """Move the requests that have become late behind all others."""
        while self._turning_late and self._turning_late[0].late_from < now:
            queued = self._turning_late.pop(0)
            request = queued.request
            self._on_time.remove(request, queued.fair_entry)
            queued.fair_entry = self._late.push(
                request, (request.deadline, queued.sequence), queued
            )
            queued.late = True


class QueuePreview:
    """A RequestQueue as a new request finds it. Changes nothing.

    Args:
      queue: RequestQueue.
    """

    def __init__(self, queue):
        self._queue = queue
        self._joined = None

    def __len__(self):
        return len(self._queue) + (self._joined is not None)

    def join(self, request, service_time):
        """Count a PendingRequest as queued."""
        self._joined = (request, service_time)

    def is_behind(self, request, service_time, now):
        """Return whether a new request is not at the head of the queue."""
        ahead = self._queue.estimate_ahead(request, service_time, now)
        return ahead >= HEAD_SIZE and not self.may_go_first(request)

    def count_late(self, now):
        """See RequestQueue.count_late()."""
        late = self._queue.estimate_late(now)
        if self._joined is not None:
            request, service_time = self._joined
            late += is_late(request, service_time=service_time, now=now)
        return late

    def count_ahead(self, request, service_time, now):
        """See RequestQueue.count_ahead(), which counts a queued request."""
        ahead = self._queue.estimate_ahead(request, service_time, now)
        return ahead + (self._joined is not None)

    def is_starved(self, request):
        """See RequestQueue.is_starved()."""
        return self._queue.is_starved(request)

    def may_go_first(self, request):
        """See RequestQueue.may_go_first()."""
        return self._queue.may_go_first(request)


def _class_of(request):
    """Return the class of a request for the starvation guard."""
    return (_rank(request), request.tenant)


def _turning_late_rank(queued):
    return (queued.late_from, queued.sequence)
