"""Assigns the requests of one service to backend servers.

Applies the decisions of `placement`: probes servers for their load and queues
the admitted requests by priority.
"""

import time

from gevent import event

from wigeonrouter import placement
from wigeonrouter.node import _admission_controller
from wigeonrouter.node import _balancer_preview
from wigeonrouter.node import _grant
from wigeonrouter.node import _home_balancers
from wigeonrouter.node import _overload_log
from wigeonrouter.node import _server_choice

# A request at the head of the queue looks for a server again after this share
# of its service time, within the bounds below, because other nodes release
# slots unnoticed.
_POLL_SHARE = 0.2
_MIN_POLL_S = 0.012
_MAX_POLL_S = 0.03
# Stands for the result of a request whose task ended without one.
_NOT_SERVED = object()


class Balancer:
    """Owns the request queue of one service.

    Args:
      server_pool: ServerPool of the service.
      budget: placement.RetryBudget.
      stop_schedule: function that returns the placement.StopSchedule of this
        node, NO_STOP while it is not stopping.
      on_starved: function that is told the placement.PendingRequest whose
        rank and tenant have become starved.
      spill_over: placement.SpillOver, None if it is off.
    """

    def __init__(
        self,
        *,
        server_pool,
        budget,
        rng,
        stop_schedule=lambda: placement.NO_STOP,
        on_starved=lambda request: None,
        spill_over=None,
        clock=time.monotonic,
    ):
        self._server_pool = server_pool
        self._budget = budget
        self._rng = rng
        self._clock = clock
        self._queue = placement.RequestQueue()
        self._homes = _home_balancers.HomeBalancers(
            server_pool=server_pool,
            make_balancer=lambda home_pool: Balancer(
                server_pool=home_pool,
                budget=budget,
                rng=rng,
                stop_schedule=stop_schedule,
                on_starved=on_starved,
                clock=clock,
            ),
            rng=rng,
            clock=clock,
        )
        self._overload_log = _overload_log.OverloadLog(
            queue=self._queue, on_starved=on_starved, clock=clock
        )
        self._admission = _admission_controller.AdmissionController(
            server_pool=server_pool,
            queue=self._queue,
            rng=rng,
            stop_schedule=stop_schedule,
            clock=clock,
        )
        self._server_choice = _server_choice.ServerChoice(
            server_pool=server_pool,
            queue=self._queue,
            arrival_rate=lambda: self._admission.arrival_rate,
            spill_over=spill_over,
            rng=rng,
            clock=clock,
        )

    @property
    def budget(self):
        """placement.RetryBudget of the service."""
        return self._budget

    @property
    def server_pool(self):
        """ServerPool of the service."""
        return self._server_pool

    @property
    def queue_length(self):
        """Number of requests that wait for a server in the queue."""
        return len(self._queue) + sum(
            balancer.queue_length for balancer in self._homes.all
        )

    @property
    def overload_log(self):
        """OverloadLog of the service."""
        return self._overload_log

    @property
    def in_flight(self):
        """Number of this node's requests in flight at the servers."""
        return self._server_pool.in_flight

    @property
    def requests_by_locality(self):
        """Dict from placement.Locality to the number of requests sent."""
        return self._server_pool.requests_by_locality

    @property
    def spill_over_shares(self):
        """See placement.SpillOver.shares; empty if it is off."""
        return self._server_choice.spill_over_shares

    @property
    def rate_limit_statements(self):
        """What servers said about their limits; see ServerViews."""
        return self._server_pool.views.rate_limit_statements

    @property
    def server_statements(self):
        """Tuple of the core.ServerStatements that this node has heard."""
        return self._server_pool.views.statements

    @property
    def excluded_servers(self):
        """Dict from the reason why servers get no request to their number."""
        return {
            reason.value: count
            for reason, count in (
                self._server_pool.views.exclusion_counts.items()
            )
        }

    @property
    def cold_servers(self):
        """Number of servers that are in their slow start."""
        return self._server_pool.views.cold_count

    @property
    def evacuated_domains(self):
        """Number of failure domains with servers that are evacuated."""
        return self._server_pool.views.evacuated_domains

    @property
    def limited_servers(self):
        """Number of servers that name a rate limit, as far as is known."""
        return self._server_pool.views.limited_count

    def preview(self, request, route):
        """Return the _balancer_preview.Decision on a request, if it came now.

        Changes nothing: the decision is taken on copies of what it changes.
        """
        if request.home_regions is None:
            return self._preview_any(request, route)
        return self._homes.preview(
            request, route, preview_local=self._preview_any
        )

    def configure(self, *, health_path, registered, **options):
        """Update the set of servers; see ServerPool.configure()."""
        self._server_pool.configure(
            health_path=health_path, registered=registered, **options
        )
        self._on_servers_changed()

    def check_homes(self, request):
        """Return the Rejection of a request whose home regions cannot serve.

        None if a server there can be used.
        """
        if request.home_regions is None:
            return None
        return self._homes.check(request)

    def check_stopping(self, request, route):
        """Return the Rejection of a request that this node may not finish.

        For a request that is not sent to a server; acquire() checks it too.
        """
        return self._admission.check_stopping(request, route)

    def outlasts(self, request):
        """Return whether a request is over before this node's end for sure."""
        return self._admission.outlasts(request)

    def acquire(self, request, route, *, should_leave=lambda: False):
        """Wait in the queue for a server.

        Args:
          request: placement.PendingRequest.
          route: topology.Route of the request.
          should_leave: function that returns whether the request is not to
            wait here any longer.
        Returns:
          Grant, which must be released, messages.Rejection, or None if it
          has left.
        """
        if request.home_regions is None:
            return self.acquire_any(request, route, should_leave)
        return self._homes.acquire(
            request,
            route,
            should_leave=should_leave,
            acquire_local=self.acquire_any,
        )

    def acquire_any(self, request, route, should_leave):
        """Wait for any of the servers of the pool; see acquire()."""
        rejection = self._admission.check_arrival(request, route)
        if rejection is not None:
            self._overload_log.on_end(request, served=False)
            return rejection
        service_time = self._server_pool.service_times.service_time(route)
        waiter = event.Event()
        self._queue.add(waiter, request, service_time)
        grant = _NOT_SERVED
        try:
            grant = self._wait_for_grant(waiter, request, route, should_leave)
            return grant
        finally:
            self._queue.remove(waiter)
            if grant is not None:
                self._overload_log.on_end(
                    request, served=isinstance(grant, _grant.Grant)
                )
            self.wake_head()

    def release(
        self,
        grant,
        *,
        route,
        outcome,
        metadata,
        latency,
        timed_out=False,
        disconnected=False,
    ):
        """Release a server's slot and record the outcome of the attempt.

        Args:
          grant: Grant.
          route: topology.Route of the request.
          outcome: placement.AttemptOutcome.
          metadata: messages.ResponseMetadata, None without a response.
          latency: duration of the attempt, seconds.
          timed_out: whether the attempt ended because its deadline passed.
          disconnected: whether the server broke the connection.
        """
        self._server_pool.release(
            grant,
            route=route,
            outcome=outcome,
            metadata=metadata,
            latency=latency,
            timed_out=timed_out,
            disconnected=disconnected,
        )
        if metadata is not None and metadata.misdirected:
            self._on_servers_changed()
        else:
            self.wake_head()

    def on_links_changed(self, *, cut):
        """Apply that this node was cut off from all servers, or is back."""
        if not cut:
            self._server_pool.forget_failures()
        self.recheck_queue()

    def recheck_queue(self):
        """Check the queued requests again, since the node's state changed."""
        self._wake_all()

    def refresh_server_facts(self, *, statements_by_host, peer_limits):
        """Apply what servers have said to other nodes; see ServerViews.

        Args:
          statements_by_host: see ServerViews.record_peer_statements().
          peer_limits: see ServerViews.refresh_rate_limits().
        """
        self._server_pool.views.record_peer_statements(statements_by_host)
        if self._server_pool.views.refresh_rate_limits(peer_limits):
            self._on_servers_changed()

    def _preview_any(self, request, route):
        """Return the Decision on a request that may use the pool."""
        server_pool = _balancer_preview.PoolPreview(self._server_pool)
        queue = placement.QueuePreview(self._queue)
        admission = self._admission.preview(queue)
        return _balancer_preview.decide(
            _balancer_preview.Parts(
                server_pool=server_pool,
                queue=queue,
                admission=admission,
                server_choice=self._server_choice.preview(
                    server_pool=server_pool,
                    queue=queue,
                    arrival_rate=lambda: admission.arrival_rate,
                ),
                now=self._clock(),
            ),
            request,
            route,
        )

    def _wait_for_grant(self, waiter, request, route, should_leave):
        """Wait in the queue; return what acquire() returns.

        Only the head of the queue looks for a server. The others wait until
        they are woken at the head, or until their admission changes.
        """
        service_time = self._server_pool.service_times.service_time(route)
        poll_interval = min(
            _MAX_POLL_S, max(_MIN_POLL_S, _POLL_SHARE * service_time)
        )
        now = self._clock()
        late = placement.is_late(request, service_time=service_time, now=now)
        was_at_head = False
        if waiter not in self._queue.head(now):
            # Behind others, it gains most by leaving before it has waited.
            grant = self._server_choice.try_leave(request, service_time)
            if grant is not None:
                self._admission.record_dispatch(request, route)
                return grant
        while not should_leave():
            now = self._clock()
            at_head = waiter in self._queue.head(now)
            if at_head:
                grant = self._server_choice.try_grant(request, service_time)
                if grant is not None:
                    self._queue.dispatch(waiter)
                    self._admission.record_dispatch(request, route)
                    return grant
                timeout = poll_interval
            else:
                if was_at_head:
                    self.wake_head()
                timeout = self._admission.time_to_check(request, route)
            was_at_head = at_head
            waiter.wait(timeout=timeout)
            waiter.clear()
            now = self._clock()
            was_late, late = (
                late,
                placement.is_late(request, service_time=service_time, now=now),
            )
            rejection = self._admission.check_queued(
                request, route, became_late=late and not was_late
            )
            if rejection is not None:
                return rejection
        return None

    def _on_servers_changed(self):
        """Wake the requests that the set of servers may concern."""
        if self._server_pool.views.has_usable and not self._homes.used:
            self.wake_head()
        else:
            self._wake_all()

    def _wake_all(self):
        for balancer in self._homes.all:
            balancer.recheck_queue()
        for waiter in self._queue:
            waiter.set()

    def wake_head(self):
        """Let the first queued requests look for a server again."""
        for balancer in self._homes.all:
            balancer.wake_head()
        for waiter in self._queue.head(self._clock()):
            waiter.set()
