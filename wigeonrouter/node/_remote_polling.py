"""Keeps the load reports of remote servers fresh while requests need them.

A probe of another region takes a round trip of tens of milliseconds, so remote
servers are probed in the background instead of for each request.
"""

import time

import gevent

from wigeonrouter import placement
from wigeonrouter.node import _server_capacity

# While the own region has too few free slots, this many remote servers are
# probed at this interval. Polling ends if no request needs it for a while.
_POLLED_SERVERS = 6
_POLL_INTERVAL_S = 0.05
_POLL_DURATION_S = 0.3
# Older load reports of remote servers are ignored.
_MAX_REPORT_AGE_S = 0.2


class RemotePolling:
    """Polls the remote servers of one service.

    Args:
      views: ServerViews of the service.
      probe: function that probes ServerViews; see ServerPool.probe().
      rng: random.Random, to choose the polled servers.
    """

    def __init__(self, *, views, probe, rng, clock=time.monotonic):
        self._views = views
        self._probe = probe
        self._rng = rng
        self._clock = clock
        self._task = None
        # Dict from the home regions of requests, None for all, to the time
        # until which their remote servers are polled.
        self._polled_until = {}

    def request(self, home_regions=None):
        """Start or prolong the polling of remote servers.

        Args:
          home_regions: regions of the servers, None for all.
        """
        self._polled_until[home_regions] = self._clock() + _POLL_DURATION_S
        if self._task is None or self._task.ready():
            self._task = gevent.spawn(self._run)

    def fresh(self, home_regions=None):
        """Return the remote views with fresh reports.

        Args:
          home_regions: regions of the servers, None for all.
        """
        now = self._clock()
        return [
            view
            for view in placement.find_allowed(
                self._views.remote, home_regions
            )
            if view.report is not None
            and now - view.report.received < _MAX_REPORT_AGE_S
        ]

    def _run(self):
        """Probe random remote servers at intervals while they are needed."""
        while views := self._polled_views():
            chosen = self._rng.sample(views, min(len(views), _POLLED_SERVERS))
            self._probe(chosen, remote=True)
            gevent.sleep(_POLL_INTERVAL_S)

    def _polled_views(self):
        """Return the remote servers that requests needed lately."""
        now = self._clock()
        self._polled_until = {
            home_regions: until
            for home_regions, until in self._polled_until.items()
            if now < until
        }
        return [
            view
            for view in _server_capacity.without_paused(
                self._views.remote, now
            )
            if any(
                placement.allows_region(home_regions, view.place.region)
                for home_regions in self._polled_until
            )
        ]
