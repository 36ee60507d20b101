"""Stores how fast a region's ledgers may grant, so that it outlives all nodes.

A hub raises the level of a tenant in the store before it grants more than the
former level allows. After the loss of all nodes, the next hub takes as granted
what the stored levels allowed.
"""

import dataclasses

from gevent import event

from wigeonrouter import store
from wigeonrouter import tenancy

# Raises within this time are written together.
_WRITE_INTERVAL_S = 0.25
_RETRY_INTERVAL_S = 0.5
# Lowered levels are written at this interval.
_SWEEP_INTERVAL_S = 10.0
# Then the entry no longer has to say that the ledger has just begun.
_FIRST_SWEEP_S = 10.5


class QuotaLevels:
    """Reads and writes the levels of one region's tenants.

    Args:
      region: name of the region.
      cluster_state: ClusterState, which has what the store has.
      store_era: function that returns the era of the copy of the store.
      feed: the adapter's interface to the store.
      events: events.EventLog.
      clock: function that returns seconds.
    """

    def __init__(
        self, *, region, cluster_state, store_era, feed, events, clock
    ):
        self._region = region
        self._cluster_state = cluster_state
        self._store_era = store_era
        self._feed = feed
        self._events = events
        self._clock = clock
        self._keeper = tenancy.LevelKeeper()
        self._copied = None
        self._first_start = False
        self._sweep_at = 0.0
        self._retry_at = 0.0
        self._write_due = event.Event()
        # Whether it is known what earlier ledgers may have granted.
        self._known = False
        self._begun = event.Event()

    @property
    def begun(self):
        """Whether the store has that this hub's ledger has begun."""
        return self._begun.is_set()

    def start(self, *, ledger, first_start):
        """Begin with a new ledger of this node.

        Args:
          ledger: its number.
          first_start: whether the whole system starts for the first time.
        """
        now = self._clock()
        self._known = False
        self._begun.clear()
        self._keeper.start(now, ledger, first_start=first_start)
        self._first_start = first_start
        self._sweep_at = now + _FIRST_SWEEP_S
        self._write_due.set()

    def on_read(self):
        """Record that this hub has read all that the store has."""
        if self._known:
            return
        self._take_copy()
        self._keeper.on_read()
        self._known = True
        self._write_due.set()

    def wait_begun(self, timeout):
        """Wait until the ledger has begun, at most `timeout` seconds."""
        self._begun.wait(timeout=timeout)

    def levels(self, tenant, *, quota, rate):
        """Return the tenancy.GrantLevels of a tenant's name.

        Args:
          quota, rate: as in tenancy.GrantLevels.
        """
        self._take_copy()
        return self._keeper.levels(tenant, quota=quota, rate=rate)

    def want(self, tenant, level):
        """Record the level that the demand of a tenant needs."""
        self._keeper.want(tenant, level, self._clock())
        if self._keeper.raise_due:
            self._write_due.set()

    def release_unused(self, tenants):
        """Lower the levels of tenants that are not among some others."""
        for tenant in self._keeper.unused(tenants):
            self.want(tenant, tenancy.DEFAULT_LEVEL)

    def check(self):
        """Let write() be called soon, as tenants may have become limited."""
        self._write_due.set()

    def wait_due(self):
        """Wait until there may be levels to write."""
        self._write_due.wait(timeout=_FIRST_SWEEP_S)
        self._write_due.clear()

    def write(self):
        """Write the levels that are due; return whether the store did."""
        now = self._clock()
        is_due = self._keeper.raise_due or now >= self._sweep_at
        if not self._known or not is_due:
            return True
        if now < self._retry_at:
            return False
        self._take_copy()
        proposed = self._keeper.propose(now)
        if now >= self._sweep_at:
            self._sweep_at = now + _SWEEP_INTERVAL_S
        if proposed is None:
            return True
        self._retry_at = now + _RETRY_INTERVAL_S
        try:
            revision = self._feed.write_quota_levels(
                region=self._region, levels=proposed
            )
        except store.StoreError as error:
            self._events.notice("quota-levels-not-written", error=str(error))
            return False
        self._note_written(proposed, revision)
        return revision is not None

    def _note_written(self, proposed, revision):
        self._events.notice(
            "quota-levels",
            written=revision is not None,
            tenants=len(proposed.levels),
            general=proposed.general,
        )
        if revision is None:
            self._keeper.on_conflict()
            return
        self._retry_at = self._clock() + _WRITE_INTERVAL_S
        self._keeper.on_written(
            dataclasses.replace(proposed, revision=revision)
        )
        if self._first_start and not proposed.revision:
            self._keeper.on_first_entry()
        self._begun.set()

    def _take_copy(self):
        """Apply what the copy of the store has, if it has changed."""
        record = self._cluster_state.quota_levels(self._region)
        era = self._store_era()
        if (record, era) == self._copied:
            return
        self._copied = record, era
        copied = None
        if record is not None and record.general:
            copied = tenancy.StoredLevels(
                revision=record.revision,
                ledger=record.ledger,
                starts=record.starts,
                general=record.general,
                levels=record.levels,
            )
        self._keeper.on_copied(copied, era)


class FallbackLevels:
    """Levels of a node whose hub knows no quotas, and stores none."""

    begun = True

    def levels(self, tenant, *, quota, rate):
        """Return tenancy.GrantLevels that do not bound the grants."""
        return tenancy.GrantLevels(
            quota=quota,
            rate=rate,
            level=tenancy.UNLIMITED_LEVEL,
            begun=True,
            prior=tenancy.DEFAULT_LEVEL,
        )

    def want(self, tenant, level):
        """Do nothing, as no level is stored."""

    def release_unused(self, tenants):
        """Do nothing, as no level is stored."""
