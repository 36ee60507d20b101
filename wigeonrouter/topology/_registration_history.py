"""Remembers the latest registration of each backend server.

Load pattern: registrations arrive late or again. A write may be executed
seconds after its server has left. A store that was restored from a copy lists
servers that have left or drain since the copy was made; their registrations
look as they did before. A server may also start again under its instance while
its clock is behind, so that it seems to have started before.

What cannot be told apart at once is doubted until a later listing, which has
only the registrations that live servers renew.
"""

from wigeonrouter.topology import _records

# A write of a server may be executed late, but not later than this after the
# server has left.
_LATE_REGISTRATION_S = 600.0
_FORGET_INTERVAL_S = 60.0
# After this time the store has removed the registrations that nobody renews,
# so those that it still lists belong to live servers.
_LAPSE_S = 10.0
# All nodes of a region have the same doubts, but some a moment later.
_LISTING_DELAY_S = 0.5


class RegistrationHistory:
    """Decides which registrations are newer than those seen before.

    All times are seconds on the monotonic clock.
    """

    def __init__(self):
        # Pairs (start in ms, sequence) of the latest registrations, kept for
        # a while after the server has left.
        self._latest = {}
        self._left_at = {}
        self._next_forget = 0.0
        # Instances whose listed registration may be over.
        self._doubted = set()
        self._doubted_until = float("-inf")

    @property
    def remembered(self):
        """Number of instances whose latest registration is kept."""
        return len(self._latest)

    def accept(self, registration, now, *, listed):
        """Record a registration and return whether it is the newest one.

        Args:
          registration: Registration.
          now: the present time.
          listed: whether it comes from a listing, so that it may have been
            written long ago.
        """
        instance = registration.instance
        if not self._is_newer(registration, listed):
            if not listed:
                self._doubted.add(instance)
                self._doubted_until = now + _LAPSE_S
            return False
        self._latest[instance] = _stamp(registration)
        self._left_at.pop(instance, None)
        if not listed:
            self._doubted.discard(instance)
        return True

    def on_left(self, instance, now):
        """Record that a server has left."""
        self._left_at[instance] = now

    def on_store_restored(self, now):
        """Doubt listed registrations of all servers that were seen before."""
        self._doubted = set(self._latest)
        self._doubted_until = now + _LAPSE_S

    def on_listing(self, now):
        """Record a complete listing of the store, before it is applied.

        What it has is believed if doubts have lasted long enough.
        """
        if now < self._doubted_until:
            return
        for instance in self._doubted:
            self._latest.pop(instance, None)
            self._left_at.pop(instance, None)
        self._doubted.clear()

    def listing_due(self, now):
        """Return whether a new listing would end the doubts."""
        due_at = self._doubted_until + _LISTING_DELAY_S
        return bool(self._doubted) and now >= due_at

    def departures(self, draining):
        """Return the Departures that a restored store may have lost.

        Args:
          draining: iterable of the Registrations that drain.
        Returns:
          A tuple of Departure, empty unless the store was restored lately.
        """
        over = self._doubted & self._left_at.keys()
        over |= {
            registration.instance
            for registration in draining
            if registration.instance in self._doubted
        }
        return tuple(
            _records.Departure(
                instance=instance,
                started_ms=self._latest[instance][0],
                sequence=self._latest[instance][1],
            )
            for instance in sorted(over)
        )

    def recall(self, departure, now):
        """Record a Departure that another node has seen.

        Returns:
          Whether the server was not known to be registered since.
        """
        instance = departure.instance
        stamp = (departure.started_ms, departure.sequence)
        if self._latest.get(instance, stamp) > stamp:
            return False
        self._latest[instance] = stamp
        self._left_at[instance] = now
        self._doubted.add(instance)
        self._doubted_until = max(self._doubted_until, now + _LAPSE_S)
        return True

    def forget(self, now):
        """Forget servers that left so long ago that no late write can come."""
        if now < self._next_forget:
            return
        self._next_forget = now + _FORGET_INTERVAL_S
        for instance, left_at in list(self._left_at.items()):
            if now - left_at > _LATE_REGISTRATION_S:
                del self._left_at[instance]
                del self._latest[instance]
                self._doubted.discard(instance)

    def _is_newer(self, registration, listed):
        instance = registration.instance
        if instance not in self._latest:
            return True
        started_ms, sequence = self._latest[instance]
        doubted = listed and instance in self._doubted
        starts_known = registration.started_ms and started_ms
        if not starts_known and not doubted:
            return True
        if registration.started_ms != started_ms:
            return registration.started_ms > started_ms or not starts_known
        if doubted and instance in self._left_at:
            return registration.sequence > sequence
        return registration.sequence >= sequence


def _stamp(registration):
    return registration.started_ms, registration.sequence
