"""Reads the store for a region while this node is the region's hub."""

import gevent

from wigeonrouter import store
from wigeonrouter.node import _store_cache

# A watch without changes returns after this time, so that a hub notices when
# it is cut off from the store.
_WATCH_TIMEOUT_S = 1.0
# Wait for changes of a watch that only asks for those that exist.
_NO_WAIT_S = 0.001
# Delay after a change, so that changes in quick succession are read together.
_BATCH_DELAY_S = 0.25
_MIN_BACKOFF_S = 0.1
_MAX_BACKOFF_S = 0.5


class StoreReader:
    """Keeps a StoreCache up to date from the store.

    Args:
      store_cache: StoreCache.
      feed: the adapter's interface to the store.
      events: events.EventLog.
      rng: random.Random, for the jitter of the backoff.
      on_update: called with the Update message of each change.
      on_store_contact: called without arguments after each successful call.
      on_confirmed: called without arguments when the cache has all changes
        of the store.
      on_store_outage: called after each failed call, with the StoreError and
        the number of consecutive failures.
      listing_due: function that returns whether to list the store again.
    """

    def __init__(
        self,
        *,
        store_cache,
        feed,
        events,
        rng,
        on_update,
        on_store_contact,
        on_confirmed,
        on_store_outage,
        listing_due,
    ):
        self._store_cache = store_cache
        self._feed = feed
        self._events = events
        self._rng = rng
        self._on_update = on_update
        self._on_store_contact = on_store_contact
        self._on_confirmed = on_confirmed
        self._on_store_outage = on_store_outage
        self._listing_due = listing_due

    def run(self):
        """Watch the store until the task is killed.

        The first read does not wait for a change, so that the copy is soon
        known to be current. Failed calls are retried with an exponential
        backoff.
        """
        failures = 0
        wait = _NO_WAIT_S
        while True:
            try:
                changed = self._read_once(wait=wait)
            except store.StoreError as error:
                failures += 1
                self._on_store_outage(error, failures)
                backoff = min(
                    _MAX_BACKOFF_S,
                    _MIN_BACKOFF_S * 2 ** min(8, failures - 1),
                )
                gevent.sleep(backoff * self._rng.uniform(0.7, 1.3))
                continue
            failures = 0
            wait = _WATCH_TIMEOUT_S
            if changed:
                gevent.sleep(_BATCH_DELAY_S)

    def catch_up(self):
        """Read the changes that the store has now.

        Raises:
          StoreError: the call failed.
        """
        self._read_once(wait=_NO_WAIT_S)

    def _read_once(self, *, wait):
        """Read the store once; return whether a watch has seen changes."""
        if self._listing_due() or not self._store_cache.confirmed:
            self._relist()
        known = self._store_cache.position
        try:
            events = self._feed.watch(revision=known.revision, wait=wait)
        except store.HistoryLost:
            self._events.notice(
                "store-history-lost", era=known.era, after=known.revision
            )
            self._relist()
            return False
        if events.position.era != known.era:
            # The store has all of the revision's later changes again, but not
            # those before it.
            self._relist()
            return False
        self._on_store_contact()
        self._store_cache.apply_changes(events.changes, events.position)
        if not events.changes:
            self._on_confirmed()
            return False
        self._on_update(
            _store_cache.encode_update(
                items=events.changes, position=events.position
            )
        )
        self._on_confirmed()
        return True

    def _relist(self):
        """Replace the cache by a listing.

        Raises:
          StoreError: the listing failed, or is older than the cache.
        """
        known = self._store_cache.position
        listing = self._feed.list()
        if listing.position < known:
            self._log_positions("store-listing-older", known, listing.position)
            raise store.StoreUnavailable("listing is older than what is known")
        if listing.position.era != known.era:
            self._log_positions("store-restored", known, listing.position)
        self._on_store_contact()
        self._store_cache.replace_all(listing.items, listing.position)
        self._on_update(self._store_cache.update_since(known))
        self._on_confirmed()

    def _log_positions(self, name, known, listed):
        self._events.notice(
            name,
            era=listed.era,
            revision=listed.revision,
            known_era=known.era,
            known_revision=known.revision,
        )
