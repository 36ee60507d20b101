"""The backend servers of one service that a node may use, and their limits."""

import collections
import dataclasses
import time

from wigeonrouter import placement
from wigeonrouter import topology
from wigeonrouter.node import _new_view
from wigeonrouter.node import _server_capacity
from wigeonrouter.node import _server_limits


class ServerViews:
    """Owns the registrations, ServerViews and rate limits of one service.

    Args:
      place: core.Place of this node.
      events: events.EventLog.
      limit_share: function that returns the share of the servers' rate limits
        that this node may use, from 0 to 1.
    """

    def __init__(self, *, place, events, limit_share, clock=time.monotonic):
        self._place = place
        self._events = events
        self._clock = clock
        self._limits = _server_limits.ServerLimits(
            events=events, limit_share=limit_share, clock=clock
        )
        self._statements = placement.ServerStatements()
        self._invalid_statements = set()
        # No server of the service is paused after this time.
        self._last_pause_ends = float("-inf")
        self._registrations = {}
        self._views = {}
        self._local_instances = ()
        self._remote_instances = ()

    @property
    def all(self):
        """Iterable of all ServerViews, also those it may not use."""
        return self._views.values()

    @property
    def local(self):
        """List of the ServerViews in this node's region that it may use."""
        return [self._views[instance] for instance in self._local_instances]

    @property
    def remote(self):
        """List of the ServerViews in other regions that it may use."""
        return [self._views[instance] for instance in self._remote_instances]

    @property
    def has_usable(self):
        """Whether this node may use any server, at once or later."""
        return bool(self._local_instances or self._remote_instances)

    @property
    def rate_limit_statements(self):
        """Dict from instance to the limit that it named to this node.

        None stands for a limit that has ended.
        """
        return self._limits.statements

    @property
    def statements(self):
        """Tuple of the core.ServerStatements that this node has heard."""
        if not self._statements:
            return ()
        starts = {
            _start(registration)
            for registration in self._registrations.values()
        }
        return self._statements.export(starts, self._clock())

    @property
    def exclusion_counts(self):
        """Dict from placement.Exclusion to the number of such servers."""
        now = self._clock()
        reasons = collections.Counter(
            placement.find_exclusion(view, now) for view in self.all
        )
        del reasons[None]
        return dict(reasons)

    @property
    def evacuated_domains(self):
        """Number of failure domains with servers that are evacuated."""
        return len(
            {view.place.failure_domain for view in self.all if view.evacuated}
        )

    @property
    def cold_count(self):
        """Number of servers that are in their slow start."""
        now = self._clock()
        return sum(view.slow_start_until > now for view in self.all)

    @property
    def limited_count(self):
        """Number of servers with a rate limit that this node knows."""
        return len(self._limits.limited)

    @property
    def time_to_next_send(self):
        """Seconds until some server's limit and pause allow a request."""
        now = self._clock()
        if not self._limits.limited and self._last_pause_ends <= now:
            return 0.0
        return _server_capacity.time_to_next_send(
            (*self.local, *self.remote), now
        )

    def get(self, instance):
        """Return the ServerView of an instance, None if it is unknown."""
        return self._views.get(instance)

    @property
    def registrations(self):
        """Iterable of the topology.Registrations of all these servers."""
        return self._registrations.values()

    def registration(self, instance):
        """Return the topology.Registration of a known instance."""
        return self._registrations[instance]

    def latest(self, views):
        """Return the current state of some ServerViews that still exist."""
        return [
            self._views[view.instance]
            for view in views
            if view.instance in self._views
        ]

    def configure(self, registered, slow_start=placement.NO_SLOW_START):
        """Update the set of servers; draining ones are left out.

        A server that was restarted under the same instance, or is registered
        at another place, gets a new view.

        Args:
          registered: iterable of topology.KnownServer of the service.
          slow_start: placement.SlowStartRule of the service.
        """
        self._limits.configure(slow_start)
        registrations, views = {}, {}
        for record in registered:
            registration = record.registration
            if registration.state is topology.RegistrationState.DRAINING:
                continue
            instance = registration.instance
            registrations[instance] = registration
            view = self._views.get(instance)
            previous = self._registrations.get(instance)
            if (
                view is None
                or previous.started_ms != registration.started_ms
                or previous.place != registration.place
            ):
                view = _new_view.make_view(registration, place=self._place)
                self._limits.forget([instance])
            statement = self._statements.get(_start(registration))
            self._limits.register(record)
            views[instance] = dataclasses.replace(
                self._limits.apply_slow_start(view, registration),
                slots=registration.slots,
                leaving=statement.leaving,
                paused_until=statement.paused_until,
                evacuated=record.evacuated,
            )
        self._limits.forget(self._views.keys() - views.keys())
        self._limits.retain(registrations.values())
        self._registrations, self._views = registrations, views
        self._invalid_statements &= {
            _start(registration) for registration in registrations.values()
        }
        if self._limits.limited:
            self._apply_rate_limits()
        else:
            self._group_by_locality()

    def set_misdirected(self, instances):
        """Leave out the servers that others answer for, and no others.

        Args:
          instances: set of their instances.
        """
        changed = [
            view
            for view in self._views.values()
            if view.misdirected != (view.instance in instances)
        ]
        for view in changed:
            self._views[view.instance] = dataclasses.replace(
                view, misdirected=not view.misdirected
            )
        if changed:
            self._group_by_locality()

    def replace(self, view):
        """Store an updated view; log an ejection or a recovery."""
        previous = self._views[view.instance]
        self._views[view.instance] = view
        if view.ejected_until > previous.ejected_until:
            self._events.event(
                "server-paused",
                instance=view.instance,
                failures=view.consecutive_failures,
                silent=view.consecutive_no_response,
                for_ms=round((view.ejected_until - self._clock()) * 1000),
            )
        elif _has_recent_failures(previous) and not _has_recent_failures(view):
            self._events.event("server-back", instance=view.instance)

    def find_sendable(self, instance):
        """Return the view of a server that may get a request now, or None."""
        now = self._clock()
        view = self._views.get(instance)
        if view is not None and view.rate_limit is not None:
            self._limits.refresh_share()
            view = self._apply_rate_limit(view)
        if view is None:
            return None
        exclusion = placement.find_exclusion(view, now)
        if exclusion in (None, placement.Exclusion.EJECTED):
            return view
        return None

    def record_sent(self, view):
        """Count a request that is sent to a server."""
        registration = self._registrations[view.instance]
        self._limits.record_sent(registration)
        view = dataclasses.replace(view, in_flight=view.in_flight + 1)
        view = self._limits.apply_slow_start(view, registration)
        self._views[view.instance] = view
        if view.rate_limit is not None:
            self._apply_rate_limit(view)

    def record_statements(self, registration, metadata):
        """Apply what a response says about its server.

        Args:
          registration: topology.Registration of the server.
          metadata: messages.ResponseMetadata of the response.
        """
        if metadata.misdirected:
            # Another server has responded.
            return
        if metadata.invalid_statements:
            self._log_invalid(registration, metadata.invalid_statements)
        start = _start(registration)
        known = self._statements.get(start)
        if not self._statements.record(
            start,
            leaving=metadata.leaving,
            pause=metadata.pause,
            now=self._clock(),
        ):
            return
        if metadata.leaving and not known.leaving:
            self._events.notice(
                "server-leaves", instance=registration.instance
            )
        if metadata.pause:
            self._events.event(
                "server-asks-for-pause",
                instance=registration.instance,
                seconds=metadata.pause,
            )
        self._apply_statement(registration)

    def record_peer_statements(self, statements_by_host):
        """Apply what servers of this service have said to other nodes.

        Args:
          statements_by_host: dict from the host of a node to the
            core.ServerStatements that it has heard, of all services.
        """
        now = self._clock()
        for host, statements in statements_by_host.items():
            for statement in statements:
                registration = self._registrations.get(statement.instance)
                if (
                    registration is not None
                    and registration.started_ms == statement.started_ms
                    and self._statements.record_peer(host, statement, now)
                ):
                    self._apply_statement(registration)
        self._statements.retain_peers(statements_by_host)

    def record_health(self, registration, metadata):
        """Apply what a server's response to a health check says of it.

        Args:
          registration: topology.Registration of the server.
          metadata: messages.ResponseMetadata of the response.
        """
        instance = registration.instance
        self.record_statements(registration, metadata)
        self.record_rate_limit(instance, metadata, from_probe=True)
        self._limits.record_health(registration, metadata)
        view = self._limits.apply_slow_start(
            self._views[instance], registration
        )
        self._views[instance] = view
        if instance in self._limits.limited:
            self._apply_rate_limits()

    def record_rate_limit(self, instance, metadata, *, from_probe):
        """Apply what a response says about its server's limit.

        Args:
          metadata: messages.ResponseMetadata of the response.
          from_probe: whether it is the response to a health check.
        """
        if instance in self._views and self._limits.record_response(
            instance, metadata, from_probe=from_probe
        ):
            self._apply_rate_limits()

    def refresh_rate_limits(self, peer_limits):
        """Apply which node may use the servers with limits, and peers' limits.

        Args:
          peer_limits: dict from instance to the requests per second that it
            named to other nodes of the region, None for an ended limit.
        Returns:
          Whether any server has a limit.
        """
        known = {
            instance: limit
            for instance, limit in peer_limits.items()
            if instance in self._views
        }
        if not self._limits.record_peer_limits(known):
            return False
        self._apply_rate_limits()
        return True

    def _apply_statement(self, registration):
        """Update the view of a server, if it has one, from what it said."""
        instance = registration.instance
        current = self._registrations.get(instance)
        if current is None or _start(current) != _start(registration):
            return
        statement = self._statements.get(_start(registration))
        self._last_pause_ends = max(
            self._last_pause_ends, statement.paused_until
        )
        self._views[instance] = dataclasses.replace(
            self._views[instance],
            leaving=statement.leaving,
            paused_until=statement.paused_until,
        )
        self._group_by_locality()

    def _log_invalid(self, registration, names):
        """Log the first invalid statement of each start of a server."""
        start = _start(registration)
        if start in self._invalid_statements:
            return
        self._invalid_statements.add(start)
        self._events.notice(
            "server-statement-invalid",
            instance=registration.instance,
            headers=names,
        )

    def _apply_rate_limits(self):
        """Update the views from the limits, and which servers may be used."""
        self._limits.refresh_share()
        for instance in self._limits.limited:
            self._apply_rate_limit(self._views[instance])
        self._group_by_locality()

    def _apply_rate_limit(self, view):
        """Update one view from its limit and return it."""
        view = self._limits.apply(view)
        self._views[view.instance] = view
        return view

    def _group_by_locality(self):
        """Sort the servers that this node may use by their locality."""
        local, remote = [], []
        for instance, view in self._views.items():
            if view.rate_limit == 0.0 or view.leaving or view.misdirected:
                continue
            if view.evacuated:
                continue
            is_remote = view.locality is placement.Locality.REMOTE
            (remote if is_remote else local).append(instance)
        self._local_instances = tuple(local)
        self._remote_instances = tuple(remote)


def _start(registration):
    return registration.instance, registration.started_ms


def _has_recent_failures(view):
    return view.consecutive_failures > 0 or view.consecutive_no_response > 1
