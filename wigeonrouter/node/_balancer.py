"""Gives the requests of one service to backend servers.

Applies the decisions of `placement`: asks servers for their load, keeps
waiting requests in order, and turns away what cannot be served.
"""

import time

from gevent import event

from wigeonrouter import core
from wigeonrouter import placement
from wigeonrouter.node import _server_pool
from wigeonrouter.node import messages

# A waiting request looks for a server again after this part of its work, even
# when none of ours was released, but not more often than the least time.
_POLL_SHARE = 0.2
_MIN_POLL_S = 0.012
_MAX_POLL_S = 0.03
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
        self._server_pool = servers
        self._budget = budget
        self._rng = rng
        self._clock = clock
        self._queue = placement.WaitingLine()
        self._late_rate = placement.late_rate()
        self._arrivals = placement.RecentRate(window=_ARRIVAL_WINDOW_S)
        # Those that could still be in time when they came.
        self._on_time_arrivals = placement.RecentRate(window=_ARRIVAL_WINDOW_S)

    @property
    def budget(self):
        """placement.RetryBudget of the service."""
        return self._budget

    @property
    def queue_length(self):
        """Number of requests that wait for a server."""
        return len(self._queue)

    @property
    def in_flight(self):
        """Number of this node's requests at the servers."""
        return self._server_pool.in_flight

    def configure(self, *, health_path, known):
        """Take over the servers that may get work; see Servers."""
        self._server_pool.configure(health_path=health_path, known=known)
        self._wake_head()

    def acquire(self, job, route):
        """Wait for a server.

        Args:
          job: placement.Job.
          route: topology.Route of the request.
        Returns:
          Grant, which must be released, or dialect.Refused.
        """
        work = self._server_pool.times.work(route)
        now = self._clock()
        self._arrivals.count(now)
        if not placement.is_late(job, work=work, now=now):
            self._on_time_arrivals.count(now)
        rejection = self._check_admission(job, work, now)
        if rejection is not None:
            return rejection
        poll = min(_MAX_POLL_S, max(_MIN_POLL_S, _POLL_SHARE * work))
        waiter = event.Event()
        self._queue.add(waiter, job, work)
        try:
            while True:
                grant = None
                if waiter in self._queue.head(self._clock()):
                    grant = self._try_grant(job, work)
                if grant is not None:
                    now = self._clock()
                    if placement.is_late(job, work=work, now=now):
                        self._late_rate.count(now)
                    return grant
                waiter.wait(timeout=poll)
                waiter.clear()
                rejection = self._check_still_admissible(
                    job, work, self._clock()
                )
                if rejection is not None:
                    return rejection
        finally:
            self._queue.remove(waiter)
            self._wake_head()

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
        self._server_pool.release(
            grant,
            route=route,
            ended=ended,
            load=load,
            latency=latency,
            late=late,
        )
        self._wake_head()

    def misdirected(self, instance):
        """Take over that another server answers at an address."""
        self._server_pool.misdirected(instance)

    def _check_admission(self, job, work, now):
        if not self._server_pool.has_servers:
            return self._reject_no_server()
        wait = placement.expected_wait(
            ahead=self._queue.ahead(job, work, now),
            work=work,
            slowness=self._server_pool.times.slowness,
            slots=self._server_pool.slots,
        )
        if placement.turn_away(job, wait=wait, work=work, now=now):
            return self._reject_overload(job, wait, work, now)
        return self._check_late_admission(job, work, now)

    def _check_late_admission(self, job, work, now):
        if not placement.is_late(job, work=work, now=now):
            return None
        spare = placement.spare_rate(
            slots=self._server_pool.slots,
            work=work,
            slowness=self._server_pool.times.slowness,
            arrivals=self._on_time_arrivals.per_second(now),
        )
        wait = placement.late_wait(
            ahead=self._queue.count_late(now),
            rate=max(spare, self._late_rate.per_second(now)),
        )
        if placement.turn_late_away(job, wait=wait, now=now):
            return self._reject_overload(job, wait, work, now)
        return None

    def _check_still_admissible(self, job, work, now):
        """Return the refusal of a request that waited in vain, if it did."""
        if not self._server_pool.has_servers:
            return self._reject_no_server()
        if placement.turn_away(job, wait=0.0, work=work, now=now):
            return self._reject_overload(job, work, work, now)
        if now - job.target + work < 2 * _MAX_POLL_S:
            # It has just become late; from now on it waits with the others.
            return self._check_late_admission(job, work, now)
        return None

    def _reject_no_server(self):
        return messages.Rejection(
            problem=core.problems.NO_SERVER,
            retry_after=_NO_SERVER_RETRY_S * self._rng.uniform(0.5, 1.5),
        )

    def _reject_overload(self, job, wait, work, now):
        return messages.Rejection(
            problem=core.problems.DEADLINE_TOO_SHORT,
            retry_after=placement.retry_after(wait=wait, rng=self._rng),
            detail=(
                f"expected wait {wait * 1000:.0f} ms, work"
                f" {work * 1000:.0f} ms, left {(job.give_up - now) * 1000:.0f}"
                f" ms, {(job.target - now) * 1000:.0f} ms to the target,"
                f" {len(self._queue)} waiting"
            ),
        )

    def _local_pressure(self):
        """Return the share of the slots in use, 1 where requests wait.

        Only waiting requests that can still be in time count.
        """
        if len(self._queue) - self._queue.count_late(self._clock()) > 1:
            return 1.0
        return self._server_pool.utilization

    def _try_grant(self, job, work):
        """Look for a server once; may ask servers for their load."""
        max_probes = placement.probe_count(
            self._arrivals.per_second(self._clock())
        )
        pick = self._probe_and_choose(job, work, max_probes, remote=False)
        if pick.view is not None and not pick.wait:
            return self._server_pool.grant(pick, work)
        remote = self._choose_remote(job, work)
        now = self._clock()
        if remote.view is not None:
            waiting = placement.worth_of_waiting(
                job=job,
                work=work,
                usual=self._server_pool.times.slowness,
                now=now,
                ahead=self._queue.ahead(job, work, now) - 1,
                slots=self._server_pool.slots,
            )
            if remote.worth > max(pick.worth, waiting):
                return self._server_pool.grant(remote, work)
        late = placement.is_late(job, work=work, now=now)
        if pick.view is not None and late:
            return self._server_pool.grant(pick, work)
        return None

    def _choose_remote(self, job, work):
        """Look for a server in another region.

        Asking there takes long, so that reports are kept fresh by a task
        while the own region is short of room.
        """
        if not self._server_pool.remote:
            return placement.Pick(view=None)
        if not self._server_pool.local:
            return self._probe_and_choose(
                job, work, _server_pool.REMOTE_PROBES, remote=True
            )
        return placement.choose(
            self._server_pool.remote_with_fresh_reports(),
            job=job,
            work=work,
            usual=self._server_pool.times.slowness,
            now=self._clock(),
            pressure=1.0,
        )

    def _probe_and_choose(self, job, work, max_probes, *, remote):
        """Ask some servers, and choose among all near or all far ones."""
        servers = self._server_pool
        candidates = placement.probe_candidates(
            servers.remote if remote else servers.local,
            job=job,
            work=work,
            usual=servers.times.slowness,
            now=self._clock(),
            most=max_probes,
        )
        if candidates:
            servers.probe(candidates, remote=remote)
        return placement.choose(
            servers.remote if remote else servers.local,
            job=job,
            work=work,
            usual=servers.times.slowness,
            now=self._clock(),
            pressure=self._local_pressure(),
        )

    def _wake_head(self):
        for waiter in self._queue.head(self._clock()):
            waiter.set()
