"""A node's view of the backend servers of one service.

Probes servers for their load, counts this node's requests in flight and
updates its estimates from the outcome of each attempt. A probe of another
region takes a round trip of tens of milliseconds, so remote servers are
probed in the background for as long as requests may need them.
"""

import dataclasses
import time

import gevent

from wigeonrouter import placement
from wigeonrouter import topology
from wigeonrouter.node import _grant

# Remote servers that are probed before a choice if no server is local.
REMOTE_PROBES = 3
_LOCAL_PROBE_TIMEOUT_S = 0.012
# Timeout of a remote probe, in round trips. A probe may need a new connection,
# which takes a second round trip.
_REMOTE_PROBE_ROUND_TRIPS = 2.2
_REMOTE_PROBE_MARGIN_S = 0.03
# Assumed round trip to another region until one is measured.
_REMOTE_ROUND_TRIP_S = 0.042
# While the own region has too few free slots, this many remote servers are
# probed at this interval. Polling ends if no request needs it for a while.
_POLLED_REMOTE_SERVERS = 6
_REMOTE_POLL_INTERVAL_S = 0.05
_REMOTE_POLL_DURATION_S = 0.3
# Older load reports of remote servers are ignored.
_REMOTE_REPORT_MAX_AGE_S = 0.2
# Assumed round trip within the region until one is measured.
_LOCAL_ROUND_TRIP_S = 0.0015
# A timeout before this multiple of the expected latency does not count as a
# failure of the server: the request had too little time left.
_EARLY_TIMEOUT_FACTOR = 2.0


class ServerPool:
    """Owns the ServerViews of one service.

    Args:
      place: core.Place of this node.
      prober: Prober.
      events: events.EventLog.
      limit_share: function that returns the share of the servers' rate limits
        that this node may use, from 0 to 1.
    """

    def __init__(
        self,
        *,
        place,
        prober,
        events,
        rng,
        limit_share,
        clock=time.monotonic,
    ):
        self._limit_share = limit_share
        self._rate_limits = placement.RateLimits()
        self._place = place
        self._prober = prober
        self._events = events
        self._rng = rng
        self._clock = clock
        self._health_path = ""
        self._registrations = {}
        self._views = {}
        self._local_instances = ()
        self._remote_instances = ()
        self._service_times = placement.ServiceTimes()
        self._remote_poll_task = None
        self._remote_poll_until = float("-inf")

    @property
    def service_times(self):
        """placement.ServiceTimes of the service."""
        return self._service_times

    @property
    def in_flight(self):
        """Number of this node's requests in flight at the servers."""
        return sum(view.in_flight for view in self._views.values())

    @property
    def has_servers(self):
        """Whether this node may use any server, at once or later."""
        return bool(self._local_instances or self._remote_instances)

    @property
    def named_rate_limits(self):
        """Dict from instance to the limit that it named to this node."""
        return self._rate_limits.named(self._clock())

    @property
    def local(self):
        """List of the ServerViews in this node's region that it may use."""
        return [self._views[instance] for instance in self._local_instances]

    @property
    def remote(self):
        """List of the ServerViews in other regions that it may use."""
        return [self._views[instance] for instance in self._remote_instances]

    @property
    def time_to_next_send(self):
        """Seconds until the rate limit of some server allows a request."""
        if not self._rate_limits.limited:
            return 0.0
        times = (view.next_send_at for view in (*self.local, *self.remote))
        return max(0.0, min(times, default=0.0) - self._clock())

    def usable_slots(self, service_time):
        """Return the slots of the local servers that can be kept busy.

        These are the slots of the remote servers if none is local.

        Args:
          service_time: undisturbed service time, seconds.
        """
        return sum(
            placement.usable_slots(
                view,
                service_time=service_time,
                mean_slowdown=self._service_times.mean_slowdown,
            )
            for view in self._preferred()
        )

    @property
    def utilization(self):
        """Expected load of the servers that are preferred, per slot."""
        now = self._clock()
        views = self._preferred()
        used = sum(placement.expected_load(view, now) for view in views)
        return used / max(1, sum(view.slots for view in views))

    def latest(self, views):
        """Return the current state of some ServerViews that still exist."""
        return [
            self._views[view.instance]
            for view in views
            if view.instance in self._views
        ]

    def configure(self, *, health_path, registered):
        """Update the set of servers; draining ones are left out.

        A server that was restarted under the same instance gets a new view.

        Args:
          health_path: path of their health check.
          registered: iterable of topology.KnownServer of the service.
        """
        self._health_path = health_path
        registrations, views = {}, {}
        for record in registered:
            registration = record.registration
            if registration.state is topology.RegistrationState.DRAINING:
                continue
            instance = registration.instance
            registrations[instance] = registration
            view = self._views.get(instance)
            previous = self._registrations.get(instance)
            if view is None or previous.started_ms != registration.started_ms:
                view = self._new_view(registration)
                self._rate_limits.forget([instance])
            views[instance] = dataclasses.replace(
                view,
                slots=registration.slots,
                slow_start_until=record.learned_at + registration.slow_start,
            )
        self._rate_limits.forget(self._views.keys() - views.keys())
        self._registrations, self._views = registrations, views
        self._group_by_locality()

    def remove_server(self, instance):
        """Remove a server whose address now belongs to another one."""
        self._registrations.pop(instance, None)
        self._views.pop(instance, None)
        self._rate_limits.forget([instance])
        self._group_by_locality()

    def refresh_rate_limits(self, peer_limits):
        """Apply which node may use the servers with limits, and peers' limits.

        Args:
          peer_limits: dict from instance to the requests per second that it
            named to other nodes of the region.
        Returns:
          Whether any server has a limit.
        """
        known = {
            instance: limit
            for instance, limit in peer_limits.items()
            if instance in self._views
        }
        self._rate_limits.record_peer_limits(known, self._clock())
        if not self._rate_limits.limited:
            return False
        self._apply_rate_limits()
        return True

    def remote_with_fresh_reports(self):
        """Return the remote views with fresh reports.

        Starts or prolongs the background polling that keeps them fresh.
        """
        self._remote_poll_until = self._clock() + _REMOTE_POLL_DURATION_S
        if self._remote_poll_task is None or self._remote_poll_task.ready():
            self._remote_poll_task = gevent.spawn(self._poll_remote)
        now = self._clock()
        return [
            view
            for view in self.remote
            if view.report is not None
            and now - view.report.received < _REMOTE_REPORT_MAX_AGE_S
        ]

    def probe(self, views, *, remote):
        """Probe servers for their load and wait for the results.

        Args:
          views: ServerViews to probe.
          remote: whether they are in another region, where the timeout
            depends on the round trip.
        """
        timeout = _LOCAL_PROBE_TIMEOUT_S
        if remote:
            max_round_trip = max(
                (view.round_trip for view in views), default=0.0
            )
            timeout = (
                _REMOTE_PROBE_MARGIN_S
                + _REMOTE_PROBE_ROUND_TRIPS * max_round_trip
            )
        self._prober.probe(
            [
                (self._registrations[view.instance], self._health_path)
                for view in views
                if view.instance in self._registrations
            ],
            timeout=timeout,
            deliver=self._on_probe,
        )

    def grant(self, pick, service_time):
        """Count a request in flight at the chosen server.

        Args:
          pick: placement.Pick.
          service_time: expected service time, seconds.
        Returns:
          Grant, None if the server was removed in the meantime or another
          request used its rate limit.
        """
        now = self._clock()
        view = self._views.get(pick.view.instance)
        if view is None:
            return None
        if view.rate_limit is not None:
            self._rate_limits.set_share(self._limit_share(), now)
            view = self._apply_rate_limit(view.instance, now)
        if view.next_send_at > now:
            return None
        load = placement.expected_load(view, now)
        grant = _grant.Grant(
            registration=self._registrations[view.instance],
            granted_at=now,
            expected_slowdown=placement.expected_slowdown(
                view, now, self._service_times.mean_slowdown
            ),
            nearly_full=placement.is_nearly_full(load, view.slots),
            report_age=(
                None if view.report is None else now - view.report.received
            ),
            expected_utility=pick.expected_utility,
            expected_load=load,
            round_trip=view.round_trip,
            expected_latency=placement.expected_latency(
                view,
                service_time=service_time,
                mean_slowdown=self._service_times.mean_slowdown,
                now=now,
            ),
        )
        self._views[view.instance] = dataclasses.replace(
            view, in_flight=view.in_flight + 1
        )
        self._rate_limits.record_sent(view.instance, now)
        if view.rate_limit is not None:
            self._apply_rate_limit(view.instance, now)
        return grant

    def release(self, grant, *, route, outcome, metadata, latency, timed_out):
        """Record the end of an attempt; see Balancer.release()."""
        instance = grant.registration.instance
        load = metadata.load if metadata is not None else None
        if metadata is not None:
            self._record_rate_limit(instance, metadata, from_probe=False)
        view = self._views.get(instance)
        if (
            timed_out
            and latency < _EARLY_TIMEOUT_FACTOR * grant.expected_latency
        ):
            outcome = placement.AttemptOutcome.TIMED_OUT
        if view is not None:
            self._update_view(view, outcome, load)
        if outcome is placement.AttemptOutcome.SUCCEEDED:
            self._service_times.record_latency(route, latency)
            self._service_times.record_service_time(
                route,
                placement.undisturbed_service_time(
                    latency=latency,
                    round_trip=grant.round_trip,
                    slowdown=grant.expected_slowdown,
                    nearly_full=grant.nearly_full,
                ),
            )

    def _update_view(self, view, outcome, load):
        now = self._clock()
        if load is not None:
            # The report still counts the finished request, so it is recorded
            # before `in_flight` is decremented.
            report = self._make_report(load, view, now)
            view = dataclasses.replace(view, report=report)
        view = dataclasses.replace(view, in_flight=max(0, view.in_flight - 1))
        if load is None and outcome is placement.AttemptOutcome.REJECTED:
            view = dataclasses.replace(
                view, report=_saturated_report(view, now)
            )
        self._replace_view(
            placement.after_attempt(view, outcome=outcome, now=now)
        )

    def _replace_view(self, view):
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

    def _group_by_locality(self):
        """Sort the servers that this node may use by their locality."""
        local, remote = [], []
        for instance, view in self._views.items():
            if view.rate_limit == 0.0:
                continue
            is_remote = view.locality is placement.Locality.REMOTE
            (remote if is_remote else local).append(instance)
        self._local_instances = tuple(local)
        self._remote_instances = tuple(remote)

    def _preferred(self):
        return self.local or self.remote

    def _new_view(self, registration):
        place = registration.place
        if place.failure_domain == self._place.failure_domain:
            locality = placement.Locality.DOMAIN
        elif place.region == self._place.region:
            locality = placement.Locality.REGION
        else:
            locality = placement.Locality.REMOTE
        remote = locality is placement.Locality.REMOTE
        return placement.ServerView(
            instance=registration.instance,
            locality=locality,
            slots=registration.slots,
            round_trip=_REMOTE_ROUND_TRIP_S if remote else _LOCAL_ROUND_TRIP_S,
        )

    def _poll_remote(self):
        """Probe random remote servers at intervals while they are needed."""
        while self._clock() < self._remote_poll_until:
            views = self.remote
            chosen = self._rng.sample(
                views, min(len(views), _POLLED_REMOTE_SERVERS)
            )
            self.probe(chosen, remote=True)
            gevent.sleep(_REMOTE_POLL_INTERVAL_S)

    def _on_probe(self, instance, result):
        view = self._views.get(instance)
        if view is None:
            return
        now = self._clock()
        if result is None:
            self._replace_view(placement.after_no_response(view, now=now))
            return
        if not result.instance_matches:
            self.remove_server(instance)
            return
        self._record_rate_limit(instance, result.metadata, from_probe=True)
        report = None
        if result.metadata.load is not None:
            report = self._make_report(result.metadata.load, view, now)
        self._replace_view(
            placement.after_probe(
                view,
                report=report,
                healthy=result.healthy,
                round_trip=result.round_trip,
                now=now,
            )
        )

    def _record_rate_limit(self, instance, metadata, *, from_probe):
        """Apply what a response says about its server's limit."""
        if not metadata.rate_limit_valid or instance not in self._views:
            return
        changed = self._rate_limits.record_response(
            instance,
            limit=metadata.rate_limit,
            from_probe=from_probe,
            now=self._clock(),
        )
        if changed:
            self._events.event(
                "server-rate-limit",
                instance=instance,
                per_second=metadata.rate_limit,
                source="probe" if from_probe else "response",
                share=self._limit_share(),
            )
            self._apply_rate_limits()

    def _apply_rate_limits(self):
        """Update the views from the limits, and which servers may be used."""
        now = self._clock()
        self._rate_limits.set_share(self._limit_share(), now)
        for instance in self._rate_limits.limited:
            self._apply_rate_limit(instance, now)
        self._group_by_locality()

    def _apply_rate_limit(self, instance, now):
        view = self._views[instance]
        rate = self._rate_limits.rate(
            instance,
            local=view.locality is not placement.Locality.REMOTE,
            now=now,
        )
        view = dataclasses.replace(
            view,
            rate_limit=rate,
            next_send_at=self._rate_limits.next_send_time(
                instance, rate=rate, now=now
            ),
        )
        self._views[instance] = view
        return view

    def _make_report(self, load, view, now):
        self._service_times.record_slowdown(load.slowdown)
        return placement.LoadReport(
            running=load.running,
            queued=load.queued,
            slots=load.slots,
            slowdown=load.slowdown,
            received=now,
            own_in_flight=view.in_flight,
        )


def _has_recent_failures(view):
    return view.consecutive_failures > 0 or view.consecutive_no_response > 1


def _saturated_report(view, now):
    """Return the LoadReport implied by a rejection without one: all busy."""
    return placement.LoadReport(
        running=view.slots,
        queued=1,
        slots=view.slots,
        slowdown=view.report.slowdown if view.report else 1.0,
        received=now,
        own_in_flight=view.in_flight,
    )
