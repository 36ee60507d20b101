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
_LEVELS = (DEFAULT_LEVEL, 125, 160, 200, 250, 320, 400, 500, 640, 800, 1000)
_LEVELS += (1600, 2500, 4000)
UNLIMITED_LEVEL = 1_000_000
# Share of a quota that the default bound allows in a window and the lifetime
# of a token.
_DEFAULT_SHARE = 0.75
# Share of a quota that it allows at once.
_BURST_SHARE = 0.1
# Whole tokens that it allows at once of a small quota, and the share of the
# quota that these are at most.
_MIN_BURST = 3.0
_MAX_BURST_SHARE = 0.45
# A higher level is wanted when less than this share of the burst is left.
_LOW_SHARE = 0.3
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


_UNLIMITED = GrantBound(burst=math.inf, rate=0.0)


def make_bound(*, quota, level, seconds):
    """Return the GrantBound of a level.

    Args:
      quota: tokens in a window to which the bound is proportional.
      level: hundredths of the default bound.
      seconds: the window and the lifetime of a token.
    """
    if level >= UNLIMITED_LEVEL:
        return _UNLIMITED
    if level == NO_LEVEL:
        return GrantBound(burst=0.0, rate=0.0)
    burst = max(
        _BURST_SHARE * quota, min(_MIN_BURST, _MAX_BURST_SHARE * quota)
    )
    rate = (_DEFAULT_SHARE * quota - burst) / seconds
    factor = level / DEFAULT_LEVEL
    return GrantBound(burst=burst * factor, rate=rate * factor)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class GrantLevels:
    """The levels of a tenant's bounds.

    Attributes:
      quota: tokens in a window to which the bounds are proportional.
      level: of the bound for what is granted from now on.
      prior: of the bound for what earlier ledgers granted, None if unknown.
      prior_ledger: number of the ledger that granted last, ANY_LEDGER if the
        store does not say, NO_LEDGER before it was asked.
    """

    quota: float
    level: int
    prior: int | None
    prior_ledger: int = _quota.NO_LEDGER


class _Allowance:
    """What a bound allows to grant at present.

    It is empty at first, as another ledger may have granted just before.
    """

    def __init__(self, *, bound, now):
        self.bound = bound
        self._tokens = math.inf if bound is _UNLIMITED else 0.0
        self._updated_at = now

    def available(self, now):
        """Return the allowed tokens, negative if the bound is exceeded."""
        if self.bound is _UNLIMITED:
            return math.inf
        elapsed = max(0.0, now - self._updated_at)
        self._tokens = min(
            self.bound.burst, self._tokens + elapsed * self.bound.rate
        )
        self._updated_at = now
        return self._tokens

    def replace(self, bound, now):
        """Apply another bound, of which as much is used as of this one."""
        if bound == self.bound:
            return
        used = self.bound.burst - self.available(now)
        self.bound = bound
        self._tokens = bound.burst
        if bound is not _UNLIMITED:
            self._tokens -= used

    def take(self, count):
        """Count tokens that were granted, or given back if negative."""
        self._tokens = min(self.bound.burst, self._tokens - count)


class BoundedGrants:
    """Keeps the grants for one tenant to a bound, and chooses its level.

    Args:
      seconds: the window and the lifetime of a token.
      since: time from which on no other ledger has granted any.
    """

    def __init__(self, *, seconds, since):
        self._seconds = seconds
        self._since = since
        self._quota = 0.0
        self._level = DEFAULT_LEVEL
        self._allowance = None
        # What the next lower level would allow.
        self._lower = None
        # When that was exceeded the last time.
        self._exceeded_at = 0.0
        # Tokens that the bound kept from the last grant, and until when they
        # may still be wanted.
        self._lacking = 0
        self._lacking_until = 0.0

    def apply(self, levels, now):
        """Apply the GrantLevels in force."""
        changed = (levels.quota, levels.level) != (self._quota, self._level)
        if self._allowance is not None and not changed:
            return
        falls = levels.level < self._level
        is_step = falls and levels.level == level_below(self._level)
        self._quota, self._level = levels.quota, levels.level
        bound = self._bound(levels.level)
        if self._allowance is None:
            self._allowance = _Allowance(bound=bound, now=self._since)
        elif is_step:
            self._allowance = self._lower
        elif falls:
            self._allowance = _Allowance(bound=bound, now=now)
        self._allowance.replace(bound, now)
        self._lower = _Allowance(
            bound=self._bound(level_below(levels.level)), now=now
        )
        self._exceeded_at = now

    def is_unused(self, now):
        """Return whether nothing that was granted limits the next grants."""
        return self._allowance.available(now) >= self._allowance.bound.burst

    def allow(self, wanted, now):
        """Return how many of some wanted tokens may be granted."""
        available = max(0.0, self._allowance.available(now))
        allowed = wanted if available >= wanted else int(available)
        self._lacking = wanted - allowed
        self._lacking_until = now + _LACKING_S
        return allowed

    def take(self, count, now):
        """Count granted tokens, or with a minus those that were not used."""
        self._allowance.take(count)
        self._lower.take(count)
        least = _LOW_SHARE * self._lower.bound.burst
        if self._lower.available(now) < least:
            self._exceeded_at = now

    def wanted_level(self, now):
        """Return the level that the demand needs."""
        available = self._allowance.available(now)
        burst = self._allowance.bound.burst
        lacking = self._lacking if now < self._lacking_until else 0
        if lacking or available < _LOW_SHARE * burst:
            return self._level_for(burst - available + lacking)
        if now - self._exceeded_at >= CALM_S:
            return level_below(self._level)
        return self._level

    def _level_for(self, used):
        """Return the lowest level that leaves a share of its burst."""
        level = self._level
        while level < UNLIMITED_LEVEL:
            level = _level_above(level)
            if self._bound(level).burst * (1 - _LOW_SHARE) >= used:
                break
        return level

    def _bound(self, level):
        return make_bound(
            quota=self._quota, level=level, seconds=self._seconds
        )


def _level_above(level):
    return next((x for x in _LEVELS if x > level), UNLIMITED_LEVEL)


def level_below(level):
    """Return the next lower level, the default one at least."""
    return max((x for x in _LEVELS if x < level), default=DEFAULT_LEVEL)
