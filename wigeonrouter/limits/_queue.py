"""Weighted fair queue of the requests that wait for a free slot."""

import bisect
import heapq
import itertools

DEFAULT_WEIGHT = 1.0
# Beyond this number, the state of tenants without queued requests is dropped.
_MAX_IDLE_TENANTS = 64


class QueueEntry:
    """A queued item; its attributes are private to the queue."""

    __slots__ = ("tenant", "sort_key", "item", "queued")

    def __init__(self, *, tenant, sort_key, item):
        self.tenant = tenant
        self.sort_key = sort_key
        self.item = item
        self.queued = True


class FairQueue:
    """Serves tenants in proportion to their weights.

    Within a tenant the lowest key comes first. The virtual time of a tenant
    advances by cost / weight for each request that is served, and the tenant
    with the smallest virtual time is next. A tenant that returns after an idle
    time starts at the virtual time of the tenant served last, so that idle
    time earns no credit.
    """

    def __init__(self, *, weights=()):
        self._weights = dict(weights)
        self._queued = {}
        self._virtual_times = {}
        self._virtual_clock = 0.0
        self._arrival_order = itertools.count()
        self._size = 0

    def __len__(self):
        return self._size

    def set_weights(self, weights):
        """Set the weights, pairs of tenant and weight."""
        self._weights = dict(weights)

    def push(self, *, tenant, key, item):
        """Add an item.

        Args:
          tenant: name of the tenant.
          key: position within the tenant, lowest first.
          item: any object.
        Returns:
          A QueueEntry for dequeue() and remove().
        """
        if tenant not in self._queued:
            self._queued[tenant] = []
            self._virtual_times[tenant] = max(
                self._virtual_times.get(tenant, 0.0), self._virtual_clock
            )
        entry = QueueEntry(
            tenant=tenant, sort_key=(key, next(self._arrival_order)), item=item
        )
        bisect.insort(self._queued[tenant], entry, key=_sort_key)
        self._size += 1
        return entry

    def peek(self):
        """Return the entry to be served next, or None."""
        if not self._queued:
            return None
        tenant = min(self._queued, key=self._virtual_times.__getitem__)
        return self._queued[tenant][0]

    def first(self, count, *, cost=1.0):
        """Return the entries to be served next, in order.

        Args:
          count: largest number of entries.
          cost: expected cost of each, which is not known yet.
        """
        if len(self._queued) <= 1:
            return next(iter(self._queued.values()), [])[:count]
        ranked = [
            (self._virtual_times[tenant], order, 0, tenant)
            for order, tenant in enumerate(self._queued)
        ]
        heapq.heapify(ranked)
        entries = []
        while ranked and len(entries) < count:
            virtual_time, order, position, tenant = ranked[0]
            queued = self._queued[tenant]
            entries.append(queued[position])
            if position + 1 == len(queued):
                heapq.heappop(ranked)
                continue
            virtual_time += cost / self._weight(tenant)
            heapq.heapreplace(
                ranked, (virtual_time, order, position + 1, tenant)
            )
        return entries

    def first_of(self, tenant):
        """Return the first entry of a tenant, or None."""
        queued = self._queued.get(tenant)
        return queued[0] if queued else None

    def dequeue(self, entry, *, cost=1.0):
        """Remove an entry to be served and charge its cost to the tenant.

        Args:
          entry: QueueEntry; no effect if it is no longer queued.
          cost: in any unit that is the same for all entries, such as seconds
            of slot time.
        """
        if not entry.queued:
            return
        tenant = entry.tenant
        self._virtual_clock = max(
            self._virtual_clock, self._virtual_times[tenant]
        )
        self._virtual_times[tenant] += cost / self._weight(tenant)
        self.remove(entry)

    def remove(self, entry):
        """Remove an entry that will not be served, without a charge."""
        if not entry.queued:
            return
        entry.queued = False
        self._size -= 1
        queued = self._queued[entry.tenant]
        del queued[bisect.bisect_left(queued, entry.sort_key, key=_sort_key)]
        if not queued:
            del self._queued[entry.tenant]
            self._drop_idle_tenants()
        if not self._queued:
            # No request is waiting, so no tenant is behind its share.
            self._virtual_times.clear()

    def adjust_charge(self, tenant, difference):
        """Correct a charge once the actual cost is known.

        Args:
          tenant: name of the tenant.
          difference: actual cost less the cost given to dequeue().
        """
        if tenant in self._virtual_times:
            self._virtual_times[tenant] += difference / self._weight(tenant)

    def count_ahead(self, *, tenant, key):
        """Return how many items would be served before a new one.

        An estimate, since later arrivals may still be served earlier.

        Args:
          tenant: tenant of the new item.
          key: key of the new item.
        """
        own_entries = self._queued.get(tenant, ())
        ahead_in_tenant = bisect.bisect_right(own_entries, key, key=_key)
        weight, count = self._weight(tenant), ahead_in_tenant
        for other, queued in self._queued.items():
            if other != tenant:
                share = (ahead_in_tenant + 1) * self._weight(other) / weight
                count += min(len(queued), int(share))
        return count

    def find_evictable(self, tenant):
        """Return the entry that a new item of a tenant may evict, or None.

        In a full queue each tenant is entitled to a share by weight. For a
        tenant below its share, this is the last entry of the tenant with the
        most entries relative to its weight.
        """
        weights = {t: self._weight(t) for t in (*self._queued, tenant)}
        fair_share_per_weight = max(1, self._size) / sum(weights.values())
        if (
            len(self._queued.get(tenant, ())) + 1
            > fair_share_per_weight * weights[tenant]
        ):
            return None
        longest = max(
            self._queued,
            key=lambda t: len(self._queued[t]) / weights[t],
            default=None,
        )
        if longest is None or longest == tenant:
            return None
        return self._queued[longest][-1]

    def _weight(self, tenant):
        return self._weights.get(tenant, DEFAULT_WEIGHT)

    def _drop_idle_tenants(self):
        if len(self._virtual_times) - len(self._queued) <= _MAX_IDLE_TENANTS:
            return
        self._virtual_times = {
            tenant: virtual_time
            for tenant, virtual_time in self._virtual_times.items()
            if tenant in self._queued or virtual_time > self._virtual_clock
        }


def _sort_key(entry):
    return entry.sort_key


def _key(entry):
    return entry.sort_key[0]
