"""Owns the Balancers of a node, one for each service that gets requests."""

import collections

from wigeonrouter import observability
from wigeonrouter import placement
from wigeonrouter import topology
from wigeonrouter.node import _balancer
from wigeonrouter.node import _server_pool

# Share of the retry budget that nodes use. The rest is a margin, because the
# deployment may count requests at the edges of a window differently.
_RETRY_BUDGET_SHARE = 0.9
# Change of the share of requests that leave a place which is logged.
_LOGGED_SHARE_CHANGE = 0.1


class BalancerRegistry:
    """Makes Balancers and passes on to them what concerns all.

    Args:
      settings: topology.NodeSettings.
      cluster_state: ClusterState.
      prober: Prober.
      link_monitor: LinkMonitor.
      peers: function that returns the topology.Peers of the region.
      limit_share: function from a service to the share of its servers' rate
        limits that this node may use.
      stop_schedule: function that returns the placement.StopSchedule of this
        node, NO_STOP while it is not stopping.
      events: events.EventLog.
      rng: random.Random.
    """

    def __init__(
        self,
        *,
        settings,
        cluster_state,
        prober,
        link_monitor,
        peers,
        limit_share,
        stop_schedule,
        events,
        rng,
    ):
        self._settings = settings
        self._cluster_state = cluster_state
        self._prober = prober
        self._link_monitor = link_monitor
        self._peers = peers
        self._limit_share = limit_share
        self._stop_schedule = stop_schedule
        self._events = events
        self._rng = rng
        self._balancers = {}
        # Dict from service and placement.Locality to the logged share.
        self._logged_shares = {}

    @property
    def rate_limits(self):
        """What servers said about their limits; see ServerViews."""
        limits = {}
        for balancer in self._balancers.values():
            limits.update(balancer.rate_limit_statements)
        return limits

    @property
    def server_statements(self):
        """Tuple of the core.ServerStatements that this node has heard."""
        return tuple(
            statement
            for balancer in self._balancers.values()
            for statement in balancer.server_statements
        )

    @property
    def gauges(self):
        """Tuple of the observability.ServiceGauges."""
        return tuple(
            observability.ServiceGauges(
                service=name,
                queue_length=balancer.queue_length,
                in_flight=balancer.in_flight,
                limited_servers=balancer.limited_servers,
                excluded_servers=balancer.excluded_servers,
                cold_servers=balancer.cold_servers,
                evacuated_domains=balancer.evacuated_domains,
                waiting_by_rank=balancer.overload_log.waiting,
                not_served_by_rank=balancer.overload_log.not_served,
                starved=balancer.overload_log.starved,
                spill_over_shares=_by_name(balancer.spill_over_shares),
                requests_by_locality=_by_name(balancer.requests_by_locality),
            )
            for name, balancer in sorted(self._balancers.items())
        )

    def get(self, service):
        """Return the Balancer of a service; make it for the first request."""
        balancer = self._balancers.get(service)
        if balancer is None:
            balancer = self._balancers[service] = self._make(service)
            self.configure()
            self._apply_peer_facts([balancer])
        return balancer

    def reload(self, settings):
        """Apply changed topology.NodeSettings."""
        self._settings = settings
        for balancer in self._balancers.values():
            balancer.budget.configure(
                ratio=self._retry_ratio(),
                window=settings.bounds.retry_window,
            )
        self.configure()

    def configure(self):
        """Apply the configuration and servers that ClusterState has."""
        configuration = self._cluster_state.configuration
        if configuration is None:
            return
        by_service = collections.defaultdict(list)
        for record in self._cluster_state.servers:
            by_service[record.registration.service].append(record)
        for name, balancer in self._balancers.items():
            self._configure(balancer, name, by_service.get(name, ()))

    def preview(self, service):
        """Return the Balancer of a service without keeping a new one."""
        balancer = self._balancers.get(service)
        if balancer is None:
            balancer = self._make(service)
            registered = [
                record
                for record in self._cluster_state.servers
                if record.registration.service == service
            ]
            self._configure(balancer, service, registered)
            self._apply_peer_facts([balancer])
        return balancer

    def _configure(self, balancer, name, registered):
        service = self._cluster_state.configuration.services.get(name)
        balancer.configure(
            health_path=service.health_path if service else "/",
            registered=registered,
            slow_start=self._slow_start_rule(service),
        )

    def recheck_queues(self):
        """Check all queued requests again."""
        for balancer in self._balancers.values():
            balancer.recheck_queue()

    def on_links_changed(self, *, cut):
        """Apply that this node was cut off from all servers, or is back."""
        for balancer in self._balancers.values():
            balancer.on_links_changed(cut=cut)

    def refresh_server_facts(self):
        """Apply what servers have said to other nodes."""
        self._apply_peer_facts(self._balancers.values())
        self._log_spill_over()

    def _log_spill_over(self):
        """Log the shares of requests that may leave, if they changed much."""
        for name, balancer in self._balancers.items():
            for locality, share in balancer.spill_over_shares.items():
                logged = self._logged_shares.get((name, locality), 0.0)
                ended = share == 0.0 and logged > 0.0
                if abs(share - logged) < _LOGGED_SHARE_CHANGE and not ended:
                    continue
                self._logged_shares[name, locality] = share
                self._events.event(
                    "spill-over",
                    service=name,
                    to=locality.name.lower(),
                    share=round(share, 2),
                    sent=_by_name(balancer.requests_by_locality),
                )

    def _apply_peer_facts(self, balancers):
        peers = [
            peer for peer in self._peers() if peer.host != self._settings.host
        ]
        peer_limits = topology.merge_rate_limits(peers)
        statements_by_host = {
            peer.host: peer.statements for peer in peers if peer.statements
        }
        for balancer in balancers:
            balancer.refresh_server_facts(
                statements_by_host=statements_by_host, peer_limits=peer_limits
            )

    def _make(self, service):
        return _balancer.Balancer(
            server_pool=_server_pool.ServerPool(
                place=self._settings.place,
                prober=self._prober,
                link_monitor=self._link_monitor,
                events=self._events,
                rng=self._rng,
                limit_share=lambda: self._limit_share(service),
            ),
            budget=placement.RetryBudget(
                ratio=self._retry_ratio(),
                window=self._settings.bounds.retry_window,
            ),
            rng=self._rng,
            stop_schedule=self._stop_schedule,
            on_starved=lambda request: self._log_starved(service, request),
            spill_over=(
                placement.SpillOver(place=self._settings.place)
                if self._settings.spill_over
                else None
            ),
        )

    def _log_starved(self, service, request):
        self._events.event(
            "rank-starved",
            service=service,
            tenant=request.tenant,
            tenant_priority=request.tenant_priority,
            priority=request.priority,
        )

    def _slow_start_rule(self, service):
        """Return the placement.SlowStartRule of topology.ServiceSettings."""
        if service is None:
            return placement.NO_SLOW_START
        return placement.make_slow_start_rule(
            duration=service.slow_start,
            rate=service.slow_start_rate,
            overage=self._settings.bounds.slow_start_overage,
            slack=self._settings.bounds.slow_start_slack,
        )

    def _retry_ratio(self):
        return self._settings.bounds.retry_ratio * _RETRY_BUDGET_SHARE


def _by_name(values):
    """Return a dict by the names of its localities."""
    return {locality.name.lower(): value for locality, value in values.items()}
