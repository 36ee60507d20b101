"""What earlier ledgers of a region granted, as far as a new one can tell."""

import dataclasses
import math

from wigeonrouter.tenancy import _grant_bounds
from wigeonrouter.tenancy import _quota

# A total grows by at most this share of the capacity in each interval, so
# that a new hub can bound what nobody was told of before the previous hub
# noticed that it had lost most nodes.
_GROWTH_SHARE = 0.2
GROWTH_INTERVAL_S = 0.4
_UNSEEN_INTERVALS = 3
_MIN_GROWTH = 8
# The bound of an earlier use is usually known by then.
_UNKNOWN_RETRY_S = 0.3
# Nodes state the age of requests up to this much too low.
_AGE_ERROR_S = 0.25


def growth(capacity):
    """Return by how much a total may grow in an interval."""
    return max(_MIN_GROWTH, int(capacity * _GROWTH_SHARE))


@dataclasses.dataclass(kw_only=True, slots=True)
class ReportedUse:
    """What another ledger had granted, as nodes report it.

    Attributes:
      window: seconds over which requests are counted.
      capacity: of the tenant.
      statements: list of (time, total) that nodes were told of the ledger.
      final: whether the last one says what it has granted in the end.
      sends: list of (time, count) that nodes have reported themselves.
      until: when it no longer counts.
      count: requests that are in a statement but in no report.
    """

    window: float
    capacity: int
    statements: list = dataclasses.field(default_factory=list)
    sends: list = dataclasses.field(default_factory=list)
    final: bool = False
    until: float = 0.0
    count: int = 0

    def remaining(self, now):
        """Return how many of the requests still count."""
        return self.count if now < self.until else 0

    def update(self):
        """Set the count, after a change of the statements or sends."""
        self.count = max(
            [0]
            + [
                self._highest_total(total) - self._reported(stated_at)
                for stated_at, total in self.statements
            ]
        )

    def _highest_total(self, total):
        """Return what a total may have grown to after the statement."""
        if self.final:
            return total
        unseen = _UNSEEN_INTERVALS * growth(self.capacity)
        return max(total, min(self.capacity, total + unseen))

    def _reported(self, stated_at):
        earliest = stated_at - self.window + _AGE_ERROR_S
        return _count_between(self.sends, earliest, stated_at)


@dataclasses.dataclass(kw_only=True, slots=True)
class AssumedUse:
    """What ledgers had granted, while no node knows their totals.

    Attributes:
      window: seconds over which requests are counted.
      capacity: of the tenant.
      until: when it no longer counts.
      bound: GrantBound that the ledgers kept to, None while it is unknown.
      sends: list of (time, count) that nodes have reported themselves.
    """

    window: float
    capacity: int
    until: float
    bound: _grant_bounds.GrantBound | None = None
    sends: list = dataclasses.field(default_factory=list)

    def remaining(self, now):
        """Return how many requests may still count beside the reported ones.

        A request may have been sent until its token expired.
        """
        if now >= self.until:
            return 0
        return max(0, math.ceil(self._most(now)) - self._reported(now))

    def time_to_token(self, now):
        """Return the seconds until less counts."""
        left = self.until - now
        if self.bound is None:
            return min(left, _UNKNOWN_RETRY_S)
        if not self.bound.rate:
            return left
        next_step = math.ceil(self._most(now)) - 1
        return min(left, (self._granted(now) - next_step) / self.bound.rate)

    def _most(self, now):
        if self.bound is None:
            return self.capacity
        return min(self.capacity, self._granted(now))

    def _granted(self, now):
        return self.bound.within(self.until - now + _quota.TOKEN_LIFETIME_S)

    def _reported(self, now):
        """Return how many of the reported requests still count."""
        return _count_between(
            self.sends,
            now - self.window + _AGE_ERROR_S,
            self.until - self.window,
        )


def _count_between(sends, earliest, latest):
    return sum(
        count for sent_at, count in sends if earliest <= sent_at <= latest
    )
