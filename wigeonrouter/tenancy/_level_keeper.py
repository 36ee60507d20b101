"""Which levels of its tenants' grant bounds a region's hub stores.

Load pattern: many tenants whose demand rises at the same moment, on a store
that is slow, down or restored. A level is in force when the store has it, so
that it outlives all nodes. Raises of many tenants are written together.
"""

import dataclasses

from wigeonrouter.tenancy import _grant_bounds
from wigeonrouter.tenancy import _quota

# Tenants with levels of their own. More would make the entry too large to
# send to each node of each region.
_MAX_LISTED = 256


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StoredLevels:
    """The levels that the store has for a region.

    Attributes:
      revision: of the store.
      ledger: number of the ledger that has written them.
      starts: ledgers that have followed another one a short time ago.
      general: level of the tenants that are not listed.
      levels: dict from tenant to its level.
    """

    revision: int
    ledger: int = _quota.NO_LEDGER
    starts: int = 0
    general: int = _grant_bounds.DEFAULT_LEVEL
    levels: dict = dataclasses.field(default_factory=dict)

    def of(self, tenant):
        """Return the level of a tenant."""
        return self.levels.get(tenant, self.general)


class LevelKeeper:
    """Tracks the stored levels of a region, and what its hub has to change."""

    def __init__(self):
        # What the copy of the store has, None without an entry.
        self._copied = None
        self._era = 0
        # What this hub has written, until the copy has it too.
        self._written = None
        self._ledger = _quota.NO_LEDGER
        self._began_at = 0.0
        self._first_start = False
        # Whether the store was read since the ledger began.
        self._is_read = False
        # What earlier ledgers kept to, None while it is unknown.
        self._prior = None
        self._nothing_granted = False
        # Dict from tenant to the level that its demand needs.
        self._wanted = {}
        # When a tenant that is not listed needed the general level.
        self._general_needed_at = 0.0

    @property
    def stored(self):
        """StoredLevels, None without an entry."""
        return self._written or self._copied

    def start(self, now, ledger, *, first_start=False):
        """Begin with a new ledger, whose predecessors are not known yet.

        Args:
          ledger: its number.
          first_start: whether the whole system starts for the first time.
        """
        self._first_start = first_start
        self._ledger, self._began_at = ledger, now
        self._is_read = False
        self._general_needed_at = now
        self._prior = None
        self._nothing_granted = False
        self._wanted = {}

    def on_copied(self, copied, era):
        """Apply what the copy of the store has.

        Args:
          copied: StoredLevels, None without an entry.
          era: of the store, which rises when it is restored.
        """
        written = self._written
        has_written = copied is not None and (
            written is None or copied.revision >= written.revision
        )
        if has_written or era != self._era:
            self._written = None
        self._copied, self._era = copied, era

    def on_written(self, written):
        """Apply what this hub has written, with the revision of the entry."""
        self._written = written
        self._wanted = {
            tenant: level
            for tenant, level in self._wanted.items()
            if level != written.of(tenant)
        }

    def on_conflict(self):
        """Record that the entry is not the one that is known."""
        self._written = None

    def on_read(self):
        """Take the stored levels for those that earlier ledgers kept to.

        The store has been read after the last of them ended.
        """
        if not self._is_read:
            self._is_read = True
            self._prior = self.stored

    def on_first_entry(self):
        """Record that no ledger of the region granted anything before."""
        self._nothing_granted = True

    def levels(self, tenant, *, quota, rate):
        """Return the GrantLevels of a tenant.

        Args:
          quota, rate: as in GrantLevels.
        """
        prior, prior_ledger, prior_starts = None, _quota.NO_LEDGER, 0
        if self._nothing_granted:
            prior = _grant_bounds.NO_LEVEL
        elif self._prior is not None:
            prior, prior_ledger = self._prior.of(tenant), self._prior.ledger
            prior_starts = self._prior.starts
        elif self._is_read:
            prior_ledger = _quota.ANY_LEDGER
        return _grant_bounds.GrantLevels(
            quota=quota,
            rate=rate,
            level=self._effective.of(tenant),
            begun=self._effective.ledger == self._ledger,
            prior=prior,
            prior_ledger=prior_ledger,
            prior_starts=prior_starts,
        )

    def want(self, tenant, level, now):
        """Record the level that the demand of a tenant needs."""
        stored = self._effective
        if level >= stored.general and tenant not in stored.levels:
            self._general_needed_at = now
        if level == stored.of(tenant):
            self._wanted.pop(tenant, None)
        else:
            self._wanted[tenant] = level

    def unused(self, tenants):
        """Return the listed tenants that are not among some others."""
        return [name for name in self._effective.levels if name not in tenants]

    @property
    def raise_due(self):
        """Whether nodes lack tokens, or may later, until the store has it."""
        effective = self._effective
        return effective.ledger != self._ledger or any(
            level > effective.of(tenant)
            for tenant, level in self._wanted.items()
        )

    def propose(self, now):
        """Return the StoredLevels to write, None if nothing has changed.

        Its revision is that of the entry to replace, 0 without one.
        """
        stored = self._effective
        general = stored.general
        if now - self._general_needed_at >= _grant_bounds.CALM_S:
            general = _grant_bounds.level_below(general)
        proposed = _limit_listed(
            {**stored.levels, **self._wanted},
            general=general,
            revision=stored.revision,
            ledger=self._ledger,
            starts=self._starts(now),
        )
        if self.stored is not None and proposed == stored:
            return None
        return proposed

    def _starts(self, now):
        """Return how many ledgers have followed another a short time ago."""
        if now - self._began_at >= _grant_bounds.CALM_S:
            return 0
        if self._prior is None:
            return 0 if self._first_start else 1
        return 1 + self._prior.starts

    @property
    def _effective(self):
        """StoredLevels, the default ones without an entry."""
        return self.stored or StoredLevels(revision=0)


def _limit_listed(levels, *, general, revision, ledger, starts):
    """Return StoredLevels that list at most some of the levels.

    Tenants that are not listed have the general level, which is no lower than
    theirs.
    """
    listed = {
        tenant: level for tenant, level in levels.items() if level != general
    }
    if len(listed) > _MAX_LISTED:
        order = sorted(listed, key=lambda tenant: (-listed[tenant], tenant))
        general = max(general, listed[order[_MAX_LISTED]])
        listed = {
            tenant: listed[tenant]
            for tenant in order[:_MAX_LISTED]
            if listed[tenant] > general
        }
    return StoredLevels(
        revision=revision,
        ledger=ledger,
        starts=starts,
        general=general,
        levels=listed,
    )
