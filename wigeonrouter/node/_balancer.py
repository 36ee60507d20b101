"""Gives the requests of one service to backend servers.

Applies the decisions of `placement`: asks servers for their load, keeps
waiting requests in order, and learns from how attempts ended.
"""

import dataclasses
import time

import gevent
from gevent import event

from wigeonrouter import core
from wigeonrouter import placement
from wigeonrouter import topology
from wigeonrouter.node import dialect

# A waiting request looks for a server again after this part of its work, even
# when none of ours was released, but not more often than the least time.
_POLL_SHARE = 0.2
_LEAST_POLL_S = 0.012
_MOST_POLL_S = 0.03
# Servers of other regions that are asked before a choice.
_PROBES_FAR = 3
# Time over which the requests of the service are counted.
_ARRIVAL_WINDOW_S = 2.0
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
# Time after which callers should return where no server is known.
_NO_SERVER_RETRY_S = 0.5


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


class Balancer:
    """Owns the servers and the waiting requests of one service."""

    def __init__(
        self,
        *,
        place,
        prober,
        budget,
        rng,
        clock=time.monotonic,
    ):
        self._place = place
        self._prober = prober
        self._budget = budget
        self._rng = rng
        self._clock = clock
        self._health_path = ""
        self._registrations = {}
        self._views = {}
        self._times = placement.WorkTimes()
        self._line = placement.WaitingLine()
        self._late_rate = placement.late_rate()
        self._arrivals = placement.RecentRate(window=_ARRIVAL_WINDOW_S)
        # Those that could still be in time when they came.
        self._timely = placement.RecentRate(window=_ARRIVAL_WINDOW_S)
        self._far_task = None
        self._far_wanted_until = float("-inf")

    @property
    def budget(self):
        """placement.RetryBudget of the service."""
        return self._budget

    @property
    def waiting(self):
        """Number of requests that wait for a server."""
        return len(self._line)

    @property
    def in_flight(self):
        """Number of this node's requests at the servers."""
        return sum(view.in_flight for view in self._views.values())

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
                warm_until=entry.learned + registration.warm_up,
            )
        self._registrations, self._views = registrations, views
        self._wake()

    def acquire(self, job, route):
        """Wait for a server.

        Args:
          job: placement.Job.
          route: topology.Route of the request.
        Returns:
          Grant, which must be released, or dialect.Refused.
        """
        work = self._times.work(route)
        now = self._clock()
        self._arrivals.count(now)
        if not placement.is_late(job, work=work, now=now):
            self._timely.count(now)
        refused = self._turn_away(job, work, now)
        if refused is not None:
            return refused
        poll = min(_MOST_POLL_S, max(_LEAST_POLL_S, _POLL_SHARE * work))
        entry = event.Event()
        self._line.add(entry, job, work)
        try:
            while True:
                grant = None
                if entry in self._line.head(self._clock()):
                    grant = self._try_place(job, work)
                if grant is not None:
                    now = self._clock()
                    if placement.is_late(job, work=work, now=now):
                        self._late_rate.count(now)
                    return grant
                entry.wait(timeout=poll)
                entry.clear()
                refused = self._give_up(job, work, self._clock())
                if refused is not None:
                    return refused
        finally:
            self._line.remove(entry)
            self._wake()

    def release(self, grant, *, route, ended, load, latency, late=False):
        """Give a slot back and learn from how the attempt ended.

        Args:
          grant: Grant.
          route: topology.Route of the request.
          ended: placement.Ended.
          load: dialect.Load of the answer, or None.
          latency: seconds from sending to the end.
          late: whether it ended because no time was left.
        """
        instance = grant.registration.instance
        view = self._views.get(instance)
        if late and latency < _PATIENCE * grant.expected:
            ended = placement.Ended.LATE
        if view is not None:
            now = self._clock()
            if load is not None:
                # The answered request is still among those reported.
                view = dataclasses.replace(
                    view, report=self._report(load, view, now)
                )
            view = dataclasses.replace(
                view, in_flight=max(0, view.in_flight - 1)
            )
            if load is None and ended is placement.Ended.REFUSED:
                view = dataclasses.replace(
                    view, report=_full_report(view, now)
                )
            self._views[instance] = placement.after_answer(
                view, ended=ended, now=now
            )
        if ended is placement.Ended.ANSWERED:
            self._times.learn_work(
                route,
                placement.normal_work(
                    latency=latency,
                    round_trip=grant.round_trip,
                    slowness=grant.slowness,
                    full=grant.full,
                ),
            )
        self._wake()

    def misdirected(self, instance):
        """Take over that another server answers at an address."""
        self._registrations.pop(instance, None)
        self._views.pop(instance, None)

    def _new_view(self, registration):
        place = registration.place
        if place.failure_domain == self._place.failure_domain:
            tier = placement.Tier.DOMAIN
        elif place.region == self._place.region:
            tier = placement.Tier.REGION
        else:
            tier = placement.Tier.REMOTE
        far = tier is placement.Tier.REMOTE
        return placement.ServerView(
            instance=registration.instance,
            tier=tier,
            slots=registration.slots,
            round_trip=_FAR_ROUND_TRIP_S if far else _NEAR_ROUND_TRIP_S,
        )

    def _near(self):
        return [
            view
            for view in self._views.values()
            if view.tier is not placement.Tier.REMOTE
        ]

    def _far(self):
        return [
            view
            for view in self._views.values()
            if view.tier is placement.Tier.REMOTE
        ]

    def _turn_away(self, job, work, now):
        if not self._views:
            return dialect.Refused(
                problem=core.problems.NO_SERVER,
                retry_after=_NO_SERVER_RETRY_S * self._rng.uniform(0.5, 1.5),
            )
        wait = placement.expected_wait(
            ahead=self._line.ahead(job, work, now),
            work=work,
            slowness=self._times.slowness,
            slots=self._near_slots(),
        )
        if placement.turn_away(job, wait=wait, work=work, now=now):
            return self._overloaded(job, wait, work, now)
        return self._turn_late_away(job, work, now)

    def _turn_late_away(self, job, work, now):
        if not placement.is_late(job, work=work, now=now):
            return None
        spare = placement.spare_rate(
            slots=self._near_slots(),
            work=work,
            slowness=self._times.slowness,
            arrivals=self._timely.per_second(now),
        )
        wait = placement.late_wait(
            ahead=self._line.count_late(now),
            rate=max(spare, self._late_rate.per_second(now)),
        )
        if placement.turn_late_away(job, wait=wait, now=now):
            return self._overloaded(job, wait, work, now)
        return None

    def _give_up(self, job, work, now):
        """Return the refusal of a request that waited in vain, if it did."""
        if placement.turn_away(job, wait=0.0, work=work, now=now):
            return self._overloaded(job, work, work, now)
        if now - job.target + work < 2 * _MOST_POLL_S:
            # It has just become late; from now on it waits with the others.
            return self._turn_late_away(job, work, now)
        return None

    def _overloaded(self, job, wait, work, now):
        return dialect.Refused(
            problem=core.problems.DEADLINE_TOO_SHORT,
            retry_after=placement.retry_after(wait=wait, rng=self._rng),
            detail=(
                f"expected wait {wait * 1000:.0f} ms, work"
                f" {work * 1000:.0f} ms, left {(job.give_up - now) * 1000:.0f}"
                f" ms, {(job.target - now) * 1000:.0f} ms to the target,"
                f" {len(self._line)} waiting"
            ),
        )

    def _near_slots(self):
        return sum(view.slots for view in self._nearest())

    def _nearest(self):
        return self._near() or self._far()

    def _pressure(self):
        """Return the share of the slots in use, 1 where requests wait.

        Only waiting requests that can still be in time count.
        """
        now = self._clock()
        if len(self._line) - self._line.count_late(now) > 1:
            return 1.0
        used = sum(
            placement.expected_load(view, now) for view in self._nearest()
        )
        return used / max(1, self._near_slots())

    def _try_place(self, job, work):
        """Look for a server once; may ask servers for their load."""
        most = placement.probe_count(self._arrivals.per_second(self._clock()))
        pick = self._look(job, work, self._near, most, far=False)
        if pick.view is not None and not pick.wait:
            return self._grant(pick, work)
        far = self._look_far(job, work)
        now = self._clock()
        if far.view is not None:
            waiting = placement.worth_of_waiting(
                job=job,
                work=work,
                usual=self._times.slowness,
                now=now,
                ahead=self._line.ahead(job, work, now) - 1,
                slots=self._near_slots(),
            )
            if far.worth > max(pick.worth, waiting):
                return self._grant(far, work)
        late = placement.is_late(job, work=work, now=now)
        if pick.view is not None and late:
            return self._grant(pick, work)
        return None

    def _look_far(self, job, work):
        """Look for a server in another region.

        Asking there takes long, so that reports are kept fresh by a task
        while the own region is short of room.
        """
        if not self._far():
            return placement.Pick(view=None)
        if not self._near():
            return self._look(job, work, self._far, _PROBES_FAR, far=True)
        self._far_wanted_until = self._clock() + _FAR_INTEREST_S
        if self._far_task is None or self._far_task.ready():
            self._far_task = gevent.spawn(self._watch_far)
        now = self._clock()
        known = [
            view
            for view in self._far()
            if view.report is not None
            and now - view.report.received < _FAR_FRESH_S
        ]
        return placement.choose(
            known,
            job=job,
            work=work,
            usual=self._times.slowness,
            now=now,
            pressure=1.0,
        )

    def _watch_far(self):
        """Ask some servers of other regions again and again."""
        while self._clock() < self._far_wanted_until:
            views = self._far()
            chosen = self._rng.sample(views, min(len(views), _WATCHED_FAR))
            self._ask(chosen, far=True)
            gevent.sleep(_FAR_INTERVAL_S)

    def _look(self, job, work, views, most, *, far):
        candidates = placement.probe_candidates(
            views(),
            job=job,
            work=work,
            usual=self._times.slowness,
            now=self._clock(),
            most=most,
        )
        if candidates:
            self._ask(candidates, far=far)
        return placement.choose(
            views(),
            job=job,
            work=work,
            usual=self._times.slowness,
            now=self._clock(),
            pressure=self._pressure(),
        )

    def _ask(self, views, *, far):
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

    def _on_probe(self, instance, answer):
        view = self._views.get(instance)
        if view is None:
            return
        now = self._clock()
        if answer is None:
            self._views[instance] = placement.after_silence(view, now=now)
            return
        if not answer.mine:
            self.misdirected(instance)
            return
        report = None
        if answer.load is not None:
            report = self._report(answer.load, view, now)
        self._views[instance] = placement.after_probe(
            view,
            report=report,
            healthy=answer.healthy,
            round_trip=answer.round_trip,
            now=now,
        )

    def _report(self, load, view, now):
        self._times.learn_slowness(load.slowness)
        return placement.LoadReport(
            running=load.running,
            queued=load.queued,
            slots=load.slots,
            slowness=load.slowness,
            received=now,
            own=view.in_flight,
        )

    def _grant(self, pick, work):
        now = self._clock()
        view = self._views.get(pick.view.instance)
        if view is None:
            return None
        load = placement.expected_load(view, now)
        grant = Grant(
            registration=self._registrations[view.instance],
            at=now,
            slowness=placement.expected_slowness(
                view, now, self._times.slowness
            ),
            full=placement.is_full(load, view.slots),
            report_age=(
                None if view.report is None else now - view.report.received
            ),
            worth=pick.worth,
            load=load,
            round_trip=view.round_trip,
            expected=placement.expected_seconds(
                view, work=work, usual=self._times.slowness, now=now
            ),
        )
        self._views[view.instance] = dataclasses.replace(
            view, in_flight=view.in_flight + 1
        )
        return grant

    def _wake(self):
        for entry in self._line.head(self._clock()):
            entry.set()


def _full_report(view, now):
    """Return the report that a refusal for lack of room stands for."""
    return placement.LoadReport(
        running=view.slots,
        queued=1,
        slots=view.slots,
        slowness=view.report.slowness if view.report else 1.0,
        received=now,
        own=view.in_flight,
    )
