"""Counts which requests of a service wait, are rejected or starved, by rank.

A rank is a pair: the priority of the tenant and that of the route.
"""

import collections
import time


class OverloadLog:
    """Owns the counts of one service.

    Args:
      queue: placement.RequestQueue of the service.
      on_starved: function that is told the placement.PendingRequest whose
        rank and tenant have become starved.
    """

    def __init__(self, *, queue, on_starved, clock=time.monotonic):
        self._queue = queue
        self._on_starved = on_starved
        self._clock = clock
        self._not_served = collections.Counter()

    @property
    def waiting(self):
        """Dict from rank to the number of queued requests."""
        return self._queue.count_by_rank()

    @property
    def not_served(self):
        """Dict from rank to the requests that got no server so far."""
        return dict(self._not_served)

    @property
    def starved(self):
        """Number of pairs of rank and tenant that are starved."""
        return self._queue.starved_count

    def on_end(self, request, *, served):
        """Count a request that no longer waits; see RequestQueue."""
        if not served:
            self._not_served[request.tenant_priority, request.priority] += 1
        became_starved = self._queue.record_end(
            request, served=served, now=self._clock()
        )
        if became_starved:
            self._on_starved(request)
