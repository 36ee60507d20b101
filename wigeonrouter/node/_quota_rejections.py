"""Rejects the requests that get no quota token, counts and logs them."""

import collections

from wigeonrouter import core
from wigeonrouter.node import messages

_NO_HUB_RETRY_S = 0.5
_MIN_RETRY_S = 0.1
_MAX_RETRY_S = 5.0
# Rejections of one tenant are logged once in this time.
_LOG_INTERVAL_S = 1.0


def least_retry_after(wait):
    """Return the Retry-After of a request over quota, without its jitter.

    Args:
      wait: seconds until the tenant gets a token.
    """
    return max(_MIN_RETRY_S, min(_MAX_RETRY_S, wait))


class QuotaRejections:
    """Makes the Rejections of a QuotaClient.

    Args:
      events: events.EventLog.
      rng: random.Random, for the jitter of Retry-After.
    """

    def __init__(self, *, events, rng):
        self._events = events
        self._rng = rng
        self._logged_at = {}
        self._counts = collections.Counter()

    @property
    def counts(self):
        """Counter of requests by tenant that were over quota."""
        return self._counts

    def reject_over_quota(self, tenant, *, wait, now):
        """Return the messages.Rejection of a tenant's request.

        Args:
          tenant: topology.Tenant.
          wait: seconds until the tenant gets a token.
          now: time in seconds, for the interval between log lines.
        """
        name = tenant.name
        self._counts[name] += 1
        if now - self._logged_at.get(name, -_LOG_INTERVAL_S) >= (
            _LOG_INTERVAL_S
        ):
            self._logged_at[name] = now
            self._events.notice(
                "over-quota",
                tenant=name,
                limit=tenant.rate,
                burst=tenant.burst,
                rejected=self._counts[name],
            )
        return messages.Rejection(
            problem=core.problems.OVER_QUOTA,
            retry_after=self._jitter(least_retry_after(wait)),
        )

    def reject_without_hub(self):
        """Return the messages.Rejection of a request that no hub serves."""
        return messages.Rejection(
            problem=core.problems.NO_SERVER,
            retry_after=self._jitter(_NO_HUB_RETRY_S),
            detail="no hub grants quota tokens",
        )

    def _jitter(self, wait):
        return max(_MIN_RETRY_S, wait) * self._rng.uniform(1.0, 1.3)
