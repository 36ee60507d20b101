"""Reads the store for a region, for as long as this node is its hub."""

import gevent

from wigeonrouter import store
from wigeonrouter.node import _mirror

# A watch that brings nothing returns after this time, so that a hub that is
# cut off from the store is noticed.
_WATCH_S = 1.0
# Changes in quick succession are read together.
_PAUSE_AFTER_CHANGE_S = 0.25
_FIRST_BACKOFF_S = 0.1
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
        self, *, mirror, feed, events, rng, on_update, on_contact, on_outage
    ):
        self._mirror = mirror
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
                    _FIRST_BACKOFF_S * 2 ** min(8, failures - 1),
                )
                gevent.sleep(backoff * self._rng.uniform(0.7, 1.3))
                continue
            failures = 0

    def _read_once(self):
        try:
            events = self._feed.watch(
                revision=self._mirror.revision, wait=_WATCH_S
            )
        except store.HistoryLost:
            self._events.notice(
                "store-history-lost", after=self._mirror.revision
            )
            self._relist()
            return
        self._on_contact()
        self._mirror.update(events.changes, events.revision)
        if not events.changes:
            return
        self._on_update(
            _mirror.render_update(
                items=events.changes, revision=events.revision
            )
        )
        gevent.sleep(_PAUSE_AFTER_CHANGE_S)

    def _relist(self):
        before = self._mirror.revision
        listing = self._feed.list()
        self._on_contact()
        self._mirror.replace(listing.items, listing.revision)
        self._on_update(self._mirror.message_since(before))
