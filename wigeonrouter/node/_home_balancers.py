"""Finds servers for the requests that have home regions.

A request that may use the local servers waits for them like any other one. If
its home regions are elsewhere, it waits in a queue of its own for the servers
there. In one queue with the others, it would hold up requests that may use the
local servers, and be held up by them.
"""

import copy
import dataclasses
import time

from wigeonrouter import core
from wigeonrouter import placement
from wigeonrouter.node import _balancer_preview
from wigeonrouter.node import _home_servers
from wigeonrouter.node import messages

# Mean Retry-After of requests whose home regions have no server.
_NO_HOME_RETRY_S = 0.5


class HomeBalancers:
    """Owns the Balancers of requests that may not use the local servers.

    Args:
      server_pool: ServerPool of the service.
      make_balancer: function from a HomeServerPool to its Balancer.
      rng: random.Random.
    """

    def __init__(
        self, *, server_pool, make_balancer, rng, clock=time.monotonic
    ):
        self._server_pool = server_pool
        self._make_balancer = make_balancer
        self._rng = rng
        self._clock = clock
        self._balancers = {}
        self._used = False

    @property
    def used(self):
        """Whether any request had home regions since the start."""
        return self._used

    @property
    def all(self):
        """Tuple of the Balancers of these requests."""
        return tuple(self._balancers.values())

    def preview(self, request, route, *, preview_local):
        """Return the _balancer_preview.Decision on a request.

        Args:
          request, route: see acquire().
          preview_local: Balancer.preview() for the local servers.
        """
        copied = copy.copy(self)
        copied._rng = copy.copy(self._rng)
        copied._balancers = dict(self._balancers)
        rejection = copied.check(request)
        if rejection is not None:
            return _balancer_preview.Decision(rejection=rejection)
        if self._may_use_local(request):
            return preview_local(request, route)
        balancer, remaining = copied._find_remote(request)
        decision = balancer.preview(remaining, route)
        return dataclasses.replace(
            decision, rejection=_name_no_home(decision.rejection)
        )

    def check(self, request):
        """Return the Rejection of a request that no server may execute.

        Args:
          request: placement.PendingRequest.
        Returns:
          messages.Rejection, None if a server of a home region can be used.
        """
        views = self._server_pool.views
        if placement.find_allowed(
            [*views.local, *views.remote], request.home_regions
        ):
            return None
        regions = ", ".join(sorted(request.home_regions)) or "none"
        return messages.Rejection(
            problem=core.problems.NO_HOME,
            retry_after=placement.retry_after(
                wait=_NO_HOME_RETRY_S, rng=self._rng
            ),
            detail=f"no usable server in the home regions: {regions}",
        )

    def acquire(self, request, route, *, should_leave, acquire_local):
        """Wait for a server of the home regions.

        Args:
          request: placement.PendingRequest with home regions.
          route: topology.Route of the request.
          should_leave: see Balancer.acquire().
          acquire_local: Balancer.acquire_any() for the local servers.
        Returns:
          What Balancer.acquire() returns.
        """
        self._used = True
        while not should_leave():
            rejection = self.check(request)
            if rejection is not None:
                return rejection
            result = self._acquire(request, route, should_leave, acquire_local)
            if result is not None:
                return _name_no_home(result)
        return None

    def _acquire(self, request, route, should_leave, acquire_local):
        """Wait for the servers that the request may use now.

        Returns:
          None also if these are others than before, as the last local server
          is gone or the first one has come.
        """
        uses_local = self._may_use_local(request)

        def should_leave_queue():
            return (
                should_leave()
                or self._may_use_local(request) is not uses_local
                or self.check(request) is not None
            )

        if uses_local:
            return acquire_local(request, route, should_leave_queue)
        balancer, remaining = self._find_remote(request)
        return balancer.acquire_any(remaining, route, should_leave_queue)

    def _find_remote(self, request):
        """Return the Balancer and the request with the time left for it."""
        balancer = self._get(request.home_regions)
        remaining = placement.without_round_trip(
            request, balancer.server_pool.round_trip
        )
        return balancer, dataclasses.replace(remaining, home_regions=None)

    def _may_use_local(self, request):
        return bool(
            placement.find_allowed(
                self._server_pool.views.local[:1], request.home_regions
            )
        )

    def _get(self, home_regions):
        balancer = self._balancers.get(home_regions)
        if balancer is None:
            balancer = self._balancers[home_regions] = self._make_balancer(
                _home_servers.HomeServerPool(
                    server_pool=self._server_pool,
                    home_regions=home_regions,
                    clock=self._clock,
                )
            )
        return balancer


def _name_no_home(result):
    """Return a result that says that it is the home regions that fail."""
    if (
        isinstance(result, messages.Rejection)
        and result.problem is core.problems.NO_SERVER
    ):
        return dataclasses.replace(result, problem=core.problems.NO_HOME)
    return result
