"""Gives the requests of one service to backend servers.

Applies the decisions of `placement`: asks servers for their load, keeps
waiting requests in order, and turns away what cannot be served.
"""

import time

from gevent import event

from wigeonrouter import core
from wigeonrouter import placement
from wigeonrouter.node import _servers
from wigeonrouter.node import dialect

# A waiting request looks for a server again after this part of its work, even
# when none of ours was released, but not more often than the least time.
_POLL_SHARE = 0.2
_LEAST_POLL_S = 0.012
_MOST_POLL_S = 0.03
# Time over which the requests of the service are counted.
_ARRIVAL_WINDOW_S = 2.0
# Time after which callers should return where no server is known.
_NO_SERVER_RETRY_S = 0.5


class Balancer:
    """Owns the waiting requests of one service.

    Args:
      servers: Servers of the service.
      budget: placement.RetryBudget.
    """

    def __init__(self, *, servers, budget, rng, clock=time.monotonic):
        self._servers = servers
        self._budget = budget
        self._rng = rng
        self._clock = clock
        self._line = placement.RequestQueue()
        self._late_rate = placement.late_dispatch_rate()
        self._arrivals = placement.SlidingWindowRate(window=_ARRIVAL_WINDOW_S)
        # Those that could still be in time when they came.
        self._timely = placement.SlidingWindowRate(window=_ARRIVAL_WINDOW_S)

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
        return self._servers.in_flight

    def configure(self, *, health_path, known):
        """Take over the servers that may get work; see Servers."""
        self._servers.configure(health_path=health_path, known=known)
        self._wake()

    def acquire(self, job, route):
        """Wait for a server.

        Args:
          job: placement.PendingRequest.
          route: topology.Route of the request.
        Returns:
          Grant, which must be released, or dialect.Refused.
        """
        work = self._servers.times.service_time(route)
        now = self._clock()
        self._arrivals.record(now)
        if not placement.is_late(job, service_time=work, now=now):
            self._timely.record(now)
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
                    if placement.is_late(job, service_time=work, now=now):
                        self._late_rate.record(now)
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
          ended: placement.AttemptOutcome.
          load: dialect.Load of the answer, or None.
          latency: seconds from sending to the end.
          late: whether it ended because no time was left.
        """
        self._servers.release(
            grant,
            route=route,
            ended=ended,
            load=load,
            latency=latency,
            late=late,
        )
        self._wake()

    def misdirected(self, instance):
        """Take over that another server answers at an address."""
        self._servers.misdirected(instance)

    def _turn_away(self, job, work, now):
        if not self._servers.any:
            return self._no_server()
        wait = placement.expected_wait(
            ahead=self._line.count_ahead(job, work, now),
            service_time=work,
            slowdown=self._servers.times.mean_slowdown,
            slots=self._servers.slots,
        )
        if placement.should_reject(job, wait=wait, service_time=work, now=now):
            return self._overloaded(job, wait, work, now)
        return self._turn_late_away(job, work, now)

    def _turn_late_away(self, job, work, now):
        if not placement.is_late(job, service_time=work, now=now):
            return None
        spare = placement.spare_throughput(
            slots=self._servers.slots,
            service_time=work,
            slowdown=self._servers.times.mean_slowdown,
            arrival_rate=self._timely.per_second(now),
        )
        wait = placement.expected_late_wait(
            ahead=self._line.count_late(now),
            rate=max(spare, self._late_rate.per_second(now)),
        )
        if placement.should_reject_late(job, wait=wait, now=now):
            return self._overloaded(job, wait, work, now)
        return None

    def _give_up(self, job, work, now):
        """Return the refusal of a request that waited in vain, if it did."""
        if not self._servers.any:
            return self._no_server()
        if placement.should_reject(job, wait=0.0, service_time=work, now=now):
            return self._overloaded(job, work, work, now)
        if now - job.target_time + work < 2 * _MOST_POLL_S:
            # It has just become late; from now on it waits with the others.
            return self._turn_late_away(job, work, now)
        return None

    def _no_server(self):
        return dialect.Refused(
            problem=core.problems.NO_SERVER,
            retry_after=_NO_SERVER_RETRY_S * self._rng.uniform(0.5, 1.5),
        )

    def _overloaded(self, job, wait, work, now):
        return dialect.Refused(
            problem=core.problems.DEADLINE_TOO_SHORT,
            retry_after=placement.retry_after(wait=wait, rng=self._rng),
            detail=(
                f"expected wait {wait * 1000:.0f} ms, work"
                f" {work * 1000:.0f} ms,"
                f" left {(job.deadline - now) * 1000:.0f}"
                f" ms, {(job.target_time - now) * 1000:.0f} ms to the target,"
                f" {len(self._line)} waiting"
            ),
        )

    def _pressure(self):
        """Return the share of the slots in use, 1 where requests wait.

        Only waiting requests that can still be in time count.
        """
        if len(self._line) - self._line.count_late(self._clock()) > 1:
            return 1.0
        return self._servers.used_share

    def _try_place(self, job, work):
        """Look for a server once; may ask servers for their load."""
        most = placement.probe_count(self._arrivals.per_second(self._clock()))
        pick = self._look(job, work, most, far=False)
        if pick.view is not None and not pick.should_wait:
            return self._servers.grant(pick, work)
        far = self._look_far(job, work)
        now = self._clock()
        if far.view is not None:
            waiting = placement.utility_of_waiting(
                request=job,
                service_time=work,
                mean_slowdown=self._servers.times.mean_slowdown,
                now=now,
                ahead=self._line.count_ahead(job, work, now) - 1,
                slots=self._servers.slots,
            )
            if far.expected_utility > max(pick.expected_utility, waiting):
                return self._servers.grant(far, work)
        late = placement.is_late(job, service_time=work, now=now)
        if pick.view is not None and late:
            return self._servers.grant(pick, work)
        return None

    def _look_far(self, job, work):
        """Look for a server in another region.

        Asking there takes long, so that reports are kept fresh by a task
        while the own region is short of room.
        """
        if not self._servers.far:
            return placement.Pick(view=None)
        if not self._servers.near:
            return self._look(job, work, _servers.PROBES_FAR, far=True)
        return placement.choose(
            self._servers.fresh_far(),
            request=job,
            service_time=work,
            mean_slowdown=self._servers.times.mean_slowdown,
            now=self._clock(),
            utilization=1.0,
        )

    def _look(self, job, work, most, *, far):
        """Ask some servers, and choose among all near or all far ones."""
        servers = self._servers
        candidates = placement.probe_candidates(
            servers.far if far else servers.near,
            request=job,
            service_time=work,
            mean_slowdown=servers.times.mean_slowdown,
            now=self._clock(),
            max_servers=most,
        )
        if candidates:
            servers.ask(candidates, far=far)
        return placement.choose(
            servers.far if far else servers.near,
            request=job,
            service_time=work,
            mean_slowdown=servers.times.mean_slowdown,
            now=self._clock(),
            utilization=self._pressure(),
        )

    def _wake(self):
        for entry in self._line.head(self._clock()):
            entry.set()
