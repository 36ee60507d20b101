"""Wires the parts of a node together and owns their life cycle."""

import collections
import os
import random
import time

import gevent

from wigeonrouter import core
from wigeonrouter import http1
from wigeonrouter import observability
from wigeonrouter import placement
from wigeonrouter import store
from wigeonrouter import topology
from wigeonrouter.node import _balancer
from wigeonrouter.node import _cluster_state
from wigeonrouter.node import _directory_handler
from wigeonrouter.node import _metrics
from wigeonrouter.node import _prober
from wigeonrouter.node import _proxy
from wigeonrouter.node import _region_member
from wigeonrouter.node import _sender
from wigeonrouter.node import _server_pool

_HOUSEKEEPING_INTERVAL_S = 0.25
# Connections to backend servers are kept for this time without use.
_MAX_BACKEND_IDLE_S = 8.0
# What was learned of callers is written about this often, if it changed.
_WAITS_WRITE_INTERVAL_S = 5.0
_MAX_CALLER_CONNECTIONS = 3_000
# Callers ask again after this time. Some keep an answer three times as long,
# and a stopping node has to be out of all answers in time.
_ENTRIES_TTL_S = 1.0
# Callers that asked before the stop still come for this part of the grace.
_ACCEPT_GRACE_SHARE = 0.7
_DRAIN_GRACE_SHARE = 0.95
_STOP_POLL_INTERVAL_S = 0.02
# Callers that ask a node which has just started wait for its configuration.
_STARTUP_WAIT_S = 0.4
# Settings that a running node takes over.
_RELOADABLE_SETTINGS = frozenset(
    {"bounds", "capacity", "heartbeat", "regions", "seeds"}
)
# Nodes of a region that serve the callers of one service.
_HOMES_PER_SERVICE = 1
# Share of the retry budget that is used, for requests whose counting
# differs at the edges of a window.
_RETRY_BUDGET_SHARE = 0.9


class Node:
    """One process on an entry VM.

    Args:
      settings: topology.NodeSettings.
      feed: adapter's view of the store.
      wire: adapter's dialect.
      events: events.EventLog.
    """

    def __init__(self, *, settings, feed, codec, events, rng=None):
        self._settings = settings
        self._events = events
        self._codec = codec
        self._feed = feed
        self._rng = rng or random.Random()
        self._stopping = False
        self._was_ready = False
        self._pool = http1.ConnectionPool(max_idle=_MAX_BACKEND_IDLE_S)
        self._prober = _prober.Prober(pool=self._pool, codec=codec)
        self._balancers = {}
        self._addresses = {}
        self._metrics = observability.Metrics()
        self._cluster_state = _cluster_state.ClusterState(
            events=events, on_change=self._reconfigure
        )
        self._region_member = _region_member.RegionMember(
            settings=settings,
            feed=feed,
            cluster_state=self._cluster_state,
            is_ready=lambda: self.ready,
            events=events,
            rng=self._rng,
        )
        self._proxy = _proxy.Proxy(
            cluster_state=self._cluster_state,
            balancer_for=self._balancer_for,
            sender=_sender.Sender(pool=self._pool, codec=codec),
            codec=codec,
            splitter=topology.TrafficSplitter(rng=self._rng),
            events=events,
            metrics=_metrics.RequestMetrics(metrics=self._metrics),
        )
        self._callers = http1.CallerServer(
            address=settings.caller_address,
            handler=self._proxy,
            max_connections=_MAX_CALLER_CONNECTIONS,
        )
        entrance = _directory_handler.DirectoryHandler(
            codec=codec,
            choose_entries=self._choose_entries,
            is_ready=lambda: self.ready,
            ttl=self._entries_ttl,
        )
        page = _metrics.MetricsHandler(
            metrics=self._metrics, read_gauges=self._read_gauges
        )
        self._auxiliary_servers = [
            http1.CallerServer(address=address, handler=handler)
            for address, handler in (
                (settings.directory_address, entrance),
                (settings.readiness_address, entrance),
                (settings.control_address, page),
            )
            if address is not None
        ]
        self._tasks = []

    @property
    def settings(self):
        """topology.NodeSettings."""
        return self._settings

    @property
    def servers(self):
        """Frozenset of the instances that are registered."""
        return frozenset(self._cluster_state.directory.known)

    @property
    def counts(self):
        """Counter of the node's log events by name."""
        return self._events.counts

    @property
    def stored_usual_waits(self):
        """Dict from route to the usual wait that the store keeps."""
        return dict(self._cluster_state.usual_waits)

    @property
    def region_member(self):
        """Region, this node's part in its region."""
        return self._region_member

    @property
    def ready(self):
        """Whether callers may be sent here."""
        return (
            self._cluster_state.configuration is not None
            and not self._stopping
        )

    def start(self):
        """Listen and follow the store."""
        self._callers.start()
        for entrance in self._auxiliary_servers:
            entrance.start()
        self._region_member.start()
        self._tasks = [
            gevent.spawn(self._supervise, "region", self._region_member.run),
            gevent.spawn(self._register),
            gevent.spawn(self._supervise, "waits", self._store_usual_waits),
            gevent.spawn(self._supervise, "housekeeping", self._housekeep),
        ]
        self._events.notice(
            "started",
            node=self._settings.name,
            process=os.getpid(),
            region=self._settings.place.region,
            failure_domain=self._settings.place.failure_domain,
            callers=str(self._settings.caller_address),
        )

    def stop(self):
        """Stop gracefully: no request is cut."""
        began = time.monotonic()
        grace = self._settings.bounds.stop_grace
        self._stopping = True
        self._events.notice(
            "stopping", requests=self._callers.requests_in_progress
        )
        self._callers.drain()
        self._region_member.leave()
        while time.monotonic() - began < grace * _ACCEPT_GRACE_SHARE:
            gevent.sleep(_STOP_POLL_INTERVAL_S)
        latest = began + grace * _DRAIN_GRACE_SHARE
        stopping = gevent.spawn(self._callers.stop)
        stopping.join(timeout=max(0.0, latest - time.monotonic()))
        self._events.notice(
            "stopped", requests=self._callers.requests_in_progress
        )
        gevent.killall(self._tasks)

    def kill(self):
        """Stop at once, as a process that is killed does."""
        gevent.killall(self._tasks)
        self._region_member.kill()
        for server in (self._callers, *self._auxiliary_servers):
            server.kill()

    def reload(self, settings):
        """Take over what a running node can change.

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
        for balancer in self._balancers.values():
            balancer.budget.configure(
                ratio=self._budget_ratio(),
                window=plan.settings.bounds.retry_window,
            )
        self._events.notice(
            "settings-reloaded",
            changed=plan.changed,
            kept=plan.restart_required,
        )

    def _supervise(self, name, function):
        """Run a task for ever; one that fails is logged and run again."""
        while True:
            try:
                function()
            except Exception as error:
                self._events.notice(
                    "task-failed",
                    task=name,
                    error=f"{type(error).__name__}: {error}",
                )
            gevent.sleep(_HOUSEKEEPING_INTERVAL_S)

    def _budget_ratio(self):
        return self._settings.bounds.retry_ratio * _RETRY_BUDGET_SHARE

    def _read_gauges(self):
        ready = sum(peer.ready for peer in self._region_member.peers)
        return observability.Gauges(
            revision=self._region_member.revision,
            ready=self.ready,
            members={
                "ready": ready,
                "not ready": len(self._region_member.peers) - ready,
            },
            services=tuple(
                (name, balancer.queue_length, balancer.in_flight)
                for name, balancer in sorted(self._balancers.items())
            ),
            unanswered_requests=self._callers.requests_in_progress,
            events=dict(self._events.counts),
            dropped=self._events.total_dropped,
        )

    def _housekeep(self):
        while True:
            gevent.sleep(_HOUSEKEEPING_INTERVAL_S)
            self._cluster_state.expire_servers()
            self._pool.close_idle()
            self._metrics.rotate()

    def _store_usual_waits(self):
        """Keep in the store what the node learned of its callers."""
        while True:
            gevent.sleep(_WAITS_WRITE_INTERVAL_S * self._rng.uniform(0.5, 1.5))
            for route, seconds in self._proxy.changed_usual_waits().items():
                try:
                    self._feed.remember_wait(route=route, seconds=seconds)
                except store.StoreError as error:
                    self._events.notice(
                        "wait-not-kept", route=route, error=str(error)
                    )

    def _entries_ttl(self):
        return min(_ENTRIES_TTL_S, self._settings.bounds.max_entry_ttl)

    def _choose_entries(self, query):
        self._cluster_state.wait_configured(_STARTUP_WAIT_S)
        if self._cluster_state.configuration is None:
            return ()
        services = self._cluster_state.routes.services_of(query.host)
        homes = topology.home_nodes(
            service=services[0] if services else "",
            peers=self._region_member.peers,
            count=_HOMES_PER_SERVICE,
        )
        if homes:
            return tuple(home.caller_address for home in homes)
        return (self._settings.caller_address,) if self.ready else ()

    def _register(self):
        try:
            self._region_member.register()
        except Exception as error:
            self._events.notice("task-failed", task="register", error=error)

    def _balancer_for(self, service):
        balancer = self._balancers.get(service)
        if balancer is None:
            balancer = _balancer.Balancer(
                servers=_server_pool.ServerPool(
                    place=self._settings.place,
                    prober=self._prober,
                    events=self._events,
                    rng=self._rng,
                ),
                budget=placement.RetryBudget(
                    ratio=self._budget_ratio(),
                    window=self._settings.bounds.retry_window,
                ),
                rng=self._rng,
            )
            self._balancers[service] = balancer
            self._reconfigure()
        return balancer

    def _reconfigure(self):
        configuration = self._cluster_state.configuration
        if configuration is None:
            return
        if not self._was_ready:
            self._was_ready = True
            self._region_member.broadcast_state()
        known = self._cluster_state.directory.known
        by_service = collections.defaultdict(list)
        for entry in known.values():
            by_service[entry.registration.service].append(entry)
        for name, balancer in self._balancers.items():
            service = configuration.services.get(name)
            balancer.configure(
                health_path=service.health_path if service else "/",
                known=by_service.get(name, ()),
            )
        addresses = {
            instance: entry.registration.address
            for instance, entry in known.items()
        }
        for instance, address in self._addresses.items():
            if addresses.get(instance) != address:
                self._pool.close_idle_to(address)
        self._addresses = addresses
