"""Keeps a node registered in the store."""

import gevent

from wigeonrouter import store

# The times of all nodes differ by a random factor, since a restored store may
# have lost all registrations at once.
_CHECK_INTERVAL_S = 2.0
_STARTUP_POLL_S = 0.05


class Registrar:
    """Writes the registration of a node, once in each era of the store.

    Args:
      settings: topology.NodeSettings.
      feed: the adapter's interface to the store.
      cluster_state: ClusterState, which has the registered nodes.
      store_cache: StoreCache.
      events: events.EventLog.
      rng: random.Random, for the jitter of waits.
    """

    def __init__(
        self, *, settings, feed, cluster_state, store_cache, events, rng
    ):
        self._region = settings.place.region
        self._host = settings.host
        self._feed = feed
        self._cluster_state = cluster_state
        self._store_cache = store_cache
        self._events = events
        self._rng = rng
        self._registered_era = None

    def run(self):
        """Register the node whenever the store has lost it, until killed.

        Failed writes are logged and retried.
        """
        while True:
            if not self._store_cache.filled:
                gevent.sleep(_STARTUP_POLL_S)
                continue
            self._check()
            gevent.sleep(_CHECK_INTERVAL_S * self._rng.uniform(0.5, 1.5))

    def _check(self):
        era = self._store_cache.position.era
        if self._cluster_state.is_registered(self._region, self._host):
            self._registered_era = era
        if self._registered_era == era:
            return
        try:
            self._feed.register(region=self._region, host=self._host)
        except store.StoreError as error:
            self._events.notice("not-registered", error=str(error))
            return
        self._registered_era = era
