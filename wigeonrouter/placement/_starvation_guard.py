"""Finds the classes of requests that are served far less often than all.

Load pattern: requests of the highest priority, or of a tenant with few
requests, take all slots of a service for longer than the others can wait. The
others are rejected or given up one by one, although a small share of the slots
would serve some of them.

A class is a tenant and a rank. The first request of a starved class goes
before all others, until the class is served often enough again. So a lower
rank gets a small share of the slots, which is only as large as it has to be.
"""

import dataclasses
import math

# A class whose served share is below this part of that of all is starved. No
# class may be served less than a quarter as often as all.
_MIN_SERVED_RATIO = 0.4
# Time constant with which ended requests are forgotten.
_MEMORY_S = 10.0
# A class with fewer ended requests than this has no meaningful share.
_MIN_ENDED = 3.0
# Classes with less weight than this are forgotten.
_NEGLIGIBLE_WEIGHT = 0.05
# Number of requests after which forgotten classes are looked for.
_SWEEP_INTERVAL = 1000


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Count:
    """Ended requests; decays from `at` on."""

    served: float = 0.0
    ended: float = 0.0
    at: float = 0.0

    def add(self, *, served, now):
        """Return the count with a request that ended now."""
        kept = self.weight(now)
        return _Count(
            served=self.served * kept + served,
            ended=self.ended * kept + 1.0,
            at=now,
        )

    def weight(self, now):
        """Return how much the requests still count, from 0 to 1."""
        return math.exp(-max(0.0, now - self.at) / _MEMORY_S)


class StarvationGuard:
    """Counts the requests of each class that got a server, and those not.

    The times given to consecutive calls must not decrease.
    """

    def __init__(self):
        self._total = _Count()
        self._by_class = {}
        self._starved = {}
        self._until_sweep = _SWEEP_INTERVAL

    @property
    def starved(self):
        """Collection of the starved classes, longest starved first."""
        return self._starved.keys()

    def record(self, request_class, *, served, now):
        """Count a request that no longer waits.

        Args:
          request_class: any hashable object.
          served: whether it got a server, rather than being rejected or given
            up by its caller.
          now: seconds on the monotonic clock.
        Returns:
          Whether the class has become starved.
        """
        self._total = self._total.add(served=served, now=now)
        count = self._by_class.get(request_class, _Count())
        self._by_class[request_class] = count = count.add(
            served=served, now=now
        )
        self._until_sweep -= 1
        if not self._until_sweep:
            self._sweep(now)
        if not self._is_starved(count):
            self._starved.pop(request_class, None)
            return False
        if request_class in self._starved:
            return False
        self._starved[request_class] = None
        return True

    def _is_starved(self, count):
        share_of_all = self._total.served / self._total.ended
        return (
            count.ended >= _MIN_ENDED
            and count.served < _MIN_SERVED_RATIO * share_of_all * count.ended
        )

    def _sweep(self, now):
        self._until_sweep = _SWEEP_INTERVAL
        self._by_class = {
            request_class: count
            for request_class, count in self._by_class.items()
            if count.ended * count.weight(now) > _NEGLIGIBLE_WEIGHT
        }
        for request_class in self._starved.keys() - self._by_class.keys():
            del self._starved[request_class]
