"""Follows the store: one listing, then one watch after the other."""

import time

import gevent

from wigeonrouter import store

# A watch that brings nothing returns after this time, so that a cut to the
# store is noticed.
_WAIT_S = 4.0
# Changes in quick succession are read together.
_PAUSE_AFTER_CHANGE_S = 0.25
_FIRST_BACKOFF_S = 0.1
_MAX_BACKOFF_S = 1.0


class Watcher:
    """Owns the reading of the store by this node."""

    def __init__(self, *, feed, world, events, rng, clock=time.monotonic):
        self._feed = feed
        self._world = world
        self._events = events
        self._rng = rng
        self._clock = clock
        self._revision = None
        self._failures = 0
        self._contact = float("-inf")

    @property
    def contact(self):
        """Time of the last answer of the store."""
        return self._contact

    def run(self):
        """Follow the store until the task is killed."""
        while True:
            try:
                self._step()
            except store.StoreError as error:
                self._fail(error)

    def _step(self):
        if self._revision is None:
            content = self._feed.list()
            self._succeed(content.revision)
            self._world.replace(content)
            return
        try:
            content = self._feed.watch(revision=self._revision, wait=_WAIT_S)
        except store.HistoryLost:
            self._events.notice("store-history-lost", after=self._revision)
            self._revision = None
            return
        self._succeed(content.revision)
        self._world.update(content)
        if content.records:
            gevent.sleep(_PAUSE_AFTER_CHANGE_S)

    def _succeed(self, revision):
        self._contact = self._clock()
        self._world.on_contact()
        self._revision = revision
        if self._failures:
            self._events.notice(
                "store-regained", failures=self._failures, revision=revision
            )
            self._failures = 0

    def _fail(self, error):
        self._failures += 1
        self._world.on_outage(str(error))
        if self._failures == 1:
            self._events.notice("store-lost", error=str(error))
        backoff = min(
            _MAX_BACKOFF_S, _FIRST_BACKOFF_S * 2 ** min(8, self._failures - 1)
        )
        gevent.sleep(backoff * self._rng.uniform(0.7, 1.3))
