"""Watches how old a node's copy of the store may be."""

import gevent

# Share of the deployment's bounds after which a copy counts as old.
_AGE_LIMIT_SHARE = 0.6
# Wait before the age of an old copy is looked at again.
_CHECK_INTERVAL_S = 0.4


class CopyMonitor:
    """Logs when nobody shows for a while that the copy is current.

    Args:
      freshness: topology.CopyFreshness.
      bounds: function that returns topology.Bounds.
      position: function that returns the store.Position of the copy.
      role: function that returns this node's topology.Role.
      events: events.EventLog.
      clock: function that returns monotonic seconds.
    """

    def __init__(self, *, freshness, bounds, position, role, events, clock):
        self._freshness = freshness
        self._bounds = bounds
        self._position = position
        self._role = role
        self._events = events
        self._clock = clock

    def run(self):
        """Watch the age of the copy until the task is killed."""
        while True:
            remaining = self._age_limit() - self._age()
            if remaining > 0:
                gevent.sleep(remaining)
                continue
            self._notice("store-copy-old")
            while self._age() >= self._age_limit():
                gevent.sleep(_CHECK_INTERVAL_S)
            self._notice("store-copy-current")

    def _age_limit(self):
        bounds = self._bounds()
        return _AGE_LIMIT_SHARE * min(bounds.config_apply, bounds.drain_apply)

    def _age(self):
        return self._freshness.age(self._clock())

    def _notice(self, name):
        position = self._position()
        role = self._role()
        self._events.notice(
            name,
            age_ms=round(self._age() * 1000),
            era=position.era,
            revision=position.revision,
            role=role.kind.value,
            hub=role.hub,
        )
