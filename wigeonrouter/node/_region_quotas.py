"""The quotas of a region: connects a node's tokens to its hub's ledger."""

import time

import gevent

from wigeonrouter import tenancy
from wigeonrouter import topology
from wigeonrouter.node import _quota_client
from wigeonrouter.node import _quota_exchange
from wigeonrouter.node import _quota_hub
from wigeonrouter.node import _quota_levels

# Demand and shares are written at most this often.
EXCHANGE_INTERVAL_S = 2.0
_LEVELS_RETRY_S = 0.1
_MAX_LEDGER_ID = (1 << 32) - 1


class RegionQuotas:
    """Owns this node's QuotaClient, and its QuotaHub while it is the hub.

    Args:
      settings: topology.NodeSettings.
      cluster_state: ClusterState.
      feed: the adapter's interface to the store.
      peers: function that returns the region's topology.Peers.
      store_era: function that returns the era of this node's copy of the
        store.
      events: events.EventLog.
      rng: random.Random.
      clock: function that returns monotonic seconds.
      boot_clock: the same, that also counts while the machine is suspended.
    """

    def __init__(
        self,
        *,
        settings,
        cluster_state,
        feed,
        peers,
        store_era,
        events,
        rng,
        clock=time.monotonic,
        boot_clock=_quota_client.boot_clock,
    ):
        self._settings = settings
        self._cluster_state = cluster_state
        self._peers = peers
        self._events = events
        self._rng = rng
        self._clock = boot_clock
        self._node_presence = tenancy.NodePresence()
        self._hub = None
        self._served_hosts = lambda: ()
        self._exchange = _quota_exchange.QuotaExchange(
            rules=self._rules,
            tenants=self._tenants,
            cluster_state=cluster_state,
            feed=feed,
            events=events,
        )
        self._levels = _quota_levels.QuotaLevels(
            region=settings.place.region,
            cluster_state=cluster_state,
            store_era=store_era,
            feed=feed,
            events=events,
            clock=boot_clock,
        )
        self._client = _quota_client.QuotaClient(
            tenants=self._tenants,
            window=settings.bounds.quota_window,
            make_fallback=self._make_fallback,
            events=events,
            rng=rng,
            clock=clock,
            boot_clock=boot_clock,
        )

    @property
    def client(self):
        """QuotaClient of this node."""
        return self._client

    @property
    def hub(self):
        """QuotaHub of this node while it is the hub, else None."""
        return self._hub

    @property
    def counts(self):
        """Counter of this hub's tokens by what became of them."""
        return self._hub.counts if self._hub is not None else {}

    @property
    def near_limit(self):
        """Number of tenants that have used most of the region's quota."""
        return self._hub.count_near_limit() if self._hub is not None else 0

    def reload(self, settings):
        """Apply changed topology.NodeSettings."""
        self._settings = settings

    def configure(self):
        """Apply the limits of a changed configuration."""
        self._client.configure()
        if self._hub is not None and self._client.enabled:
            self._levels.check()

    def observe(self, readiness):
        """Record the present nodes, a dict from host to readiness."""
        self._node_presence.observe(readiness, self._clock())

    def start_hub(self, served_hosts):
        """Return the QuotaHub of a new ledger, as this node is the hub.

        Args:
          served_hosts: function that returns the hosts of the nodes that are
            connected to this hub, itself included.
        """
        if not self._settings.first_start:
            self._node_presence.expect(
                self._cluster_state.hosts(self._settings.place.region),
                self._clock(),
            )
        self._exchange.restart()
        self._served_hosts = served_hosts
        self._hub = self._make_hub(
            lambda tenant: _quota_hub.allowed_capacity(
                self._rules(), tenant, self._served_fraction()
            ),
            self._levels,
        )
        self._levels.start(
            ledger=self._hub.ledger_id,
            first_start=self._settings.first_start,
        )
        self._client.join_local(self._hub)
        if self._client.enabled:
            self._events.notice("quota-ledger", ledger=self._hub.ledger_id)
        return self._hub

    def run_exchange(self):
        """Exchange quotas with other regions until killed."""
        while True:
            gevent.sleep(EXCHANGE_INTERVAL_S)
            self.exchange()

    def exchange(self):
        """Exchange quotas with other regions, if this node is the hub."""
        if self._hub is not None and self._client.enabled:
            self._exchange.step(self._hub)

    def on_store_read(self):
        """Record that this node has read the store as the hub."""
        self._levels.on_read()

    def run_levels(self):
        """Store the levels of grant bounds until killed."""
        while True:
            self._levels.wait_due()
            while not self.write_levels():
                gevent.sleep(_LEVELS_RETRY_S)

    def write_levels(self):
        """Store the levels that are due; return whether none is left."""
        if self._hub is None or not self._client.enabled:
            return True
        if not _quota_hub.is_majority(self._served_fraction()):
            return True
        return self._levels.write()

    def leave(self):
        """Stop granting and ordering, as the node leaves its hub."""
        if self._hub is not None:
            self._client.note_final_totals(self._hub.final_totals())
            self._hub = None
        self._client.leave()

    def _served_fraction(self):
        """Return which share of the region's nodes this hub serves."""
        return self._node_presence.fraction(
            self._served_hosts(), self._clock()
        )

    def _make_hub(self, capacity, levels):
        return _quota_hub.QuotaHub(
            tenants=self._tenants,
            capacity=capacity,
            share=lambda tenant: self._rules().capacity(tenant),
            basis=self._bound_basis,
            levels=levels,
            window=self._settings.bounds.quota_window,
            ledger_id=self._rng.randint(1, _MAX_LEDGER_ID),
            events=self._events,
            clock=self._clock,
        )

    def _bound_basis(self, tenant):
        rules = self._rules()
        return rules.equal_share(tenant), rules.equal_rate(tenant)

    def _make_fallback(self):
        """Return a QuotaHub with this node's part of the region's quota.

        The home nodes of the services, to which nearly all callers go, share
        the region's quota. The others share the reserve.
        """
        return self._make_hub(
            self._fallback_capacity, _quota_levels.FallbackLevels()
        )

    def _fallback_capacity(self, tenant):
        peers = self._peers()
        homes = self._home_hosts(peers)
        rules = self._rules()
        if self._settings.host in homes:
            return rules.capacity(tenant) // len(homes)
        return rules.reserve(tenant) // max(1, len(peers))

    def _home_hosts(self, peers):
        configuration = self._cluster_state.configuration
        services = () if configuration is None else configuration.services
        return {
            home.host
            for service in services
            for home in topology.home_nodes(
                service=service, peers=peers, count=1
            )
        }

    def _tenants(self):
        configuration = self._cluster_state.configuration
        return {} if configuration is None else configuration.tenants

    def _rules(self):
        bounds = self._settings.bounds
        region = self._settings.place.region
        return tenancy.QuotaRules(
            window=bounds.quota_window,
            overage=bounds.quota_overage,
            slack=bounds.quota_slack,
            regions=tuple(sorted({region, *self._settings.regions.values()})),
            region=region,
            shares=self._exchange.shares,
            lowered=self._exchange.lowered,
        )
