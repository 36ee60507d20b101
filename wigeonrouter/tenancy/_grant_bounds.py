"""Bounds on what a region's ledgers grant of a quota within any time.

Load pattern: all nodes that know what was granted are lost at the same moment,
after any demand. Each ledger keeps to a bound for each tenant, which lasts
longer than the ledger, as it is stored. A ledger that no node tells anything
takes as granted what the bound allowed. Even demand needs a low bound, so most
of the quota is free at once after the loss. Sudden demand needs a high one.

A bound allows a burst of tokens, and a rate besides. Levels multiply both.
"""

import dataclasses
import math

from wigeonrouter.tenancy import _quota

# Level of a tenant for which none is stored.
DEFAULT_LEVEL = 100
# Level of a tenant for which nothing was granted before.
NO_LEVEL = 0
# In hundredths of the default bound. The highest allows any grant that the
# capacity allows.
_LEVELS = (16, 25, 40, 63, 100, 125, 160, 250, 400, 640, 1000, 1600, 2500)
UNLIMITED_LEVEL = 1_000_000
# Shares of a limit's rate, and of a quota in a second at least, that the
# default bound allows for long.
_RATE_SHARE = 0.75
_MIN_RATE_SHARE = 0.02
# Share of a quota that it allows at once.
_BURST_SHARE = 0.25
# Whole tokens that it allows at once of a small quota, and the share of the
# quota that these are at most.
_MIN_BURST = 3.0
_MAX_BURST_SHARE = 0.6
# A level leaves this share of its burst unused.
_SPARE_SHARE = 0.3
# Tokens that were refused are wanted for this time. Nodes order them again.
_LACKING_S = 1.0
# A lower level is enough if it would have been for this time, which is longer
# than what was granted under the higher one counts.
CALM_S = 10.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class GrantBound:
    """The most tokens that are granted within any time.

    Attributes:
      burst: tokens at once.
      rate: tokens per second besides.
    """

    burst: float
    rate: float

    def within(self, seconds):
        """Return the most tokens that are granted within some seconds."""
        return self.burst + self.rate * seconds


NOTHING = GrantBound(burst=0.0, rate=0.0)
_UNLIMITED = GrantBound(burst=math.inf, rate=0.0)


def make_bound(*, quota, rate, level, starts=0):
    """Return the GrantBound of a level.

    Args:
      quota: tokens in a window to which the burst is proportional.
      rate: tokens in a second that the tenant's limit allows for long.
      level: hundredths of the default bound.
      starts: ledgers that have followed another one a short time ago. Each
        had a burst of its own.
    """
    if level > _LEVELS[-1]:
        return _UNLIMITED
    burst = max(
        _BURST_SHARE * quota, min(_MIN_BURST, _MAX_BURST_SHARE * quota)
    )
    factor = level / DEFAULT_LEVEL
    return GrantBound(
        burst=burst * factor * (1 + starts),
        rate=max(_RATE_SHARE * rate, _MIN_RATE_SHARE * quota) * factor,
    )


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class GrantLevels:
    """The levels of a tenant's bounds.

    Attributes:
      quota, rate: to which the bounds are proportional, see make_bound().
      level: of the bound for what is granted from now on.
      begun: whether the store has that this ledger began, so that it may
        grant a burst although its predecessor may have just done so.
      prior: of the bound for what earlier ledgers granted, None if unknown.
      prior_ledger: number of the ledger that granted last, ANY_LEDGER if the
        store does not say, NO_LEDGER before it was asked.
      prior_starts: how many of these followed another a short time before.
    """

    quota: float
    rate: float
    level: int
    begun: bool
    prior: int | None
    prior_ledger: int = _quota.NO_LEDGER
    prior_starts: int = 0


class _Allowance:
    """What the bound of one level allows to grant, nothing at first.

    Attributes:
      exceeded_at: when the bound was last nearly used up.
    """

    def __init__(self, *, bound, now):
        self._bound = bound
        self._tokens = 0.0
        self._updated_at = now
        self.exceeded_at = now

    @property
    def spare(self):
        """Tokens that are left if the level is enough."""
        return _SPARE_SHARE * self._bound.burst

    @property
    def is_full(self):
        """Whether it allows a whole burst."""
        return self._tokens >= self._bound.burst

    def available(self, now):
        """Return the allowed tokens, negative if the bound is exceeded."""
        elapsed = max(0.0, now - self._updated_at)
        self._tokens = min(
            self._bound.burst, self._tokens + elapsed * self._bound.rate
        )
        self._updated_at = now
        return self._tokens

    def fill(self):
        """Allow a whole burst."""
        self._tokens = self._bound.burst

    def replace(self, bound):
        """Apply another bound, of which as much is used as of this one."""
        self._tokens += bound.burst - self._bound.burst
        self._bound = bound

    def take(self, count, now):
        """Count tokens that were granted, or given back if negative."""
        left = self.available(now) - count
        self._tokens = min(self._bound.burst, left)
        if self._tokens < self.spare:
            self.exceeded_at = now


class BoundedGrants:
    """Keeps the grants for one tenant to a bound, and chooses its level.

    Args:
      levels: GrantLevels in force.
      since: time from which on no other ledger has granted any.
    """

    def __init__(self, *, levels, since):
        self._levels = levels
        # Dict from level to its _Allowance, for all levels with a bound.
        self._allowances = {
            level: _Allowance(bound=_bound(levels, level), now=since)
            for level in _LEVELS
        }
        if levels.begun:
            self._fill()
        # Tokens that the bound kept from the last grant, and until when they
        # may still be wanted.
        self._lacking = 0
        self._lacking_until = 0.0

    def apply(self, levels):
        """Apply the GrantLevels in force."""
        before, self._levels = self._levels, levels
        if (levels.quota, levels.rate) != (before.quota, before.rate):
            for level, allowance in self._allowances.items():
                allowance.replace(_bound(levels, level))
        if levels.begun and not before.begun:
            self._fill()

    def is_unused(self, now):
        """Return whether nothing that was granted limits the next grants."""
        lowest = self._allowances[_LEVELS[0]]
        lowest.available(now)
        return lowest.is_full

    def allow(self, wanted, now):
        """Return how many of some wanted tokens may be granted."""
        allowance = self._allowances.get(self._levels.level)
        if allowance is None:
            return wanted
        available = max(0.0, allowance.available(now))
        allowed = wanted if available >= wanted else int(available)
        self._lacking = wanted - allowed
        self._lacking_until = now + _LACKING_S
        return allowed

    def take(self, count, now):
        """Count granted tokens, or with a minus those that were not used."""
        for allowance in self._allowances.values():
            allowance.take(count, now)

    def wanted_level(self, now):
        """Return the level that the demand needs."""
        if not self._levels.begun:
            # The allowance is to be filled soon.
            return self._levels.level
        if self._lacking and now < self._lacking_until:
            return self._level_for(self._lacking, now)
        for level, allowance in self._allowances.items():
            if level >= self._levels.level:
                break
            if now - allowance.exceeded_at >= CALM_S:
                return level
        return self._levels.level

    def _level_for(self, lacking, now):
        """Return the lowest level that allows some more tokens."""
        for level, allowance in self._allowances.items():
            needed = lacking + allowance.spare
            if (
                level > self._levels.level
                and allowance.available(now) >= needed
            ):
                return level
        return UNLIMITED_LEVEL

    def _fill(self):
        for allowance in self._allowances.values():
            allowance.fill()


def _bound(levels, level):
    return make_bound(quota=levels.quota, rate=levels.rate, level=level)


def level_below(level):
    """Return the next lower level, the default one at least."""
    lower = (x for x in _LEVELS if DEFAULT_LEVEL <= x < level)
    return max(lower, default=DEFAULT_LEVEL)
