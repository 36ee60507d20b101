"""How old a node's copy of the store may be.

Load pattern: a hub and most nodes of its region lose the store, without being
told, while all go on to serve requests. Finding a hub that reaches the store
takes an unknown time, so each node has to know by itself for how long nobody
has shown that its copy is current.
"""

# Shares of the deployment's bounds at which nodes read the store themselves.
# A hub confirms the copies of its followers about once a second. The nodes of
# a region begin at different times, so that the store does not get all reads
# at once and the first one that succeeds can become the hub.
_MIN_AGE_SHARE = 0.6
_MAX_AGE_SHARE = 0.75
# Bounds may be too short for any node to keep; the store gets no more reads
# than this.
_SHORTEST_AGE_S = 0.2


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
        proven_age = self.proven_age(now)
        return now - self._started_at if proven_age is None else proven_age


def catch_up_age(*, bounds, rng):
    """Return the age in seconds at which a node reads the store itself.

    What is left of the bounds is for the read.

    Args:
      bounds: Bounds of the deployment.
      rng: random.Random.
    """
    bound = min(bounds.config_apply, bounds.drain_apply)
    if bounds.revoke_strict:
        bound = min(bound, bounds.revoke_apply)
    age = bound * rng.uniform(_MIN_AGE_SHARE, _MAX_AGE_SHARE)
    return max(_SHORTEST_AGE_S, age)
