"""Reads the store for a region, for as long as this node is its hub."""

import gevent

from wigeonrouter import store
from wigeonrouter.node import _store_cache

# A watch that brings nothing returns after this time, so that a hub that is
# cut off from the store is noticed.
_WATCH_TIMEOUT_S = 1.0
# Changes in quick succession are read together.
_BATCH_DELAY_S = 0.25
_MIN_BACKOFF_S = 0.1
_MAX_BACKOFF_S = 0.5


class StoreReader:
    """Keeps a Mirror up to date from the store.

    Args:
      mirror: Mirror.
      feed: adapter's view of the store.
      events: events.EventLog.
      on_update: called with the Update message of each change.
      on_contact: called without arguments whenever the store has answered.
      on_outage: called with the StoreError whenever it has not, and with
        the number of failures in a row.
    """

    def __init__(
        self,
        *,
        store_cache,
        feed,
        events,
        rng,
        on_update,
        on_contact,
        on_outage,
    ):
        self._store_cache = store_cache
        self._feed = feed
        self._events = events
        self._rng = rng
        self._on_update = on_update
        self._on_contact = on_contact
        self._on_outage = on_outage

    def run(self):
        """Follow the store until the task is killed."""
        failures = 0
        while True:
            try:
                self._read_once()
            except store.StoreError as error:
                failures += 1
                self._on_outage(error, failures)
                backoff = min(
                    _MAX_BACKOFF_S,
                    _MIN_BACKOFF_S * 2 ** min(8, failures - 1),
                )
                gevent.sleep(backoff * self._rng.uniform(0.7, 1.3))
                continue
            failures = 0

    def _read_once(self):
        try:
            events = self._feed.watch(
                revision=self._store_cache.revision, wait=_WATCH_TIMEOUT_S
            )
        except store.HistoryLost:
            self._events.notice(
                "store-history-lost", after=self._store_cache.revision
            )
            self._relist()
            return
        self._on_contact()
        self._store_cache.apply_changes(events.changes, events.revision)
        if not events.changes:
            return
        self._on_update(
            _store_cache.encode_update(
                items=events.changes, revision=events.revision
            )
        )
        gevent.sleep(_BATCH_DELAY_S)

    def _relist(self):
        before = self._store_cache.revision
        listing = self._feed.list()
        self._on_contact()
        self._store_cache.replace_all(listing.items, listing.revision)
        self._on_update(self._store_cache.update_since(before))
