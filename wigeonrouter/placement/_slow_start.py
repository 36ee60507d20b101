"""Tells which backend servers are cold, and which may be without saying so.

Load pattern: a server that has started works at half speed for seconds and
crashes well above a rate that holds for all nodes together. Servers become
cold at any time, and while a node sends a server nothing it does not learn
that. After such a time a request could be one of many that nodes send at once,
so the server has to respond to a health check before.
"""

import dataclasses
import math

# Homes of one region that may use the whole rate at a time, as when the
# region has just been partitioned.
_MAX_HOMES_AT_ONCE = 2
# Requests in a second that homes of other regions may add. Each of them sends
# one in ten seconds at most.
_REQUESTS_OF_OTHER_REGIONS = 2
# A server in use is checked for a slow start at this interval. Its responses
# to requests tell its load, but not whether it is cold.
_HEALTH_INTERVAL_S = 0.1


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class SlowStartRule:
    """What a service says about its cold servers.

    Attributes:
      duration: seconds for which a server is cold after a start.
      rate: requests per second that nodes send to a cold server, the share of
        the home nodes included; 0 without a limit.
    """

    duration: float = 0.0
    rate: float = 0.0

    @property
    def is_limited(self):
        """Whether cold servers have a rate limit."""
        return self.rate > 0.0


NO_SLOW_START = SlowStartRule()


def make_slow_start_rule(*, duration, rate, overage, slack):
    """Return the SlowStartRule of a service.

    Args:
      duration: seconds for which a server is cold after a start.
      rate: requests per second that a cold server bears, 0 without a limit.
      overage: factor on the rate that requests of a second may reach.
      slack: requests by which they may exceed that.
    """
    if rate <= 0.0:
        return SlowStartRule(duration=duration)
    per_home = math.floor(
        (rate * overage + slack - _REQUESTS_OF_OTHER_REGIONS)
        / _MAX_HOMES_AT_ONCE
    )
    # A bound that two homes cannot keep is at least kept by one.
    if per_home < 1:
        per_home = min(1.0, rate)
    return SlowStartRule(duration=duration, rate=min(rate, per_home))


@dataclasses.dataclass(kw_only=True, slots=True)
class _Server:
    """What is known of the slow start of one server.

    Attributes:
      registered_until: end of the slow start by its registration.
      returned_until: end of the slow start since its failure domain was taken
        back into service.
      stated_until: end of the slow start by its latest health response.
      active_at: time of the latest request or health response.
      health_at: time of the latest health response.
    """

    registered_until: float = -math.inf
    returned_until: float = -math.inf
    stated_until: float = -math.inf
    active_at: float = -math.inf
    health_at: float = -math.inf


class SlowStarts:
    """Owns the slow starts of the servers of one service.

    A key is any hashable value that tells one start of a server from another.
    Times are monotonic seconds.
    """

    def __init__(self):
        self._rule = NO_SLOW_START
        self._servers = {}

    @property
    def rule(self):
        """SlowStartRule of the service."""
        return self._rule

    def configure(self, rule):
        """Apply the SlowStartRule of the service."""
        self._rule = rule

    def register(self, key, *, cold_until, returned_at):
        """Apply the registration of a server.

        Args:
          cold_until: end of the slow start that it states.
          returned_at: time when its failure domain was taken back into
            service, None if it was not evacuated.
        """
        server = self._servers.setdefault(key, _Server())
        server.registered_until = cold_until
        if returned_at is None:
            server.returned_until = -math.inf
        elif server.active_at <= returned_at:
            server.returned_until = returned_at + self._rule.duration

    def retain(self, keys):
        """Forget all servers but these."""
        for key in self._servers.keys() - set(keys):
            del self._servers[key]

    def record_health(self, key, left, now):
        """Record the health response of a server.

        Args:
          left: seconds for which it states that it is cold, 0 if it does not,
            None if the statement cannot be used. It then counts as cold.
        """
        server = self._servers.setdefault(key, _Server())
        server.active_at = server.health_at = now
        server.returned_until = -math.inf
        server.stated_until = -math.inf
        if not self._rule.is_limited:
            return
        if left is None:
            server.stated_until = now + self._rule.duration
        elif left > 0.0:
            server.stated_until = now + left

    def record_sent(self, key, now):
        """Record that a request is sent to a server."""
        self._servers.setdefault(key, _Server()).active_at = now

    def cold_until(self, key):
        """Return the time until which a server counts as cold."""
        server = self._servers.get(key)
        if server is None:
            return -math.inf
        return max(
            server.registered_until,
            server.returned_until,
            server.stated_until,
        )

    def health_due(self, key):
        """Return the time from which a server in use is checked again."""
        if not self._rule.is_limited:
            return math.inf
        server = self._servers.get(key)
        if server is None:
            return -math.inf
        return server.health_at + _HEALTH_INTERVAL_S

    def check_due(self, key):
        """Return the time from which a server has to show that it is warm.

        Never for services whose cold servers have no limit. A server that is
        known to be cold need not, since it gets the rate of one.
        """
        if not self._rule.is_limited or not self._rule.duration:
            return math.inf
        server = self._servers.get(key)
        if server is None:
            return -math.inf
        return max(
            server.active_at + self._rule.duration, self.cold_until(key)
        )
