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
from wigeonrouter.node import _entrance
from wigeonrouter.node import _metrics
from wigeonrouter.node import _prober
from wigeonrouter.node import _proxy
from wigeonrouter.node import _region
from wigeonrouter.node import _sender
from wigeonrouter.node import _servers
from wigeonrouter.node import _world

_HOUSEKEEPING_INTERVAL_S = 0.25
# Connections to backend servers are kept for this time without use.
_MAX_IDLE_S = 8.0
# What was learned of callers is written about this often, if it changed.
_KEEP_INTERVAL_S = 5.0
_MAX_CALLER_CONNECTIONS = 3_000
# Callers ask again after this time. Some keep an answer three times as long,
# and a stopping node has to be out of all answers in time.
_ANSWER_LIFETIME_S = 1.0
# Callers that asked before the stop still come for this part of the grace.
_SERVE_SHARE = 0.7
_FINISH_SHARE = 0.95
_STOP_POLL_S = 0.02
# Callers that ask a node which has just started wait for its configuration.
_START_S = 0.4
# Settings that a running node takes over.
_RELOADABLE = frozenset(
    {"bounds", "capacity", "heartbeat", "regions", "seeds"}
)
# Nodes of a region that serve the callers of one service.
_HOMES = 1
# Share of the retry budget that is used, for requests whose counting
# differs at the edges of a window.
_BUDGET_SHARE = 0.9


class Node:
    """One process on an entry VM.

    Args:
      settings: topology.NodeSettings.
      feed: adapter's view of the store.
      wire: adapter's dialect.
      events: events.EventLog.
    """

    def __init__(self, *, settings, feed, wire, events, rng=None):
        self._settings = settings
        self._events = events
        self._wire = wire
        self._feed = feed
        self._rng = rng or random.Random()
        self._stopping = False
        self._was_ready = False
        self._pool = http1.ConnectionPool(max_idle=_MAX_IDLE_S)
        self._prober = _prober.Prober(pool=self._pool, wire=wire)
        self._balancers = {}
        self._addresses = {}
        self._metrics = observability.Metrics()
        self._world = _world.World(events=events, on_change=self._reconfigure)
        self._region = _region.Region(
            settings=settings,
            feed=feed,
            world=self._world,
            is_ready=lambda: self.ready,
            events=events,
            rng=self._rng,
        )
        self._proxy = _proxy.Proxy(
            world=self._world,
            balancers=self._balancer,
            sender=_sender.Sender(pool=self._pool, wire=wire),
            wire=wire,
            splitter=topology.Splitter(rng=self._rng),
            events=events,
            metrics=_metrics.RequestMetrics(metrics=self._metrics),
        )
        self._callers = http1.CallerServer(
            address=settings.caller_address,
            handler=self._proxy,
            max_connections=_MAX_CALLER_CONNECTIONS,
        )
        entrance = _entrance.Entrance(
            wire=wire,
            choose=self._choose_entries,
            is_ready=lambda: self.ready,
            lifetime=self._answer_lifetime,
        )
        page = _metrics.MetricsPage(
            metrics=self._metrics, read_gauges=self._read_gauges
        )
        self._entrances = [
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
        return frozenset(self._world.directory.known)

    @property
    def counts(self):
        """Counter of the node's log events by name."""
        return self._events.counts

    @property
    def kept_waits(self):
        """Dict from route to the usual wait that the store keeps."""
        return dict(self._world.waits)

    @property
    def region(self):
        """Region, this node's part in its region."""
        return self._region

    @property
    def ready(self):
        """Whether callers may be sent here."""
        return self._world.configuration is not None and not self._stopping

    def start(self):
        """Listen and follow the store."""
        self._callers.start()
        for entrance in self._entrances:
            entrance.start()
        self._region.start()
        self._tasks = [
            gevent.spawn(self._keep_running, "region", self._region.run),
            gevent.spawn(self._register),
            gevent.spawn(self._keep_running, "waits", self._keep_waits),
            gevent.spawn(self._keep_running, "housekeeping", self._housekeep),
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
        self._region.leave()
        while time.monotonic() - began < grace * _SERVE_SHARE:
            gevent.sleep(_STOP_POLL_S)
        latest = began + grace * _FINISH_SHARE
        stopping = gevent.spawn(self._callers.stop)
        stopping.join(timeout=max(0.0, latest - time.monotonic()))
        self._events.notice(
            "stopped", requests=self._callers.requests_in_progress
        )
        gevent.killall(self._tasks)

    def kill(self):
        """Stop at once, as a process that is killed does."""
        gevent.killall(self._tasks)
        self._region.kill()
        for server in (self._callers, *self._entrances):
            server.kill()

    def reload(self, settings):
        """Take over what a running node can change.

        Args:
          settings: topology.NodeSettings of the changed file.
        """
        plan = core.plan_reload(
            current=self._settings, requested=settings, reloadable=_RELOADABLE
        )
        self._settings = plan.settings
        self._region.reload(plan.settings)
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

    def _keep_running(self, name, function):
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
        return self._settings.bounds.retry_ratio * _BUDGET_SHARE

    def _read_gauges(self):
        ready = sum(peer.ready for peer in self._region.peers)
        return observability.Gauges(
            revision=self._region.revision,
            ready=self.ready,
            members={
                "ready": ready,
                "not ready": len(self._region.peers) - ready,
            },
            services=tuple(
                (name, balancer.waiting, balancer.in_flight)
                for name, balancer in sorted(self._balancers.items())
            ),
            unanswered_requests=self._callers.requests_in_progress,
            events=dict(self._events.counts),
            dropped=self._events.total_dropped,
        )

    def _housekeep(self):
        while True:
            gevent.sleep(_HOUSEKEEPING_INTERVAL_S)
            self._world.advance()
            self._pool.close_idle()
            self._metrics.rotate()

    def _keep_waits(self):
        """Keep in the store what the node learned of its callers."""
        while True:
            gevent.sleep(_KEEP_INTERVAL_S * self._rng.uniform(0.5, 1.5))
            for route, seconds in self._proxy.new_waits().items():
                try:
                    self._feed.remember_wait(route=route, seconds=seconds)
                except store.StoreError as error:
                    self._events.notice(
                        "wait-not-kept", route=route, error=str(error)
                    )

    def _answer_lifetime(self):
        return min(_ANSWER_LIFETIME_S, self._settings.bounds.answer_lifetime)

    def _choose_entries(self, query):
        self._world.wait_configured(_START_S)
        if self._world.configuration is None:
            return ()
        services = self._world.routes.services_of(query.host)
        homes = topology.homes(
            service=services[0] if services else "",
            peers=self._region.peers,
            count=_HOMES,
        )
        if homes:
            return tuple(home.caller_address for home in homes)
        return (self._settings.caller_address,) if self.ready else ()

    def _register(self):
        try:
            self._region.register()
        except Exception as error:
            self._events.notice("task-failed", task="register", error=error)

    def _balancer(self, service):
        balancer = self._balancers.get(service)
        if balancer is None:
            balancer = _balancer.Balancer(
                servers=_servers.Servers(
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
        configuration = self._world.configuration
        if configuration is None:
            return
        if not self._was_ready:
            self._was_ready = True
            self._region.announce()
        known = self._world.directory.known
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
