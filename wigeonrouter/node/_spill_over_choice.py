"""Applies placement.SpillOver to the requests of one service.

Load reports of other regions are a round trip old, so they are kept fresh in
the background as soon as the own region is well used.
"""

import copy
import dataclasses
import time
import typing

from wigeonrouter import placement

# Utilization of the own region above which load reports of the others are kept
# fresh, so that requests can leave as soon as the last slot is taken.
_REMOTE_POLL_UTILIZATION = 0.6


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ChoiceFunctions:
    """What a Balancer computes for a request with a service time.

    Attributes:
      choose: function from ServerViews, request, service time and utilization
        to a placement.Pick.
      choose_remote: function that returns the Pick of a server in another
        region where the own one has none.
      utility_of_waiting: function that returns the expected utility of
        waiting in the queue.
      arrival_rate: function that returns the requests per second.
    """

    choose: typing.Callable
    choose_remote: typing.Callable
    utility_of_waiting: typing.Callable
    arrival_rate: typing.Callable


class SpillOverChoice:
    """Chooses servers within and outside of the own place.

    Args:
      spill_over: placement.SpillOver of the service.
      server_pool: ServerPool of the service.
      functions: ChoiceFunctions.
    """

    def __init__(
        self, *, spill_over, server_pool, functions, clock=time.monotonic
    ):
        self._spill_over = spill_over
        self._server_pool = server_pool
        self._functions = functions
        self._clock = clock

    @property
    def shares(self):
        """See placement.SpillOver.shares."""
        return self._spill_over.shares

    def preview(self, *, server_pool, functions):
        """Return a copy for a preview; see ServerChoice.preview()."""
        return SpillOverChoice(
            spill_over=copy.deepcopy(self._spill_over),
            server_pool=server_pool,
            functions=functions,
            clock=self._clock,
        )

    def choose_local(self, views, request, service_time, *, utilization):
        """Return the placement.Pick of a server in the own region."""
        return self._spill_over.choose_local(
            views,
            choose=lambda candidates: self._functions.choose(
                candidates, request, service_time, utilization=utilization
            ),
            arrival_rate=self._functions.arrival_rate(),
            busy_time=self._busy_time(service_time),
            now=self._clock(),
        )

    def try_grant(self, request, service_time, pick):
        """Return a Grant, None if the request has to wait.

        Args:
          pick: placement.Pick of the own region.
        """
        now = self._clock()
        best_remote = self._best_remote(request, service_time, now)
        if not self._spill_over.needs_remote(pick, best_remote=best_remote):
            self._spill_over.stay(now=now)
            if self._server_pool.utilization > _REMOTE_POLL_UTILIZATION:
                self._server_pool.remote_polling.request()
            return self._server_pool.grant(pick, service_time)
        grant = self.try_leave(request, service_time, pick)
        if grant is not None:
            return grant
        late = placement.is_late(request, service_time=service_time, now=now)
        if pick.view is not None and (late or not pick.should_wait):
            return self._server_pool.grant(pick, service_time)
        return None

    def try_leave(self, request, service_time, pick):
        """Return the Grant of a server in another region, None to stay.

        Args:
          pick: placement.Pick of the own region, without a server if the
            request has to wait there.
        """
        if not self._server_pool.views.local:
            remote_pick = self._functions.choose_remote(request, service_time)
        else:
            remote_pick = self._choose_remote(request, service_time, pick)
        if remote_pick.view is None:
            return None
        return self._server_pool.grant(remote_pick, service_time)

    def _choose_remote(self, request, service_time, pick):
        now = self._clock()
        views = self._server_pool.views
        waits = pick.view is None or pick.should_wait
        local_utility = pick.expected_utility
        if waits:
            local_utility = max(
                local_utility,
                self._functions.utility_of_waiting(request, service_time, now),
            )
        polling = self._server_pool.remote_polling
        polling.request(request.home_regions)
        return self._spill_over.choose_remote(
            [*views.local, *views.remote],
            fresh=polling.fresh(request.home_regions),
            choose=lambda candidates: self._functions.choose(
                candidates, request, service_time, utilization=1.0
            ),
            local_utility=local_utility,
            has_free_slot=not waits,
            arrival_rate=self._functions.arrival_rate(),
            busy_time=self._busy_time(service_time),
            now=now,
        )

    def _best_remote(self, request, service_time, now):
        """Return the utility to expect of other regions, at best."""
        round_trips = [
            view.round_trip for view in self._server_pool.views.remote
        ]
        if not round_trips:
            return 0.0
        return placement.best_utility(
            request=request,
            service_time=service_time,
            fast_slowdown=self._server_pool.service_times.fast_slowdown,
            round_trip=min(round_trips),
            now=now,
        )

    def _busy_time(self, service_time):
        return service_time * self._server_pool.service_times.mean_slowdown
