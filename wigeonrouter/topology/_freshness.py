"""How old a node's copy of the store may be.

Load pattern: a hub loses the store, without being told, while its followers
go on to serve requests. Each node has to know by itself for how long nobody
has shown that its copy is current.
"""


class CopyFreshness:
    """Tracks when a copy of the store was last known to be current.

    All times are seconds on the monotonic clock of this node.

    Args:
      now: time at which the node started.
    """

    def __init__(self, *, now):
        self._started_at = now
        self._confirmed_at = None

    def confirm(self, at):
        """Record that the copy had all changes of the store at a time."""
        if self._confirmed_at is None or at > self._confirmed_at:
            self._confirmed_at = at

    def proven_age(self, now):
        """Return the time since the copy was current, None if unknown."""
        if self._confirmed_at is None:
            return None
        return now - self._confirmed_at

    def age(self, now):
        """Return for how long the copy may have been outdated at most.

        Before the copy was ever known to be current, it is the time since the
        node's start.
        """
        if self._confirmed_at is None:
            return now - self._started_at
        return now - self._confirmed_at
