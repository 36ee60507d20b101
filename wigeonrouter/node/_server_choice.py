"""Chooses the backend servers of the requests of one service.

Applies the decisions of `placement` to the ServerViews, after servers were
probed for their load.
"""

import copy
import time

from wigeonrouter import placement
from wigeonrouter.node import _spill_over_choice

# Remote servers that are probed before a choice if no server is local.
_REMOTE_PROBES = 3


class ServerChoice:
    """Chooses servers for the requests that a Balancer queues.

    Args:
      server_pool: ServerPool of the service.
      queue: placement.RequestQueue of the service.
      arrival_rate: function that returns the requests per second.
      spill_over: placement.SpillOver, None if it is off.
      rng: random.Random, to sample servers.
    """

    def __init__(
        self,
        *,
        server_pool,
        queue,
        arrival_rate,
        spill_over,
        rng,
        clock=time.monotonic,
    ):
        self._server_pool = server_pool
        self._queue = queue
        self._arrival_rate = arrival_rate
        self._rng = rng
        self._clock = clock
        self._spill_over = None
        if spill_over is not None:
            self._spill_over = _spill_over_choice.SpillOverChoice(
                spill_over=spill_over,
                server_pool=server_pool,
                functions=self._choice_functions(),
                clock=clock,
            )

    @property
    def spill_over_shares(self):
        """See placement.SpillOver.shares; empty if it is off."""
        return {} if self._spill_over is None else self._spill_over.shares

    def preview(self, *, server_pool, queue, arrival_rate):
        """Return a copy that chooses alike and on which calls have no effect.

        Args:
          server_pool: _balancer_preview.PoolPreview of the service.
          queue: placement.QueuePreview of the service.
          arrival_rate: function that returns the requests per second.
        """
        copied = copy.copy(self)
        copied._server_pool = server_pool
        copied._queue = queue
        copied._arrival_rate = arrival_rate
        copied._rng = copy.copy(self._rng)
        if self._spill_over is not None:
            copied._spill_over = self._spill_over.preview(
                server_pool=server_pool,
                functions=copied._choice_functions(),
            )
        return copied

    def try_leave(self, request, service_time):
        """Try once to choose a server elsewhere for a queued request.

        Returns:
          Grant, None if the request has to wait or spill-over is off.
        """
        if self._spill_over is None:
            return None
        return self._spill_over.try_leave(
            request, service_time, placement.Pick(view=None)
        )

    def try_grant(self, request, service_time):
        """Try once to choose a server, probing some of them.

        Returns:
          Grant, None if the request has to wait.
        """
        max_probes = placement.probe_count(self._arrival_rate())
        pick = self._probe_and_choose(
            request, service_time, max_probes, remote=False
        )
        if self._spill_over is not None:
            return self._spill_over.try_grant(request, service_time, pick)
        if pick.view is not None and not pick.should_wait:
            return self._server_pool.grant(pick, service_time)
        remote_pick = self._choose_remote(request, service_time)
        now = self._clock()
        if remote_pick.view is not None:
            if remote_pick.expected_utility > max(
                pick.expected_utility,
                self.utility_of_waiting(request, service_time, now),
            ):
                return self._server_pool.grant(remote_pick, service_time)
        late = placement.is_late(request, service_time=service_time, now=now)
        if pick.view is not None and late:
            return self._server_pool.grant(pick, service_time)
        return None

    def utility_of_waiting(self, request, service_time, now):
        """Return the expected utility of waiting in the queue.

        The request is in the queue itself.
        """
        return placement.utility_of_waiting(
            request=request,
            service_time=service_time,
            mean_slowdown=self._server_pool.service_times.mean_slowdown,
            fast_slowdown=self._server_pool.service_times.fast_slowdown,
            now=now,
            ahead=self._queue.count_ahead(request, service_time, now) - 1,
            slots=self._server_pool.usable_slots(service_time),
        )

    def _choice_functions(self):
        return _spill_over_choice.ChoiceFunctions(
            choose=self._choose,
            choose_remote=self._choose_remote,
            utility_of_waiting=self.utility_of_waiting,
            arrival_rate=self._arrival_rate,
        )

    def _local_utilization(self):
        """Return the utilization of the slots, 1.0 if requests are queued.

        Only queued requests that can still meet their target latency count.
        """
        if len(self._queue) - self._queue.count_late(self._clock()) > 1:
            return 1.0
        return self._server_pool.utilization

    def _choose(self, views, request, service_time, *, utilization):
        service_times = self._server_pool.service_times
        return placement.choose(
            views,
            request=request,
            service_time=service_time,
            mean_slowdown=service_times.mean_slowdown,
            now=self._clock(),
            utilization=utilization,
            fast_slowdown=service_times.fast_slowdown,
        )

    def _choose_remote(self, request, service_time):
        """Choose a server in another region.

        A remote probe takes tens of milliseconds, so a background task keeps
        the reports fresh while the own region has too few free slots. Only
        without any local server are remote ones probed for each request.
        """
        views = placement.find_allowed(
            self._server_pool.views.remote, request.home_regions
        )
        if not views:
            return placement.Pick(view=None)
        if not self._server_pool.views.local:
            return self._probe_and_choose(
                request, service_time, _REMOTE_PROBES, remote=True
            )
        polling = self._server_pool.remote_polling
        polling.request(request.home_regions)
        return self._choose(
            polling.fresh(request.home_regions),
            request,
            service_time,
            utilization=1.0,
        )

    def _probe_and_choose(self, request, service_time, max_probes, *, remote):
        """Probe some servers, then choose among a sample of all of them.

        Args:
          remote: whether the servers are those of other regions.
        Returns:
          placement.Pick.
        """
        server_pool = self._server_pool
        views = server_pool.views.remote if remote else server_pool.views.local
        sampled = placement.sample_views(
            placement.find_allowed(views, request.home_regions),
            request=request,
            now=self._clock(),
            rng=self._rng,
        )
        candidates = placement.probe_candidates(
            sampled,
            request=request,
            service_time=service_time,
            mean_slowdown=server_pool.service_times.mean_slowdown,
            now=self._clock(),
            max_servers=max_probes,
        )
        if candidates:
            server_pool.probe(candidates, remote=remote)
        latest = server_pool.views.latest(sampled)
        utilization = (
            0.0
            if self._queue.is_starved(request)
            else self._local_utilization()
        )
        if remote or self._spill_over is None:
            return self._choose(
                latest, request, service_time, utilization=utilization
            )
        return self._spill_over.choose_local(
            latest, request, service_time, utilization=utilization
        )
