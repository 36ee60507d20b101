"""A node's view of the backend servers of one service.

Probes servers for their load, counts this node's requests in flight and
updates its estimates from the outcome of each attempt.
"""

import collections
import dataclasses
import time

import gevent

from wigeonrouter import placement
from wigeonrouter.node import _grant
from wigeonrouter.node import _misdirected_servers
from wigeonrouter.node import _remote_polling
from wigeonrouter.node import _server_capacity
from wigeonrouter.node import _server_views

_LOCAL_PROBE_TIMEOUT_S = 0.012
# Timeout of a remote probe, in round trips. A probe may need a new connection,
# which takes a second round trip.
_REMOTE_PROBE_ROUND_TRIPS = 2.2
_REMOTE_PROBE_MARGIN_S = 0.03
# Timeout of the health check without which a server gets no request. The
# caller of probe() does not wait for as long.
_CHECK_TIMEOUT_S = 0.1
# Timeout of the checks of servers that another one answers for, which no
# request waits for.
_MISDIRECTED_CHECK_TIMEOUT_S = 0.25
# A timeout before this multiple of the expected latency does not count as a
# failure of the server: the request had too little time left.
_EARLY_TIMEOUT_FACTOR = 2.0
# Outcomes after which it is open whether the server can be reached.
_WITHOUT_RESPONSE = (
    placement.AttemptOutcome.UNREACHABLE,
    placement.AttemptOutcome.RESPONSE_LOST,
)


class ServerPool:
    """Owns the ServerViews of one service.

    Args:
      place: core.Place of this node.
      prober: Prober.
      link_monitor: LinkMonitor, which is told which servers respond.
      events: events.EventLog.
      limit_share: function that returns the share of the servers' rate limits
        that this node may use, from 0 to 1.
    """

    def __init__(
        self,
        *,
        place,
        prober,
        link_monitor,
        events,
        rng,
        limit_share,
        clock=time.monotonic,
    ):
        self._prober = prober
        self._events = events
        self._link_monitor = link_monitor
        self._clock = clock
        self._health_path = ""
        self._views = _server_views.ServerViews(
            place=place, events=events, limit_share=limit_share, clock=clock
        )
        self._misdirected = _misdirected_servers.MisdirectedServers(
            views=self._views,
            events=events,
            check=self._check_misdirected,
            clock=clock,
        )
        self._service_times = placement.ServiceTimes()
        self._remote_polling = _remote_polling.RemotePolling(
            views=self._views, probe=self.probe, rng=rng, clock=clock
        )
        self._requests_by_locality = collections.Counter()

    @property
    def requests_by_locality(self):
        """Dict from placement.Locality to the number of requests sent."""
        return self._requests_by_locality

    @property
    def views(self):
        """ServerViews of the service."""
        return self._views

    @property
    def remote_polling(self):
        """RemotePolling of the servers in other regions."""
        return self._remote_polling

    @property
    def service_times(self):
        """placement.ServiceTimes of the service."""
        return self._service_times

    @property
    def in_flight(self):
        """Number of this node's requests in flight at the servers."""
        return sum(view.in_flight for view in self._views.all)

    def usable_slots(self, service_time):
        """Return the slots of the preferred servers that can be kept busy.

        Args:
          service_time: undisturbed service time, seconds.
        """
        return _server_capacity.usable_slots(
            self._preferred(),
            service_time=service_time,
            mean_slowdown=self._service_times.mean_slowdown,
        )

    @property
    def limited_throughput(self):
        """Requests per second that rate limits allow, None without limits.

        Without limits means that any preferred server has none.
        """
        if not self._views.limited_count:
            return None
        return _server_capacity.limited_throughput(self._preferred())

    @property
    def utilization(self):
        """Expected load of the servers that are preferred, per slot."""
        return _server_capacity.utilization(self._preferred(), self._clock())

    def configure(
        self, *, health_path, registered, slow_start=placement.NO_SLOW_START
    ):
        """Update the set of servers; see ServerViews.configure().

        Args:
          health_path: path of their health check.
          registered: iterable of topology.KnownServer of the service.
          slow_start: placement.SlowStartRule of the service.
        """
        self._health_path = health_path
        self._views.configure(registered, slow_start)
        self._misdirected.configure()

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
        now = self._clock()
        unchecked, others = [], []
        for view in self._views.latest(views):
            is_unchecked = view.check_due <= now
            (unchecked if is_unchecked else others).append(view.instance)
        check = None
        if unchecked:
            check = gevent.spawn(
                self._probe, unchecked, max(timeout, _CHECK_TIMEOUT_S)
            )
        self._probe(others, timeout)
        if check is not None:
            check.join(timeout=max(0.0, now + timeout - self._clock()))

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
        view = self._views.find_sendable(pick.view.instance)
        if view is None:
            return None
        load = placement.expected_load(view, now)
        grant = _grant.Grant(
            registration=self._views.registration(view.instance),
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
        self._views.record_sent(view)
        self._requests_by_locality[view.locality] += 1
        self._misdirected.on_sent(grant.registration)
        return grant

    def release(
        self,
        grant,
        *,
        route,
        outcome,
        metadata,
        latency,
        timed_out,
        disconnected=False,
    ):
        """Record the end of an attempt; see Balancer.release()."""
        instance = grant.registration.instance
        own = metadata is not None and metadata.may_be_from(instance)
        if own:
            self._views.record_statements(grant.registration, metadata)
            self._views.record_rate_limit(instance, metadata, from_probe=False)
        if metadata is not None:
            self._misdirected.on_response(grant.registration, metadata)
        self._notify_link_monitor(instance, outcome)
        view = self._views.get(instance)
        if (
            timed_out
            and latency < _EARLY_TIMEOUT_FACTOR * grant.expected_latency
        ):
            outcome = placement.AttemptOutcome.TIMED_OUT
        now = self._clock()
        if view is not None and placement.is_full_loss(
            view,
            outcome=outcome,
            disconnected=disconnected,
            timed_out=timed_out,
            latency=latency,
            expected_latency=grant.expected_latency,
            now=now,
        ):
            self._record_full_loss(view, now)
        elif view is not None:
            self._update_view(view, outcome, metadata if own else None)
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

    def forget_failures(self):
        """Forget what looked like failures, since this node was cut off."""
        for view in list(self._views.all):
            self._views.replace(placement.after_cut(view))

    def _notify_link_monitor(self, instance, outcome):
        if outcome in _WITHOUT_RESPONSE:
            self._link_monitor.on_no_response(instance)
        elif outcome is not placement.AttemptOutcome.CANCELLED:
            self._link_monitor.on_response()

    def _record_full_loss(self, view, now):
        limited = placement.after_full_loss(view, now=now)
        self._views.replace(limited)
        self._events.event(
            "server-dropped-request",
            instance=view.instance,
            expected_load=round(placement.expected_load(view, now), 1),
            load_limit=round(limited.load_limit, 1),
        )

    def _update_view(self, view, outcome, metadata):
        """Update a view after an attempt.

        A failure counts whichever server at the address has responded, since
        the next request would meet the same one.

        Args:
          metadata: messages.ResponseMetadata, None if the server itself has
            not responded.
        """
        now = self._clock()
        load = metadata.load if metadata is not None else None
        if load is not None:
            # The report still counts the finished request, so it is recorded
            # before `in_flight` is decremented.
            report = self._make_report(load, view, now)
            view = dataclasses.replace(view, report=report)
        view = dataclasses.replace(view, in_flight=max(0, view.in_flight - 1))
        rejected = outcome is placement.AttemptOutcome.REJECTED
        if rejected and metadata is not None and load is None:
            view = dataclasses.replace(
                view, report=placement.saturated_report(view, now)
            )
        self._views.replace(
            placement.after_attempt(view, outcome=outcome, now=now)
        )

    def _preferred(self):
        """Return the servers that the requests are expected to use.

        These are the local ones. The remote ones belong to them if each local
        one has a rate limit, or if none is local. Servers that have asked for
        a pause do not belong to them.
        """
        now = self._clock()
        local = _server_capacity.without_paused(self._views.local, now)
        if any(view.rate_limit is None for view in local):
            return local
        return local + _server_capacity.without_paused(self._views.remote, now)

    def _probe(self, instances, timeout):
        self._prober.probe(
            [
                (self._views.registration(instance), self._health_path)
                for instance in instances
            ],
            timeout=timeout,
            deliver=self._on_probe,
        )

    def _check_misdirected(self, instances):
        """Check servers that another one answers for, unless evacuated."""
        self._probe(
            [
                instance
                for instance in instances
                if not self._views.get(instance).evacuated
            ],
            _MISDIRECTED_CHECK_TIMEOUT_S,
        )

    def _on_probe(self, instance, result):
        if result is None:
            self._link_monitor.on_no_response(instance)
        else:
            self._link_monitor.on_response()
        if (
            result is not None
            and result.instance_matches
            and self._views.get(instance) is not None
        ):
            self._views.record_health(
                self._views.registration(instance), result.metadata
            )
        view = self._views.get(instance)
        if view is None:
            return
        now = self._clock()
        if result is None:
            self._views.replace(placement.after_no_response(view, now=now))
            return
        if not result.instance_matches:
            self._misdirected.on_other(self._views.registration(instance))
            return
        if result.metadata.instance:
            self._misdirected.on_own(self._views.registration(instance))
            view = self._views.get(instance)
        report = None
        if result.metadata.load is not None:
            report = self._make_report(result.metadata.load, view, now)
        self._views.replace(
            placement.after_probe(
                view,
                report=report,
                healthy=result.healthy,
                round_trip=result.round_trip,
                now=now,
            )
        )

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
