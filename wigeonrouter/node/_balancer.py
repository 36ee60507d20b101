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
        self._queue = placement.RequestQueue()
        self._late_rate = placement.late_dispatch_rate()
        self._arrivals = placement.SlidingWindowRate(window=_ARRIVAL_WINDOW_S)
        # Those that could still be in time when they came.
        self._on_time_arrivals = placement.SlidingWindowRate(
            window=_ARRIVAL_WINDOW_S
        )

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

    def acquire(self, request, route):
        """Wait for a server.

        Args:
          job: placement.PendingRequest.
          route: topology.Route of the request.
        Returns:
          Grant, which must be released, or dialect.Refused.
        """
        service_time = self._server_pool.times.service_time(route)
        now = self._clock()
        self._arrivals.record(now)
        if not placement.is_late(request, service_time=service_time, now=now):
            self._on_time_arrivals.record(now)
        rejection = self._check_admission(request, service_time, now)
        if rejection is not None:
            return rejection
        poll = min(_MAX_POLL_S, max(_MIN_POLL_S, _POLL_SHARE * service_time))
        waiter = event.Event()
        self._queue.add(waiter, request, service_time)
        try:
            while True:
                grant = None
                if waiter in self._queue.head(self._clock()):
                    grant = self._try_grant(request, service_time)
                if grant is not None:
                    now = self._clock()
                    if placement.is_late(
                        request, service_time=service_time, now=now
                    ):
                        self._late_rate.record(now)
                    return grant
                waiter.wait(timeout=poll)
                waiter.clear()
                rejection = self._check_still_admissible(
                    request, service_time, self._clock()
                )
                if rejection is not None:
                    return rejection
        finally:
            self._queue.remove(waiter)
            self._wake_head()

    def release(
        self, grant, *, route, outcome, load, latency, timed_out=False
    ):
        """Give a slot back and learn from how the attempt ended.

        Args:
          grant: Grant.
          route: topology.Route of the request.
          ended: placement.AttemptOutcome.
          load: dialect.Load of the answer, or None.
          latency: seconds from sending to the end.
          late: whether it ended because no time was left.
        """
        self._server_pool.release(
            grant,
            route=route,
            outcome=outcome,
            load=load,
            latency=latency,
            timed_out=timed_out,
        )
        self._wake_head()

    def misdirected(self, instance):
        """Take over that another server answers at an address."""
        self._server_pool.misdirected(instance)

    def _check_admission(self, request, service_time, now):
        if not self._server_pool.has_servers:
            return self._reject_no_server()
        wait = placement.expected_wait(
            ahead=self._queue.count_ahead(request, service_time, now),
            service_time=service_time,
            slowdown=self._server_pool.times.mean_slowdown,
            slots=self._server_pool.slots,
        )
        if placement.should_reject(
            request, wait=wait, service_time=service_time, now=now
        ):
            return self._reject_overload(request, wait, service_time, now)
        return self._check_late_admission(request, service_time, now)

    def _check_late_admission(self, request, service_time, now):
        if not placement.is_late(request, service_time=service_time, now=now):
            return None
        spare = placement.spare_throughput(
            slots=self._server_pool.slots,
            service_time=service_time,
            slowdown=self._server_pool.times.mean_slowdown,
            arrival_rate=self._on_time_arrivals.per_second(now),
        )
        wait = placement.expected_late_wait(
            ahead=self._queue.count_late(now),
            rate=max(spare, self._late_rate.per_second(now)),
        )
        if placement.should_reject_late(request, wait=wait, now=now):
            return self._reject_overload(request, wait, service_time, now)
        return None

    def _check_still_admissible(self, request, service_time, now):
        """Return the refusal of a request that waited in vain, if it did."""
        if not self._server_pool.has_servers:
            return self._reject_no_server()
        if placement.should_reject(
            request, wait=0.0, service_time=service_time, now=now
        ):
            return self._reject_overload(
                request, service_time, service_time, now
            )
        if now - request.target_time + service_time < 2 * _MAX_POLL_S:
            # It has just become late; from now on it waits with the others.
            return self._check_late_admission(request, service_time, now)
        return None

    def _reject_no_server(self):
        return messages.Rejection(
            problem=core.problems.NO_SERVER,
            retry_after=_NO_SERVER_RETRY_S * self._rng.uniform(0.5, 1.5),
        )

    def _reject_overload(self, request, wait, service_time, now):
        return messages.Rejection(
            problem=core.problems.DEADLINE_TOO_SHORT,
            retry_after=placement.retry_after(wait=wait, rng=self._rng),
            detail=(
                f"expected wait {wait * 1000:.0f} ms, work"
                f" {service_time * 1000:.0f} ms,"
                f" left {(request.deadline - now) * 1000:.0f} ms,"
                f" {(request.target_time - now) * 1000:.0f} ms to the target,"
                f" {len(self._queue)} waiting"
            ),
        )

    def _local_utilization(self):
        """Return the share of the slots in use, 1 where requests wait.

        Only waiting requests that can still be in time count.
        """
        if len(self._queue) - self._queue.count_late(self._clock()) > 1:
            return 1.0
        return self._server_pool.utilization

    def _try_grant(self, request, service_time):
        """Look for a server once; may ask servers for their load."""
        max_probes = placement.probe_count(
            self._arrivals.per_second(self._clock())
        )
        pick = self._probe_and_choose(
            request, service_time, max_probes, remote=False
        )
        if pick.view is not None and not pick.should_wait:
            return self._server_pool.grant(pick, service_time)
        remote = self._choose_remote(request, service_time)
        now = self._clock()
        if remote.view is not None:
            waiting = placement.utility_of_waiting(
                request=request,
                service_time=service_time,
                mean_slowdown=self._server_pool.times.mean_slowdown,
                now=now,
                ahead=self._queue.count_ahead(request, service_time, now) - 1,
                slots=self._server_pool.slots,
            )
            if remote.expected_utility > max(pick.expected_utility, waiting):
                return self._server_pool.grant(remote, service_time)
        late = placement.is_late(request, service_time=service_time, now=now)
        if pick.view is not None and late:
            return self._server_pool.grant(pick, service_time)
        return None

    def _choose_remote(self, request, service_time):
        """Look for a server in another region.

        Asking there takes long, so that reports are kept fresh by a task
        while the own region is short of room.
        """
        if not self._server_pool.remote:
            return placement.Pick(view=None)
        if not self._server_pool.local:
            return self._probe_and_choose(
                request, service_time, _server_pool.REMOTE_PROBES, remote=True
            )
        return placement.choose(
            self._server_pool.remote_with_fresh_reports(),
            request=request,
            service_time=service_time,
            mean_slowdown=self._server_pool.times.mean_slowdown,
            now=self._clock(),
            utilization=1.0,
        )

    def _probe_and_choose(self, request, service_time, max_probes, *, remote):
        """Ask some servers, and choose among all near or all far ones."""
        servers = self._server_pool
        candidates = placement.probe_candidates(
            servers.remote if remote else servers.local,
            request=request,
            service_time=service_time,
            mean_slowdown=servers.times.mean_slowdown,
            now=self._clock(),
            max_servers=max_probes,
        )
        if candidates:
            servers.probe(candidates, remote=remote)
        return placement.choose(
            servers.remote if remote else servers.local,
            request=request,
            service_time=service_time,
            mean_slowdown=servers.times.mean_slowdown,
            now=self._clock(),
            utilization=self._local_utilization(),
        )

    def _wake_head(self):
        for waiter in self._queue.head(self._clock()):
            waiter.set()
