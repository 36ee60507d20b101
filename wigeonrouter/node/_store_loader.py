"""Loads a node's first copy of the store."""

import gevent

from wigeonrouter import store
from wigeonrouter.node import _peer_requests

# Delay before the store is listed again, which doubles up to the maximum.
# Hundreds of nodes may start while the store does not respond.
_MIN_RETRY_S = 0.1
_MAX_RETRY_S = 0.5


class StoreLoader:
    """Fills a StoreCache from the store, or else from a seed node.

    Args:
      settings: topology.NodeSettings of the start.
      seeds: function that returns the hosts of the seed nodes.
      feed: the adapter's interface to the store.
      store_cache: StoreCache.
      events: events.EventLog.
      rng: random.Random, for the jitter of waits.
    """

    def __init__(self, *, settings, seeds, feed, store_cache, events, rng):
        self._host = settings.host
        self._port = settings.peer_ports[0]
        self._seeds = seeds
        self._feed = feed
        self._store_cache = store_cache
        self._events = events
        self._rng = rng

    def load(self):
        """Return once the cache is filled; return whether by the store."""
        retry = _MIN_RETRY_S
        while not self._store_cache.filled:
            if self._load_from_store():
                return True
            if self._load_from_seeds():
                return False
            gevent.sleep(retry * self._rng.uniform(0.7, 1.3))
            retry = min(_MAX_RETRY_S, 2 * retry)
        return False

    def _load_from_store(self):
        """Load a listing that may be seconds old, which is cheaper.

        The hub's first update, or the watch from the listing's revision on,
        has the newer changes.
        """
        try:
            listing = self._feed.list(stale=True)
        except store.StoreError as error:
            self._events.notice("store-lost", error=str(error))
            return False
        self._store_cache.replace_all(
            listing.items, listing.position, stale=True
        )
        self._events.notice(
            "store-listed",
            era=listing.position.era,
            revision=listing.position.revision,
            newest=max((item.version for item in listing.items), default=0),
            items=len(listing.items),
            confirmed=self._store_cache.confirmed,
        )
        return self._store_cache.filled

    def _load_from_seeds(self):
        return any(
            self._load_from_peer(host)
            for host in self._seeds()
            if host != self._host
        )

    def _load_from_peer(self, host):
        update = _peer_requests.fetch_update(
            host, port=self._port, position=self._store_cache.position
        )
        if update is None:
            return False
        self._store_cache.apply_update(update)
        self._events.notice(
            "content-from-peer",
            host=host,
            era=self._store_cache.position.era,
            revision=self._store_cache.position.revision,
            confirmed=self._store_cache.confirmed,
        )
        return self._store_cache.filled
