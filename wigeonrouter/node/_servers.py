"""What a node knows of the backend servers of one service.

Asks servers for their load, counts this node's requests at them, and learns
from how attempts ended. Reports from other regions take a round trip of
tens of milliseconds, so they are kept fresh while they are wanted.
"""

import dataclasses
import time

import gevent

from wigeonrouter import placement
from wigeonrouter import topology

# Servers of other regions that are asked before a choice.
PROBES_FAR = 3
_PROBE_TIMEOUT_S = 0.012
# A far server is asked over a new connection at times, which takes a second
# round trip.
_FAR_PROBE_ROUND_TRIPS = 2.2
_FAR_PROBE_MARGIN_S = 0.03
_FAR_ROUND_TRIP_S = 0.042
# While the own region is short of room, this many servers of other regions
# are asked at this interval; interest ends after a time.
_WATCHED_FAR = 6
_FAR_INTERVAL_S = 0.05
_FAR_INTEREST_S = 0.3
# Reports from other regions that are older are not used.
_FAR_FRESH_S = 0.2
_NEAR_ROUND_TRIP_S = 0.0015
# An attempt that ended sooner than this many times the expected time says
# nothing against its server.
_PATIENCE = 2.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Grant:
    """Permission to send one request to one backend server.

    Attributes:
      at: time at which it was given, seconds on the monotonic clock.
      slowness: expected slowness of the server.
      full: whether the server was expected to be nearly full.
      report_age: seconds since its latest report, None where none came.
      worth: expected worth of the answer.
      load: expected requests at the server.
      round_trip: seconds to it and back.
      expected: expected seconds until the answer.
    """

    registration: topology.Registration
    at: float
    slowness: float
    full: bool
    report_age: float | None
    worth: float
    load: float
    round_trip: float
    expected: float


class Servers:
    """Owns the views of the servers of one service.

    Args:
      place: core.Place of this node.
      prober: Prober.
      events: events.EventLog.
    """

    def __init__(self, *, place, prober, events, rng, clock=time.monotonic):
        self._place = place
        self._prober = prober
        self._events = events
        self._rng = rng
        self._clock = clock
        self._health_path = ""
        self._registrations = {}
        self._views = {}
        self._times = placement.ServiceTimes()
        self._far_task = None
        self._far_wanted_until = float("-inf")

    @property
    def times(self):
        """placement.ServiceTimes of the service."""
        return self._times

    @property
    def in_flight(self):
        """Number of this node's requests at the servers."""
        return sum(view.in_flight for view in self._views.values())

    @property
    def any(self):
        """Whether there is any server."""
        return bool(self._views)

    @property
    def near(self):
        """List of the views of the own region."""
        return [
            view
            for view in self._views.values()
            if view.locality is not placement.Locality.REMOTE
        ]

    @property
    def far(self):
        """List of the views of other regions."""
        return [
            view
            for view in self._views.values()
            if view.locality is placement.Locality.REMOTE
        ]

    @property
    def slots(self):
        """Slots of the near servers, of all where none is near."""
        return sum(view.slots for view in self._nearest())

    @property
    def used_share(self):
        """Share of these slots that is expected to be in use."""
        now = self._clock()
        used = sum(
            placement.expected_load(view, now) for view in self._nearest()
        )
        return used / max(1, self.slots)

    def configure(self, *, health_path, known):
        """Take over the servers that may get work.

        Args:
          health_path: path of their health check.
          known: iterable of the directory's Known records of the service.
        """
        self._health_path = health_path
        registrations, views = {}, {}
        for entry in known:
            registration = entry.registration
            if registration.state is topology.RegistrationState.DRAINING:
                continue
            instance = registration.instance
            registrations[instance] = registration
            view = self._views.get(instance)
            before = self._registrations.get(instance)
            if view is None or before.born != registration.born:
                view = self._new_view(registration)
            views[instance] = dataclasses.replace(
                view,
                slots=registration.slots,
                slow_start_until=entry.learned + registration.warm_up,
            )
        self._registrations, self._views = registrations, views

    def misdirected(self, instance):
        """Take over that another server answers at an address."""
        self._registrations.pop(instance, None)
        self._views.pop(instance, None)

    def fresh_far(self):
        """Return the far views with fresh reports, and keep asking them."""
        self._far_wanted_until = self._clock() + _FAR_INTEREST_S
        if self._far_task is None or self._far_task.ready():
            self._far_task = gevent.spawn(self._watch_far)
        now = self._clock()
        return [
            view
            for view in self.far
            if view.report is not None
            and now - view.report.received < _FAR_FRESH_S
        ]

    def ask(self, views, *, far):
        """Ask servers for their load and wait for their answers."""
        timeout = _PROBE_TIMEOUT_S
        if far:
            trip = max((view.round_trip for view in views), default=0.0)
            timeout = _FAR_PROBE_MARGIN_S + _FAR_PROBE_ROUND_TRIPS * trip
        self._prober.ask(
            [
                (self._registrations[view.instance], self._health_path)
                for view in views
                if view.instance in self._registrations
            ],
            timeout=timeout,
            deliver=self._on_probe,
        )

    def grant(self, pick, work):
        """Count a request at the picked server.

        Returns:
          Grant, None where the server has gone meanwhile.
        """
        now = self._clock()
        view = self._views.get(pick.view.instance)
        if view is None:
            return None
        load = placement.expected_load(view, now)
        grant = Grant(
            registration=self._registrations[view.instance],
            at=now,
            slowness=placement.expected_slowdown(
                view, now, self._times.mean_slowdown
            ),
            full=placement.is_nearly_full(load, view.slots),
            report_age=(
                None if view.report is None else now - view.report.received
            ),
            worth=pick.expected_utility,
            load=load,
            round_trip=view.round_trip,
            expected=placement.expected_latency(
                view,
                service_time=work,
                mean_slowdown=self._times.mean_slowdown,
                now=now,
            ),
        )
        self._views[view.instance] = dataclasses.replace(
            view, in_flight=view.in_flight + 1
        )
        return grant

    def release(self, grant, *, route, ended, load, latency, late):
        """Take a request off a server; see Balancer.release()."""
        instance = grant.registration.instance
        view = self._views.get(instance)
        if late and latency < _PATIENCE * grant.expected:
            ended = placement.AttemptOutcome.TIMED_OUT
        if view is not None:
            self._learn(view, ended, load)
        if ended is placement.AttemptOutcome.SUCCEEDED:
            self._times.record_service_time(
                route,
                placement.undisturbed_service_time(
                    latency=latency,
                    round_trip=grant.round_trip,
                    slowdown=grant.slowness,
                    nearly_full=grant.full,
                ),
            )

    def _learn(self, view, ended, load):
        now = self._clock()
        if load is not None:
            # The answered request is still among those reported.
            report = self._report(load, view, now)
            view = dataclasses.replace(view, report=report)
        view = dataclasses.replace(view, in_flight=max(0, view.in_flight - 1))
        if load is None and ended is placement.AttemptOutcome.REJECTED:
            view = dataclasses.replace(view, report=_full_report(view, now))
        self._replace(placement.after_attempt(view, outcome=ended, now=now))

    def _replace(self, view):
        """Take over a view, and note where it changes what gets work."""
        before = self._views[view.instance]
        self._views[view.instance] = view
        if view.ejected_until > before.ejected_until:
            self._events.event(
                "server-paused",
                instance=view.instance,
                failures=view.consecutive_failures,
                silent=view.consecutive_no_response,
                for_ms=round((view.ejected_until - self._clock()) * 1000),
            )
        elif _is_suspect(before) and not _is_suspect(view):
            self._events.event("server-back", instance=view.instance)

    def _nearest(self):
        return self.near or self.far

    def _new_view(self, registration):
        place = registration.place
        if place.failure_domain == self._place.failure_domain:
            locality = placement.Locality.DOMAIN
        elif place.region == self._place.region:
            locality = placement.Locality.REGION
        else:
            locality = placement.Locality.REMOTE
        far = locality is placement.Locality.REMOTE
        return placement.ServerView(
            instance=registration.instance,
            locality=locality,
            slots=registration.slots,
            round_trip=_FAR_ROUND_TRIP_S if far else _NEAR_ROUND_TRIP_S,
        )

    def _watch_far(self):
        """Ask some servers of other regions again and again."""
        while self._clock() < self._far_wanted_until:
            views = self.far
            chosen = self._rng.sample(views, min(len(views), _WATCHED_FAR))
            self.ask(chosen, far=True)
            gevent.sleep(_FAR_INTERVAL_S)

    def _on_probe(self, instance, answer):
        view = self._views.get(instance)
        if view is None:
            return
        now = self._clock()
        if answer is None:
            self._replace(placement.after_no_response(view, now=now))
            return
        if not answer.mine:
            self.misdirected(instance)
            return
        report = None
        if answer.load is not None:
            report = self._report(answer.load, view, now)
        self._replace(
            placement.after_probe(
                view,
                report=report,
                healthy=answer.healthy,
                round_trip=answer.round_trip,
                now=now,
            )
        )

    def _report(self, load, view, now):
        self._times.record_slowdown(load.slowness)
        return placement.LoadReport(
            running=load.running,
            queued=load.queued,
            slots=load.slots,
            slowdown=load.slowness,
            received=now,
            own_in_flight=view.in_flight,
        )


def _is_suspect(view):
    return view.consecutive_failures > 0 or view.consecutive_no_response > 1


def _full_report(view, now):
    """Return the report that a refusal for lack of room stands for."""
    return placement.LoadReport(
        running=view.slots,
        queued=1,
        slots=view.slots,
        slowdown=view.report.slowdown if view.report else 1.0,
        received=now,
        own_in_flight=view.in_flight,
    )
