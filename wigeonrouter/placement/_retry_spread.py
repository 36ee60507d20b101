"""Decides when rejected callers retry.

Load pattern: a burst is rejected within some tens of milliseconds. Callers
retry once, after the Retry-After that they were told, but wait for at most a
third of the time that they have left. Longer values would bring all of them
back at that time.

Load pattern: a tenant is rejected again and again. At random times, some of
its callers would return together and be rejected once more. Its callers
therefore get times that divide the period evenly, each the fractional part of
a multiple of the golden ratio.
"""

import collections
import math

from wigeonrouter.placement import _admission

_MAX_WAIT_SHARE = 1 / 3
_MIN_JITTER = 0.5
_MAX_JITTER = 1.5
_GOLDEN_RATIO = (math.sqrt(5) - 1) / 2
_MAX_TENANTS = 1000


class RetrySpread:
    """Spreads the retries of rejected callers over the expected wait.

    Args:
      rng: random.Random.
    """

    def __init__(self, *, rng):
        self._rng = rng
        # Dict from a tenant to its latest position, from 0 to 1; the tenant
        # rejected last is at the end.
        self._positions = collections.OrderedDict()

    def retry_after(self, *, tenant, wait, time_left):
        """Return the seconds after which a rejected caller should retry.

        Args:
          tenant: name of its tenant, "" without one.
          wait: expected seconds until there is capacity.
          time_left: seconds to the deadline of the caller.
        """
        wait = min(wait, _admission.MAX_RETRY_AFTER_S / _MAX_JITTER)
        latest = min(_MAX_JITTER * wait, _MAX_WAIT_SHARE * time_left)
        earliest = min(_MIN_JITTER * wait, _MIN_JITTER * latest)
        position = self._next_position(tenant)
        return max(
            _admission.MIN_RETRY_AFTER_S,
            earliest + position * (latest - earliest),
        )

    def _next_position(self, tenant):
        if not tenant:
            return self._rng.random()
        position = self._positions.pop(tenant, None)
        if position is None:
            position = self._rng.random()
        position = (position + _GOLDEN_RATIO) % 1.0
        self._positions[tenant] = position
        if len(self._positions) > _MAX_TENANTS:
            self._positions.popitem(last=False)
        return position
