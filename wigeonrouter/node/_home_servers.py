"""The servers of a request's home regions, as seen by a node outside of them.

Offers a Balancer what it needs of a ServerPool, with the servers of the home
regions in the place of local ones. Admission, expected waits and the choice of
a server thus go by the slots that these requests may use. The round trip to
the closest server is spent in any case, so it shortens the time that is left
instead of making the servers look slower than others.
"""

import time

from wigeonrouter import placement
from wigeonrouter.node import _server_capacity

# Servers with a fresh report and a free slot that are enough to choose among.
_ENOUGH_REPORTS = 3


class HomeServerViews:
    """The ServerViews of the servers in some home regions.

    Args:
      views: ServerViews of the service.
      home_regions: frozenset of regions, none of them this node's.
    """

    def __init__(self, *, views, home_regions, clock=time.monotonic):
        self._views = views
        self._home_regions = home_regions
        self._clock = clock

    @property
    def remote(self):
        """Empty list; see `local`."""
        return []

    @property
    def local(self):
        """List of the ServerViews in the home regions, as if local."""
        return self._as_closest(self.allowed)

    @property
    def allowed(self):
        """List of the ServerViews in the home regions that may be used."""
        return placement.find_allowed(self._views.remote, self._home_regions)

    @property
    def has_usable(self):
        """Whether this node may use any of the servers, at once or later."""
        return bool(self.allowed)

    @property
    def exclusion_counts(self):
        """See ServerViews.exclusion_counts, of the whole service."""
        return self._views.exclusion_counts

    @property
    def time_to_next_send(self):
        """Seconds until some server's limit and pause allow a request."""
        return _server_capacity.time_to_next_send(self.allowed, self._clock())

    def latest(self, views):
        """Return the current state of some ServerViews that still exist."""
        return self._as_closest(
            placement.find_allowed(
                self._views.latest(views), self._home_regions
            )
        )

    def _as_closest(self, views):
        round_trip = placement.unavoidable_round_trip(self.allowed)
        return [
            placement.as_closest(
                view,
                round_trip=round_trip,
                locality=placement.Locality.DOMAIN,
            )
            for view in views
        ]


class HomeServerPool:
    """The part of a ServerPool that is in some home regions.

    Args:
      server_pool: ServerPool of the service.
      home_regions: frozenset of regions, none of them this node's.
    """

    def __init__(self, *, server_pool, home_regions, clock=time.monotonic):
        self._server_pool = server_pool
        self._home_regions = home_regions
        self._clock = clock
        self._views = HomeServerViews(
            views=server_pool.views, home_regions=home_regions, clock=clock
        )

    @property
    def views(self):
        """HomeServerViews."""
        return self._views

    @property
    def service_times(self):
        """placement.ServiceTimes of the service."""
        return self._server_pool.service_times

    @property
    def round_trip(self):
        """Seconds that each request spends on the way to a server."""
        return placement.unavoidable_round_trip(self._views.allowed)

    @property
    def limited_throughput(self):
        """Requests per second that rate limits allow, None without limits."""
        return _server_capacity.limited_throughput(self._preferred())

    @property
    def utilization(self):
        """Expected load of the servers per slot."""
        return _server_capacity.utilization(self._preferred(), self._clock())

    def usable_slots(self, service_time):
        """Return the slots that can be kept busy; see ServerPool."""
        return _server_capacity.usable_slots(
            self._preferred(),
            service_time=service_time,
            mean_slowdown=self.service_times.mean_slowdown,
        )

    def probe(self, views, *, remote):
        """Probe servers, unless some reports are fresh enough.

        A probe takes a whole round trip, and its bytes between regions are
        billed. Responses to requests have load reports as well, so that the
        background polling is only needed while too few of these arrive.

        Args:
          views: ServerViews to probe.
          remote: ignored, since all of the servers are remote.
        """
        usable = self._count_fresh_usable()
        if usable < _ENOUGH_REPORTS:
            self._server_pool.remote_polling.request(self._home_regions)
        if not usable:
            self._server_pool.probe(views, remote=True)

    def grant(self, pick, service_time):
        """Count a request in flight; see ServerPool.grant()."""
        return self._server_pool.grant(pick, service_time)

    def _count_fresh_usable(self):
        """Return how many servers with fresh reports have a free slot."""
        now = self._clock()
        return sum(
            placement.expected_load(view, now) + 0.5 <= view.slots
            for view in self._server_pool.remote_polling.fresh(
                self._home_regions
            )
        )

    def _preferred(self):
        return _server_capacity.without_paused(
            self._views.allowed, self._clock()
        )
