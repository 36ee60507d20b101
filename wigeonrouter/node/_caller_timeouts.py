"""How long the callers of each route usually wait, as this node learns it."""

import gevent

from wigeonrouter import placement
from wigeonrouter import store

# An estimate is written to the store again when it differs from the stored one
# by more than this share of it.
_MIN_CHANGE_SHARE = 0.2
# Mean interval between writes of changed caller timeouts to the store.
_WRITE_INTERVAL_S = 5.0


class CallerTimeouts:
    """Owns the placement.CallerTimeoutEstimates of the routes.

    Args:
      stored: function that returns a dict from route to the timeout in the
        store, seconds.
    """

    def __init__(self, *, stored):
        self._stored = stored
        self._estimates = {}

    def estimate_age(self, route, remaining):
        """Return for how long the caller of a request has waited, seconds.

        Args:
          route: name of the route.
          remaining: time until the request's deadline, seconds.
        """
        estimate = self._estimates.get(route)
        if estimate is None:
            estimate = placement.CallerTimeoutEstimate(
                stored=self._stored().get(route)
            )
            self._estimates[route] = estimate
        return estimate.estimate_age(remaining)

    def changed(self):
        """Return the estimates that differ much from the stored ones.

        Returns:
          Dict from route to the usual timeout of its callers, seconds.
        """
        return {
            route: estimate.learned_timeout
            for route, estimate in self._estimates.items()
            if _differs(estimate.learned_timeout, self._stored().get(route))
        }


class CallerTimeoutWriter:
    """Writes changed caller timeouts to the store at random intervals.

    Args:
      changed: function that returns CallerTimeouts.changed().
      feed: the adapter's interface to the store.
      events: events.EventLog.
      rng: random.Random, for the intervals.
    """

    def __init__(self, *, changed, feed, events, rng):
        self._changed = changed
        self._feed = feed
        self._events = events
        self._rng = rng

    def run(self):
        """Write until killed."""
        while True:
            gevent.sleep(_WRITE_INTERVAL_S * self._rng.uniform(0.5, 1.5))
            for route, seconds in self._changed().items():
                self._write(route, seconds)

    def _write(self, route, seconds):
        try:
            self._feed.write_caller_timeout(route=route, seconds=seconds)
        except store.StoreError as error:
            self._events.notice("wait-not-kept", route=route, error=str(error))


def _differs(learned, stored):
    if learned is None:
        return False
    return stored is None or (
        abs(learned - stored) > _MIN_CHANGE_SHARE * stored
    )
