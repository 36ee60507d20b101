"""Keeps a node's copy of the store current when its hub does not."""

import gevent

from wigeonrouter import store
from wigeonrouter import topology

# Wait before the store is tried again. All nodes try it in an outage.
_RETRY_INTERVAL_S = 4.0
# Wait before the age of an old copy is looked at again.
_CHECK_INTERVAL_S = 0.2
# A read shows for this time that this node reaches the store.
_REACHABLE_S = 1.0


class CopyKeeper:
    """Reads the store if nobody shows that the copy is current.

    It does so whatever the role of the node, so the age of the copy does not
    depend on how long the region takes to agree on a hub.

    Args:
      freshness: topology.CopyFreshness.
      bounds: function that returns topology.Bounds.
      feed: the adapter's interface to the store.
      reader: StoreReader that is used for single reads.
      store_cache: StoreCache.
      role: function that returns this node's topology.Role.
      events: events.EventLog.
      rng: random.Random.
      clock: function that returns monotonic seconds.
    """

    def __init__(
        self,
        *,
        freshness,
        bounds,
        feed,
        reader,
        store_cache,
        role,
        events,
        rng,
        clock,
    ):
        self._freshness = freshness
        self._bounds = bounds
        self._feed = feed
        self._reader = reader
        self._store_cache = store_cache
        self._role = role
        self._events = events
        self._rng = rng
        self._clock = clock
        self._last_read = float("-inf")

    @property
    def reaches_store(self):
        """Whether this node has read the store itself just now."""
        return self._clock() - self._last_read < _REACHABLE_S

    def run(self):
        """Keep the copy current until the task is killed."""
        while True:
            limit = topology.catch_up_age(bounds=self._bounds(), rng=self._rng)
            self._wait_until_old(limit)
            self._notice("store-copy-old")
            while self._age() >= limit:
                if not self._read():
                    self._wait_to_retry(limit)
            self._notice("store-copy-current")

    def _wait_until_old(self, limit):
        while (remaining := limit - self._age()) > 0:
            gevent.sleep(remaining)

    def _wait_to_retry(self, limit):
        """Wait for the next try, or until the copy is current again."""
        wait = _RETRY_INTERVAL_S * self._rng.uniform(0.7, 1.3)
        retry_at = self._clock() + wait
        while self._clock() < retry_at and self._age() >= limit:
            gevent.sleep(_CHECK_INTERVAL_S)

    def _read(self):
        """Read the changes from the store; return whether it responded."""
        if not self._store_cache.filled:
            return False
        try:
            # A check is cheaper than a read that fails.
            self._feed.check()
            self._reader.catch_up()
        except store.StoreError as error:
            self._events.notice("store-copy-not-read", error=str(error))
            return False
        self._last_read = self._clock()
        return True

    def _age(self):
        return self._freshness.age(self._clock())

    def _notice(self, name):
        position = self._store_cache.position
        role = self._role()
        self._events.notice(
            name,
            age_ms=round(self._age() * 1000),
            era=position.era,
            revision=position.revision,
            role=role.kind.value,
            hub=role.hub,
        )
