"""Decides which requests of one service may wait for a backend server.

Applies the decisions of `placement` on admission to the measured rates of a
service: what certainly cannot be served is rejected on arrival, or as soon as
that becomes known.
"""

import copy
import time

from wigeonrouter import core
from wigeonrouter import placement
from wigeonrouter.node import messages

# Timers may fire a little early or late, so a queued request is checked this
# much after the time at which its admission changes.
_CHECK_MARGIN_S = 0.001
# Window over which the arrival rates of the service are measured.
_ARRIVAL_WINDOW_S = 2.0
# Mean Retry-After of requests that are rejected because no server is known.
_NO_SERVER_RETRY_S = 0.5
# Mean Retry-After of a stopping node. Its callers ask for other entries first.
_STOPPING_RETRY_S = 0.3


class AdmissionController:
    """Admits and rejects the requests of one service.

    Args:
      server_pool: ServerPool of the service.
      queue: placement.RequestQueue of the service.
      stop_schedule: function that returns the placement.StopSchedule of this
        node, NO_STOP while it is not stopping.
    """

    def __init__(
        self,
        *,
        server_pool,
        queue,
        rng,
        stop_schedule=lambda: placement.NO_STOP,
        clock=time.monotonic,
    ):
        self._server_pool = server_pool
        self._queue = queue
        self._rng = rng
        self._retry_spread = placement.RetrySpread(rng=rng)
        self._stop_schedule = stop_schedule
        self._clock = clock
        self._late_rate = placement.late_dispatch_rate()
        self._trials = placement.TrialSchedule()
        self._arrivals = placement.SlidingWindowRate(window=_ARRIVAL_WINDOW_S)
        # Arrivals that could still meet their target latency.
        self._on_time_arrivals = placement.SlidingWindowRate(
            window=_ARRIVAL_WINDOW_S
        )

    @property
    def arrival_rate(self):
        """Requests per second that arrived at this node."""
        return self._arrivals.per_second(self._clock())

    def preview(self, queue):
        """Return a copy that decides alike and on which calls have no effect.

        Args:
          queue: placement.QueuePreview of the service.
        """
        copied = copy.copy(self)
        copied._queue = queue
        copied._rng = copy.copy(self._rng)
        copied._retry_spread = copy.deepcopy(self._retry_spread)
        copied._late_rate = copy.deepcopy(self._late_rate)
        copied._trials = copy.deepcopy(self._trials)
        copied._arrivals = copy.deepcopy(self._arrivals)
        copied._on_time_arrivals = copy.deepcopy(self._on_time_arrivals)
        return copied

    def check_arrival(self, request, route):
        """Count a request that arrives and decide whether it may wait.

        Args:
          request: placement.PendingRequest.
          route: topology.Route of the request.
        Returns:
          messages.Rejection, None to admit it.
        """
        service_time = self._service_time(route)
        now = self._clock()
        self._arrivals.record(now)
        if not placement.is_late(request, service_time=service_time, now=now):
            self._on_time_arrivals.record(now)
        return (
            self.check_stopping(request, route)
            or self._check_timeout(request, route, now)
            or self._check_admission(request, service_time, now)
        )

    def check_queued(self, request, route, *, became_late):
        """Decide whether a queued request may go on waiting.

        Args:
          request: placement.PendingRequest.
          route: topology.Route of the request.
          became_late: whether it has become late since the last check. It is
            then admitted again, as a late one.
        Returns:
          messages.Rejection, None to keep it.
        """
        now = self._clock()
        return self.check_stopping(
            request, route
        ) or self._check_still_admissible(
            request, self._service_time(route), now, became_late=became_late
        )

    def check_stopping(self, request, route):
        """Return the Rejection of a request that this node may not finish.

        Args:
          request: placement.PendingRequest.
          route: topology.Route of the request.
        Returns:
          messages.Rejection, None if the request may be sent.
        """
        if self._clock() <= self._latest_start(request, route):
            return None
        excess = request.deadline - self._stop_schedule().end
        return messages.Rejection(
            problem=core.problems.STOPPING,
            retry_after=placement.retry_after(
                wait=_STOPPING_RETRY_S, rng=self._rng
            ),
            detail=f"deadline {excess * 1000:.0f} ms after the node's end",
        )

    def outlasts(self, request):
        """Return whether a request is over before this node's end for sure."""
        return self._stop_schedule().outlasts(request)

    def record_dispatch(self, request, route):
        """Count a request that is sent to a server."""
        now = self._clock()
        if placement.is_late(
            request, service_time=self._service_time(route), now=now
        ):
            self._late_rate.record(now)

    def time_to_check(self, request, route):
        """Return the seconds until a queued request has to be checked."""
        now = self._clock()
        check_time = min(
            self._latest_start(request, route),
            placement.next_check_time(
                request, service_time=self._service_time(route), now=now
            ),
        )
        return max(0.0, check_time - now) + _CHECK_MARGIN_S

    def _service_time(self, route):
        return self._server_pool.service_times.service_time(route)

    def _latest_start(self, request, route):
        return placement.latest_start(
            request,
            longest_latency=self._server_pool.service_times.longest_latency(
                route
            ),
            schedule=self._stop_schedule(),
        )

    def _check_timeout(self, request, route, now):
        """Return the Rejection of a request whose timeout is too short."""
        if not self._server_pool.service_times.exceeds_timeout(route):
            return None
        if self._trials.admit(route.name, now):
            return None
        service_time = self._service_time(route)
        return self._reject_overload(request, service_time, service_time, now)

    def _check_admission(self, request, service_time, now):
        """Return the Rejection of a new request, None to admit it."""
        if not self._server_pool.views.has_usable:
            return self._reject_no_server()
        if self._queue.may_go_first(request):
            return self._check_still_admissible(
                request, service_time, now, became_late=False
            )
        wait = (
            self._server_pool.views.time_to_next_send
            + placement.expected_wait(
                ahead=self._queue.count_ahead(request, service_time, now),
                service_time=service_time,
                slowdown=self._server_pool.service_times.mean_slowdown,
                slots=self._server_pool.usable_slots(service_time),
            )
        )
        if placement.should_reject(
            request, wait=wait, service_time=service_time, now=now
        ):
            return self._reject_overload(request, wait, service_time, now)
        if placement.is_late(
            request, service_time=service_time, now=now
        ) or self._will_miss_target(request, wait, service_time, now):
            return self._check_late_admission(request, service_time, now)
        return None

    def _will_miss_target(self, request, wait, service_time, now):
        """Return whether rate limits keep a request until it is late."""
        if self._server_pool.limited_throughput is None:
            return False
        return placement.will_miss_target(
            request,
            wait=wait,
            latency=service_time
            * self._server_pool.service_times.mean_slowdown,
            now=now,
        )

    def _check_late_admission(self, request, service_time, now):
        """Return the Rejection of a late request, None to keep it.

        Late requests, which miss their target latency anyway, only get the
        throughput that the on-time ones leave.
        """
        wait = (
            self._server_pool.views.time_to_next_send
            + placement.expected_late_wait(
                ahead=self._queue.count_late(now),
                rate=self._late_throughput(service_time, now),
            )
        )
        if placement.should_reject_late(request, wait=wait, now=now):
            return self._reject_overload(request, wait, service_time, now)
        return None

    def _late_throughput(self, service_time, now):
        """Return how many late requests per second can be served."""
        arrival_rate = self._on_time_arrivals.per_second(now)
        throughput = self._server_pool.limited_throughput
        if throughput is not None:
            return throughput - arrival_rate
        spare = placement.spare_throughput(
            slots=self._server_pool.usable_slots(service_time),
            service_time=service_time,
            slowdown=self._server_pool.service_times.mean_slowdown,
            arrival_rate=arrival_rate,
        )
        return max(spare, self._late_rate.per_second(now))

    def _check_still_admissible(
        self, request, service_time, now, *, became_late
    ):
        """Return the Rejection of a queued request, None to keep it."""
        if not self._server_pool.views.has_usable:
            return self._reject_no_server()
        wait = self._server_pool.views.time_to_next_send
        if placement.should_reject(
            request, wait=wait, service_time=service_time, now=now
        ):
            return self._reject_overload(
                request, max(wait, service_time), service_time, now
            )
        if became_late and not self._queue.is_starved(request):
            return self._check_late_admission(request, service_time, now)
        return None

    def _reject_no_server(self):
        return messages.Rejection(
            problem=core.problems.NO_SERVER,
            retry_after=placement.retry_after(
                wait=_NO_SERVER_RETRY_S, rng=self._rng
            ),
            detail=self._describe_exclusions(),
        )

    def _describe_pauses(self):
        if not self._server_pool.views.time_to_next_send:
            return ""
        return f", excluded servers: {self._describe_exclusions()}"

    def _describe_exclusions(self):
        counts = self._server_pool.views.exclusion_counts
        return ", ".join(
            f"{count} {reason.value}" for reason, count in counts.items()
        )

    def _reject_overload(self, request, wait, service_time, now):
        return messages.Rejection(
            problem=core.problems.DEADLINE_TOO_SHORT,
            retry_after=self._retry_spread.retry_after(
                tenant=request.tenant,
                wait=wait,
                time_left=request.deadline - now,
            ),
            detail=(
                f"expected wait {wait * 1000:.0f} ms, service time"
                f" {service_time * 1000:.0f} ms, time to deadline"
                f" {(request.deadline - now) * 1000:.0f} ms, time to target"
                f" {(request.target_time - now) * 1000:.0f} ms,"
                f" {len(self._queue)} queued{self._describe_pauses()}"
            ),
        )
