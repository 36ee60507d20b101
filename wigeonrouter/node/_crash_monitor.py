"""Holds back requests that crash servers, and shares what is known of them.

A server counts as ended if its connection broke during a request and it
accepts no new one, neither of this node nor of others. Crashes are kept in the
store, which all nodes follow and which a node that starts reads.
"""

import time

import gevent
from gevent import event

from wigeonrouter import core
from wigeonrouter import placement
from wigeonrouter import store
from wigeonrouter.node import messages

# A request that ran by chance at a server that ended mostly succeeds at the
# next one within this time. Only then is its crash stored.
_STORE_DELAY_S = 0.5
_RETRY_INTERVAL_S = 0.3
# A suspected request is at a server; its result is known within this time.
_TRIAL_RETRY_S = 0.5


class CrashMonitor:
    """Applies the CrashHistory of a node, and stores what changes in it.

    Args:
      cluster_state: ClusterState, which has the store's crashes.
      feed: the adapter's interface to the store.
      store_era: function that returns the era of the store.
      stores_all: function that returns whether this node stores the crashes
        that any node has seen, after the store has lost them.
      has_ended: function from a topology.Registration to whether its server
        has ended, as far as can be told.
      events: events.EventLog.
    """

    def __init__(
        self,
        *,
        cluster_state,
        feed,
        store_era,
        stores_all,
        has_ended,
        events,
        clock=time.monotonic,
    ):
        self._cluster_state = cluster_state
        self._history = cluster_state.crash_history
        self._feed = feed
        self._store_era = store_era
        self._stores_all = stores_all
        self._has_ended = has_ended
        self._events = events
        self._clock = clock
        # Times of the crashes that this node has seen itself.
        self._seen_at = {}
        # Eras in which crashes were stored.
        self._stored_in = {}
        self._cleared = set()
        self._changed = event.Event()

    def check(self, digest):
        """Return a messages.Rejection if a request is blocked, or None."""
        standing = self._history.standing(digest)
        if standing is not placement.Standing.BLOCKED:
            return None
        return messages.Rejection(
            problem=core.problems.CRASHES_SERVERS,
            retry_after=self._history.block_ends_after(digest, self._clock()),
            detail=digest,
        )

    def begin(self, digest):
        """Record that a request is about to be sent to a server.

        Returns:
          None, after which end() has to be called, or a messages.Rejection.
        """
        if self._history.try_begin(digest):
            return None
        return self.check(digest) or messages.Rejection(
            problem=core.problems.CRASHES_SERVERS,
            retry_after=_TRIAL_RETRY_S,
            detail=digest,
        )

    def end(self, digest):
        """Record that a request is no longer at a server."""
        self._history.end(digest)

    def may_retry(self, digest):
        """Return whether a request may be sent to another server at once."""
        return self._history.standing(digest) is placement.Standing.CLEAR

    def on_response(self, digest):
        """Record that a server has run a request to its end."""
        cleared = self._history.record_success(digest, self._clock())
        if not cleared:
            return
        self._events.notice(
            "request-cleared", digest=digest, crashes=len(cleared)
        )
        self._cleared.update(cleared)
        self._changed.set()

    def on_disconnect(self, digest, registration):
        """Find out whether a server ended while it ran a request.

        Args:
          digest: digest of the request.
          registration: topology.Registration of the server.
        """
        if not self._has_ended(registration):
            return
        crash = self._history.record_crash(
            digest, registration.instance, self._clock()
        )
        if crash is None:
            return
        self._events.notice(
            "server-ended-under-request",
            digest=digest,
            instance=registration.instance,
            standing=self._history.standing(digest).value,
        )
        self._seen_at[crash] = self._clock()
        self._changed.set()

    def run(self):
        """Store what other nodes have to know, until killed."""
        while True:
            self._changed.wait(timeout=_STORE_DELAY_S)
            self._changed.clear()
            self._history.expire(self._clock())
            try:
                self._store_changes()
            except store.StoreError as error:
                self._events.notice("crashes-not-stored", error=str(error))
                gevent.sleep(_RETRY_INTERVAL_S)

    def _store_changes(self):
        crashes = self._history.crashes
        self._seen_at = _restrict(self._seen_at, crashes)
        cleared = [
            crash
            for crash in self._cleared
            if crash in self._stored_in
            or crash in self._cluster_state.stored_crashes
        ]
        if cleared:
            self._feed.remove_crashes(cleared)
        self._cleared.clear()
        self._stored_in = _restrict(self._stored_in, crashes)
        due = self._due(crashes)
        if due:
            self._feed.write_crashes(due)
            era = self._store_era()
            self._stored_in.update((crash, era) for crash in due)

    def _due(self, crashes):
        """Return the crashes that the store should have and may lack."""
        now, era = self._clock(), self._store_era()
        stored = self._cluster_state.stored_crashes
        return [
            crash
            for crash in crashes
            if crash not in stored
            and self._stored_in.get(crash) != era
            and (crash in self._seen_at or self._stores_all())
            and (
                now - self._seen_at.get(crash, 0.0) >= _STORE_DELAY_S
                or not self.may_retry(crash.digest)
            )
        ]


def _restrict(values, crashes):
    """Return the items of a dict by Crash whose keys still count."""
    return {
        crash: value for crash, value in values.items() if crash in crashes
    }
