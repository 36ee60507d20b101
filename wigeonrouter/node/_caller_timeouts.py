"""How long the callers of each route usually wait, as this node learns it."""

from wigeonrouter import placement

# An estimate is written to the store again when it differs from the stored one
# by more than this share of it.
_MIN_CHANGE_SHARE = 0.2


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


def _differs(learned, stored):
    if learned is None:
        return False
    return stored is None or (
        abs(learned - stored) > _MIN_CHANGE_SHARE * stored
    )
