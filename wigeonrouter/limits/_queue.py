"""Queue of requests that wait for a free slot, fair between tenants."""

import bisect
import itertools

DEFAULT_WEIGHT = 1.0
# Tenants that wait for nothing are forgotten beyond this number.
_MAX_IDLE_TENANTS = 64


class Handle:
    """A waiting item; its attributes belong to the queue."""

    __slots__ = ("tenant", "rank", "item", "waiting")

    def __init__(self, *, tenant, rank, item):
        self.tenant = tenant
        self.rank = rank
        self.item = item
        self.waiting = True


class FairQueue:
    """Serves tenants in proportion to their weights.

    Within a tenant the lowest key comes first. Each tenant's virtual time
    advances by cost / weight for each request served, and the tenant with
    the smallest virtual time is next. A tenant that returns starts at the
    virtual time of the one served last, so that idling earns no credit.
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

    def set_weights(self, weights):
        """Take over new weights, pairs of tenant and weight."""
        self._weights = dict(weights)

    def push(self, *, tenant, key, item):
        """Add an item.

        Returns:
          A Handle for take() and remove().
        """
        if tenant not in self._waiting:
            self._waiting[tenant] = []
            self._virtual[tenant] = max(
                self._virtual.get(tenant, 0.0), self._clock
            )
        handle = Handle(
            tenant=tenant, rank=(key, next(self._order)), item=item
        )
        bisect.insort(self._waiting[tenant], handle, key=_rank)
        self._size += 1
        return handle

    def peek(self):
        """Return the handle that is next, or None."""
        if not self._waiting:
            return None
        tenant = min(self._waiting, key=self._virtual.__getitem__)
        return self._waiting[tenant][0]

    def take(self, handle, *, cost=1.0):
        """Remove a handle as served and charge its tenant."""
        if not handle.waiting:
            return
        tenant = handle.tenant
        self._clock = max(self._clock, self._virtual[tenant])
        self._virtual[tenant] += cost / self._weight(tenant)
        self.remove(handle)

    def remove(self, handle):
        """Remove a handle that will not be served; no charge."""
        if not handle.waiting:
            return
        handle.waiting = False
        self._size -= 1
        waiting = self._waiting[handle.tenant]
        del waiting[bisect.bisect_left(waiting, handle.rank, key=_rank)]
        if not waiting:
            del self._waiting[handle.tenant]
            self._forget_idle()
        if not self._waiting:
            # Nobody was kept waiting, so nobody is owed anything.
            self._virtual.clear()

    def settle(self, tenant, difference):
        """Correct a charge once the cost is known.

        Args:
          tenant: text.
          difference: actual cost less the cost given to take().
        """
        if tenant in self._virtual:
            self._virtual[tenant] += difference / self._weight(tenant)

    def ahead(self, *, tenant, key):
        """Return how many items would be served before a new one.

        Later arrivals may still overtake it, so this is an estimate.
        """
        own = self._waiting.get(tenant, ())
        before = bisect.bisect_right(own, key, key=_key)
        weight, count = self._weight(tenant), before
        for other, waiting in self._waiting.items():
            if other != tenant:
                share = (before + 1) * self._weight(other) / weight
                count += min(len(waiting), int(share))
        return count

    def find_displaced(self, tenant):
        """Return whose place a new item of a tenant may take, or None.

        In a full queue each tenant is entitled to a share by weight. A
        tenant below its share displaces the last item of the tenant that
        exceeds its own by most.
        """
        weights = {t: self._weight(t) for t in (*self._waiting, tenant)}
        unit = max(1, self._size) / sum(weights.values())
        if len(self._waiting.get(tenant, ())) + 1 > unit * weights[tenant]:
            return None
        longest = max(
            self._waiting,
            key=lambda t: len(self._waiting[t]) / weights[t],
            default=None,
        )
        if longest is None or longest == tenant:
            return None
        return self._waiting[longest][-1]

    def _weight(self, tenant):
        return self._weights.get(tenant, DEFAULT_WEIGHT)

    def _forget_idle(self):
        if len(self._virtual) - len(self._waiting) <= _MAX_IDLE_TENANTS:
            return
        self._virtual = {
            tenant: virtual
            for tenant, virtual in self._virtual.items()
            if tenant in self._waiting or virtual > self._clock
        }


def _rank(handle):
    return handle.rank


def _key(handle):
    return handle.rank[0]
