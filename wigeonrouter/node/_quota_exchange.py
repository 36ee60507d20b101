"""Exchanges parts of quotas with other regions through the store.

The hub of a region writes what its tenants lack, and gives other regions what
its own tenants do not use.
"""

from wigeonrouter import store
from wigeonrouter import tenancy

# Nodes order tokens for the demand of about this time.
_ORDERED_TIME_S = 0.6
# Tenants in one statement of demand, the ones that lack most.
_MAX_DEMANDS = 128


class QuotaExchange:
    """Writes the demand and the shares of one region.

    Args:
      rules: function that returns the tenancy.QuotaRules in force.
      tenants: function that returns a dict from name to topology.Tenant.
      cluster_state: ClusterState, which has what the regions wrote.
      feed: the adapter's interface to the store.
      events: events.EventLog.
    """

    def __init__(self, *, rules, tenants, cluster_state, feed, events):
        self._rules = rules
        self._tenants = tenants
        self._cluster_state = cluster_state
        self._feed = feed
        self._events = events
        self._keeper = None
        self._written = {}
        # Revision of the shares when the demand was last written.
        self._written_for = 0
        self._decoded = (None, tenancy.Shares())

    @property
    def shares(self):
        """tenancy.Shares in force."""
        stored = self._cluster_state.quota_shares
        if stored is not self._decoded[0]:
            shares = tenancy.Shares()
            if stored is not None:
                shares = tenancy.Shares(
                    revision=stored.revision, parts=stored.parts
                )
            self._decoded = (stored, shares)
            if self._keeper is not None:
                self._keeper.on_shares(shares)
        return self._decoded[1]

    @property
    def lowered(self):
        """Dict from tenant to the parts that this region still uses."""
        return {} if self._keeper is None else self._keeper.lowered

    def restart(self):
        """Forget the transfers of an earlier time as the hub."""
        self._keeper = None
        self._written = {}

    def step(self, hub):
        """Write the demand and the shares that are due.

        Args:
          hub: QuotaHub of this node.
        """
        rules = self._rules()
        if len(rules.regions) < 2:
            return
        if self._keeper is None:
            self._keeper = tenancy.ShareKeeper(
                region=rules.region, regions=rules.regions
            )
        try:
            self._write_demand(hub, rules)
            self._give(hub, rules)
        except store.StoreError as error:
            # Lowered shares stay so until the store shows what it has.
            self._events.notice("quota-exchange-failed", error=str(error))

    def _write_demand(self, hub, rules):
        tenants = self._tenants()
        missing = {}
        for name, count in hub.take_missing().items():
            tenant = tenants.get(name)
            if tenant is not None:
                rounded = tenancy.round_missing(
                    round(count * rules.window / _ORDERED_TIME_S)
                )
                missing[name] = min(rounded, rules.whole(tenant))
        largest = sorted(missing, key=lambda name: (-missing[name], name))
        missing = {name: missing[name] for name in largest[:_MAX_DEMANDS]}
        revision = self.shares.revision
        if missing == self._written and (
            not missing or revision == self._written_for
        ):
            return
        self._feed.write_quota_demand(region=rules.region, missing=missing)
        self._written, self._written_for = missing, revision

    def _give(self, hub, rules):
        tenants = self._tenants()

        def usage(name):
            tenant = tenants.get(name)
            if tenant is None:
                return None
            return hub.total(name), rules.whole(tenant)

        shares = self.shares
        proposed = self._keeper.write(shares, usage)
        if proposed is not None:
            self._write_shares(proposed, rules)
            return
        self._keeper.plan(
            shares,
            [
                tenancy.Demand(
                    region=demand.region,
                    revision=demand.revision,
                    missing=demand.missing,
                )
                for demand in self._cluster_state.quota_demands
            ],
            usage,
        )

    def _write_shares(self, proposed, rules):
        written = self._feed.write_quota_shares(
            parts=proposed.parts,
            regions=rules.regions,
            revision=proposed.revision,
        )
        self._events.notice(
            "quota-shares",
            written=written,
            tenants=sorted(self._keeper.lowered),
            base_revision=proposed.revision,
        )
