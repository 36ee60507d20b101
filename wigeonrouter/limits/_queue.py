"""Queue of requests that wait for a free slot, fair between tenants."""

import heapq
import itertools

DEFAULT_WEIGHT = 1.0


class FairQueue:
    """Serves tenants in proportion to their weights.

    Within a tenant the earliest deadline comes first. Each tenant's virtual
    time advances by 1 / weight per request served, and the tenant with the
    smallest virtual time is next.
    """

    def __init__(self, *, weights=()):
        self._weights = dict(weights)
        self._waiting = {}
        self._virtual = {}
        self._clock = 0.0
        self._order = itertools.count()
        self._size = 0

    def __len__(self):
        return self._size

    def push(self, *, tenant, deadline, item):
        """Add an item.

        Returns:
          A handle for remove().
        """
        if tenant not in self._waiting:
            self._waiting[tenant] = []
            self._virtual[tenant] = max(
                self._virtual.get(tenant, 0.0), self._clock
            )
        handle = [deadline, next(self._order), tenant, item, True]
        heapq.heappush(self._waiting[tenant], handle)
        self._size += 1
        return handle

    def peek(self):
        """Return the handle that is next, or None."""
        while self._waiting:
            tenant = min(self._waiting, key=self._virtual.__getitem__)
            heap = self._waiting[tenant]
            while heap and not heap[0][4]:
                heapq.heappop(heap)
            if heap:
                return heap[0]
            del self._waiting[tenant]
        return None

    def take(self, handle):
        """Remove the handle that peek() returned, as served."""
        tenant = handle[2]
        heapq.heappop(self._waiting[tenant])
        handle[4] = False
        self._size -= 1
        self._clock = self._virtual[tenant]
        weight = self._weights.get(tenant, DEFAULT_WEIGHT)
        self._virtual[tenant] += 1.0 / weight
        if not self._waiting[tenant]:
            del self._waiting[tenant]

    def remove(self, handle):
        """Remove a handle that will not be served."""
        if handle[4]:
            handle[4] = False
            self._size -= 1
