"""Connects the components of a node and manages their life cycle."""

import os
import random
import time

import gevent

from wigeonrouter import core
from wigeonrouter import http1
from wigeonrouter import observability
from wigeonrouter import placement
from wigeonrouter import topology
from wigeonrouter.node import _authenticator
from wigeonrouter.node import _balancer_registry
from wigeonrouter.node import _caller_timeouts
from wigeonrouter.node import _cluster_state
from wigeonrouter.node import _crash_monitor
from wigeonrouter.node import _directory_handler
from wigeonrouter.node import _entry_choice
from wigeonrouter.node import _explainer
from wigeonrouter.node import _forwarder
from wigeonrouter.node import _link_monitor
from wigeonrouter.node import _metrics
from wigeonrouter.node import _node_servers
from wigeonrouter.node import _prober
from wigeonrouter.node import _proxy
from wigeonrouter.node import _region_member
from wigeonrouter.node import _request_log
from wigeonrouter.node import _roster
from wigeonrouter.node import _sender
from wigeonrouter.node import _server_witness
from wigeonrouter.node import _supervised_tasks

_HOUSEKEEPING_INTERVAL_S = 0.25
# Idle connections to backend servers are closed after this time.
_MAX_BACKEND_IDLE_S = 8.0
# Settings that a running node can change.
_RELOADABLE_SETTINGS = frozenset(
    {"bounds", "capacity", "heartbeat", "memory_bytes", "regions", "seeds"}
)
# Share of the memory for messages of callers and backend servers. A message
# may exist several times for a moment, while it is parsed and rendered.
_BUFFER_MEMORY_SHARE = 0.125


class Node:
    """The load balancer process on an entry VM.

    Args:
      settings: topology.NodeSettings.
      feed: the adapter's interface to the store.
      codec: the adapter's HTTP codec.
      events: events.EventLog.
      rng: random.Random, a fresh one by default.
    """

    def __init__(self, *, settings, feed, codec, events, rng=None):
        self._settings = settings
        self._events = events
        self._codec = codec
        self._feed = feed
        self._rng = rng or random.Random()
        self._stopping = False
        self._stop_schedule = placement.NO_STOP
        self._was_ready = False
        self._buffer_budget = http1.BufferBudget(limit=_buffer_limit(settings))
        self._pool = http1.ConnectionPool(max_idle=_MAX_BACKEND_IDLE_S)
        self._prober = _prober.Prober(
            pool=self._pool, codec=codec, events=events
        )
        self._addresses = {}
        self._published_facts = None
        self._metrics = observability.Metrics()
        self._cluster_state = _cluster_state.ClusterState(
            events=events, on_change=self._reconfigure
        )
        self._region_member = _region_member.RegionMember(
            settings=settings,
            feed=feed,
            cluster_state=self._cluster_state,
            is_ready=lambda: self.ready,
            facts=self._facts,
            check_server=lambda instance: self._server_witness.check(instance),
            events=events,
            rng=self._rng,
        )
        self._link_monitor = _link_monitor.LinkMonitor(
            pool=self._pool,
            known=lambda: self._cluster_state.directory.known,
            on_change=self._on_links_changed,
            events=events,
            rng=self._rng,
        )
        self._balancers = _balancer_registry.BalancerRegistry(
            settings=settings,
            cluster_state=self._cluster_state,
            prober=self._prober,
            link_monitor=self._link_monitor,
            peers=lambda: self._region_member.peers,
            limit_share=self._region_member.limit_share,
            stop_schedule=lambda: self._stop_schedule,
            events=events,
            rng=self._rng,
        )
        self._server_witness = _server_witness.ServerWitness(
            settings=settings,
            link_monitor=self._link_monitor,
            known=lambda: self._cluster_state.directory.known,
            peers=lambda: self._region_member.peers,
            rng=self._rng,
        )
        self._crash_monitor = _crash_monitor.CrashMonitor(
            cluster_state=self._cluster_state,
            feed=feed,
            store_era=lambda: self._region_member.position.era,
            stores_all=lambda: self._region_member.is_hub,
            has_ended=self._server_witness.has_ended,
            events=events,
        )
        self._sender = _sender.Sender(pool=self._pool, codec=codec)
        request_log = _request_log.RequestLog(
            cluster_state=self._cluster_state,
            events=events,
            metrics=_metrics.RequestMetrics(metrics=self._metrics),
            stop_schedule=lambda: self._stop_schedule,
        )
        authenticator = _authenticator.Authenticator(
            cluster_state=self._cluster_state,
            is_outdated=self._are_keys_outdated,
        )
        forwarder = _forwarder.Forwarder(
            settings=settings,
            sender=self._sender,
            link_monitor=self._link_monitor,
            cluster_state=self._cluster_state,
            peers=lambda: self._region_member.peers,
            request_log=request_log,
            codec=codec,
        )
        self._proxy = _proxy.Proxy(
            cluster_state=self._cluster_state,
            balancer_for=self._balancers.get,
            sender=self._sender,
            crash_monitor=self._crash_monitor,
            forwarder=forwarder,
            codec=codec,
            splitter=topology.TrafficSplitter(rng=self._rng),
            request_log=request_log,
            authenticator=authenticator,
            quotas=self._region_member.quotas.client,
        )
        self._entry_choice = _entry_choice.EntryChoice(
            settings=lambda: self._settings,
            cluster_state=self._cluster_state,
            region_member=self._region_member,
            is_ready=lambda: self.ready,
        )
        directory_handler = _directory_handler.DirectoryHandler(
            codec=codec,
            choose_entries=self._entry_choice.choose,
            is_ready=lambda: self.ready,
            ttl=self._entry_choice.ttl,
        )
        explainer = _explainer.Explainer(
            node=settings.name,
            cluster_state=self._cluster_state,
            router=self._proxy.router,
            authenticator=authenticator,
            balancers=self._balancers,
            forwarder=forwarder,
            is_cut=lambda: self._link_monitor.cut,
            quotas=self._region_member.quotas.client,
        )
        control_handler = _explainer.ControlHandler(
            handlers={
                _explainer.PATH: _explainer.ExplainHandler(explainer=explainer)
            },
            default=_metrics.MetricsHandler(
                metrics=self._metrics, read_gauges=self._read_gauges
            ),
        )
        self._node_servers = _node_servers.NodeServers(
            settings=settings,
            proxy=self._proxy,
            forwarded_handler=_forwarder.ForwardedRequestHandler(
                proxy=self._proxy,
                link_monitor=self._link_monitor,
                codec=codec,
            ),
            directory_handler=directory_handler,
            control_handler=control_handler,
            buffer_budget=self._buffer_budget,
        )
        self._timeout_writer = _caller_timeouts.CallerTimeoutWriter(
            changed=self._proxy.changed_timeouts,
            feed=feed,
            events=events,
            rng=self._rng,
        )
        self._tasks = _supervised_tasks.SupervisedTasks(events=events)

    @property
    def settings(self):
        """topology.NodeSettings."""
        return self._settings

    @property
    def servers(self):
        """Frozenset of the registered instances."""
        return frozenset(self._cluster_state.directory.known)

    @property
    def counts(self):
        """collections.Counter of the node's log events by name."""
        return self._events.counts

    @property
    def known_hosts(self):
        """Set of the hosts that are registered as nodes of other regions."""
        return self._cluster_state.remote_hosts(self._settings.place.region)

    @property
    def stored_caller_timeouts(self):
        """Dict from route to the caller timeout in the store, seconds."""
        return dict(self._cluster_state.caller_timeouts)

    @property
    def buffered_bytes(self):
        """Number of bytes that are buffered for messages."""
        return self._buffer_budget.used

    @property
    def buffer_limit(self):
        """Largest number of bytes that are buffered for messages."""
        return self._buffer_budget.limit

    @property
    def region_member(self):
        """RegionMember of this node."""
        return self._region_member

    @property
    def ready(self):
        """Whether this node accepts callers."""
        return (
            self._cluster_state.configuration is not None
            and not self._stopping
        )

    def start(self):
        """Start listening and following the store."""
        self._node_servers.start()
        self._region_member.start()
        quotas = self._region_member.quotas
        for name, function in {
            "region": self._region_member.run,
            "register": self._region_member.keep_registered,
            "waits": self._timeout_writer.run,
            "copy": self._region_member.keep_copy_current,
            "crashes": self._crash_monitor.run,
            "links": self._link_monitor.run,
            "housekeeping": self._housekeep,
            "quotas": quotas.client.run,
            "quota-exchange": quotas.run_exchange,
            "quota-levels": quotas.run_levels,
        }.items():
            self._tasks.start(name, function)
        self._events.notice(
            "started",
            node=self._settings.name,
            process=os.getpid(),
            region=self._settings.place.region,
            failure_domain=self._settings.place.failure_domain,
            callers=str(self._settings.caller_address),
        )

    def stop(self):
        """Stop gracefully, without aborting requests.

        The node leaves the roster and keeps accepting requests for a share
        of the stop grace, but rejects those that it may not finish. It then
        waits for those in progress. Returns within the stop grace.
        """
        self._stopping = True
        now = time.monotonic()
        signalled = self._node_servers.callers.earliest_signal(now)
        self._stop_schedule = schedule = placement.plan_stop(
            signalled=signalled,
            now=now,
            grace=self._settings.bounds.stop_grace,
            entries_ttl=self._entry_choice.ttl(),
        )
        self._events.notice(
            "stopping",
            requests=self._node_servers.requests_in_progress,
            connections=self._node_servers.callers.connections,
            signal_age_ms=round((now - signalled) * 1000),
            accepts_ms=round((schedule.accept_until - now) * 1000),
            exits_ms=round((schedule.exit - now) * 1000),
        )
        self._node_servers.drain()
        self._leave_region()
        self._balancers.recheck_queues()
        self._node_servers.stop(schedule)
        self._proxy.log_unfinished()
        self._events.notice(
            "stopped",
            requests=self._node_servers.requests_in_progress,
            connections=self._node_servers.callers.connections,
            closed_idle=self._node_servers.callers.closed_idle,
            closed_unread=self._node_servers.callers.closed_unread,
            after_ms=round((time.monotonic() - schedule.began) * 1000),
        )
        self._tasks.kill()

    def kill(self):
        """Stop at once, as if the process was killed."""
        self._tasks.kill()
        self._region_member.kill()
        self._node_servers.kill()

    def reload(self, settings):
        """Apply the settings that a running node can change.

        Args:
          settings: topology.NodeSettings of the changed file.
        """
        plan = core.plan_reload(
            current=self._settings,
            requested=settings,
            reloadable=_RELOADABLE_SETTINGS,
        )
        self._settings = plan.settings
        self._region_member.reload(plan.settings)
        self._feed.reload(plan.settings.regions)
        self._buffer_budget.configure(limit=_buffer_limit(plan.settings))
        self._balancers.reload(plan.settings)
        self._events.notice(
            "settings-reloaded",
            changed=plan.changed,
            kept=plan.restart_required,
        )

    def _leave_region(self):
        """Leave the region; the requests in progress do not depend on it."""
        try:
            self._region_member.leave()
        except Exception as error:
            self._tasks.report_failure("leave", error)

    def _read_gauges(self):
        ready = sum(peer.ready for peer in self._region_member.peers)
        configuration = self._cluster_state.configuration
        return observability.Gauges(
            revision=self._region_member.position.revision,
            store_era=self._region_member.position.era,
            store_copy_age=self._region_member.copy_age,
            ready=self.ready,
            servers_reachable=not self._link_monitor.cut,
            tenants=len(configuration.tenants) if configuration else 0,
            connections_opened=self._pool.opened,
            connections_exhausted=self._pool.closed_exhausted,
            members={
                "ready": ready,
                "not ready": len(self._region_member.peers) - ready,
            },
            services=self._balancers.gauges,
            unanswered_requests=self._node_servers.requests_in_progress,
            events=dict(self._events.counts),
            dropped=self._events.total_dropped,
            quota_tokens=dict(self._region_member.quotas.counts),
            quota_near_limit=self._region_member.quotas.near_limit,
        )

    def _housekeep(self):
        while True:
            gevent.sleep(_HOUSEKEEPING_INTERVAL_S)
            self._cluster_state.expire_servers()
            self._exchange_server_facts()
            self._pool.close_idle()
            self._metrics.rotate()

    def _facts(self):
        """Return the NodeFacts that the region gets."""
        return _roster.NodeFacts(
            ready=self.ready,
            cut_from_servers=self._link_monitor.cut,
            forwarding_address=self._node_servers.forwarding_address,
            rate_limits=self._balancers.rate_limits,
            statements=self._balancers.server_statements,
        )

    def _exchange_server_facts(self):
        """Exchange what servers said of themselves with other nodes."""
        self._balancers.refresh_server_facts()
        facts = self._facts()
        if facts != self._published_facts:
            self._published_facts = facts
            self._region_member.broadcast_state()

    def _are_keys_outdated(self):
        bounds = self._settings.bounds
        return (
            bounds.revoke_strict
            and self._region_member.assured_copy_age > bounds.revoke_apply
        )

    def _on_links_changed(self):
        """Apply that this node was cut off from all servers, or is back."""
        self._region_member.broadcast_state()
        if self._link_monitor.hanging:
            aborted = self._sender.abort_repeatable()
            self._events.notice("attempts-aborted", count=aborted)
        self._balancers.on_links_changed(cut=self._link_monitor.cut)

    def _reconfigure(self):
        configuration = self._cluster_state.configuration
        if configuration is None:
            return
        if not self._was_ready:
            self._was_ready = True
            self._region_member.broadcast_state()
        self._balancers.configure()
        self._region_member.quotas.configure()
        known = self._cluster_state.directory.known
        addresses = {
            instance: record.registration.address
            for instance, record in known.items()
        }
        for instance, address in self._addresses.items():
            if addresses.get(instance) != address:
                self._pool.close_idle_to(address)
        self._addresses = addresses


def _buffer_limit(settings):
    return int(settings.memory_bytes * _BUFFER_MEMORY_SHARE)
