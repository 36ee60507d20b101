"""Directory of the registered backend servers.

Load pattern: the store is unavailable for seconds, and the registrations
expire in the meantime although the servers are alive. Servers whose
registrations disappeared around such an outage are kept until they have had
time to register again.
"""

import dataclasses

from wigeonrouter.topology import _records

# Alive servers register again within about this time after an outage.
REREGISTRATION_GRACE_S = 2.2
# If more than this share of the registrations disappears at once, they have
# lapsed because they were not renewed.
_MASS_LAPSE_SHARE = 0.5
# A write of a server may be executed late, but not later than this after the
# server has left.
_LATE_REGISTRATION_S = 600.0
_FORGET_INTERVAL_S = 60.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class KnownServer:
    """A registration, and when the node learned or lost it.

    Attributes:
      registration: Registration.
      learned_at: time of arrival, seconds on the monotonic clock.
      lapsed_at: time at which it lapsed in an outage of the store, None
        otherwise.
    """

    registration: _records.Registration
    learned_at: float
    lapsed_at: float | None = None


class ServerDirectory:
    """Owns the registrations of all backend servers."""

    def __init__(self):
        self._known = {}
        # The latest registration of each instance, kept for a while after the
        # server has left, so that a delayed older one does not add it again.
        self._latest_registrations = {}
        # Times at which instances with a latest registration left.
        self._left_at = {}
        self._next_forget = 0.0
        self._outage_ended_at = float("-inf")
        self._in_outage = False

    @property
    def known(self):
        """Dict from instance to KnownServer, including draining servers."""
        return self._known

    @property
    def remembered(self):
        """Number of instances whose latest registration is kept."""
        return len(self._latest_registrations)

    def on_store_outage(self):
        """Record that the store does not respond."""
        self._in_outage = True

    def on_store_contact(self, now):
        """Record that the store has responded."""
        if self._in_outage:
            self._in_outage = False
            self._outage_ended_at = now

    def put(self, registration, now):
        """Apply a registration that was written.

        Args:
          registration: Registration.
          now: seconds on the monotonic clock.
        Returns:
          Whether it is newer than the one known before.
        """
        if not self._is_newer(registration):
            return False
        self._latest_registrations[registration.instance] = registration
        self._left_at.pop(registration.instance, None)
        previous = self._known.get(registration.instance)
        learned_at = now
        if (
            previous is not None
            and previous.registration.started_ms == registration.started_ms
            and previous.registration.slow_start == registration.slow_start
        ):
            learned_at = previous.learned_at
        self._known[registration.instance] = KnownServer(
            registration=registration, learned_at=learned_at
        )
        return True

    def remove(self, instances, now):
        """Apply the removal of registrations, or that they became invalid.

        Registrations lapse together around an outage of the store, because
        they are not renewed. If only a few disappear, their servers have left,
        even if this node learns of it late.

        Args:
          instances: those that were removed together.
          now: seconds on the monotonic clock.
        """
        removed = [
            instance
            for instance in instances
            if instance in self._known and not self._known[instance].lapsed_at
        ]
        lapsed_together = self._is_near_outage(now) and len(
            removed
        ) > _MASS_LAPSE_SHARE * len(self._known)
        for instance in removed:
            known = self._known[instance]
            if lapsed_together and not _is_draining(known):
                self._known[instance] = dataclasses.replace(
                    known, lapsed_at=now
                )
            else:
                self._drop(instance, now)

    def retain_only(self, instances, now):
        """Remove all registrations but those given, after a full listing."""
        self.remove(self._known.keys() - set(instances), now)

    def expire(self, now):
        """Drop lapsed registrations that were not renewed in time.

        Returns:
          Whether any was dropped.
        """
        self._forget_left(now)
        if (
            self._in_outage
            or now - self._outage_ended_at < REREGISTRATION_GRACE_S
        ):
            return False
        lapsed = [
            instance
            for instance, known in self._known.items()
            if known.lapsed_at is not None
        ]
        for instance in lapsed:
            self._drop(instance, now)
        return bool(lapsed)

    def _drop(self, instance, now):
        del self._known[instance]
        self._left_at[instance] = now

    def _forget_left(self, now):
        """Forget servers that left so long ago that no late write can come."""
        if now < self._next_forget:
            return
        self._next_forget = now + _FORGET_INTERVAL_S
        for instance, left_at in list(self._left_at.items()):
            if now - left_at > _LATE_REGISTRATION_S:
                del self._left_at[instance]
                del self._latest_registrations[instance]

    def _is_newer(self, registration):
        latest = self._latest_registrations.get(registration.instance)
        if (
            latest is None
            or not registration.started_ms
            or not latest.started_ms
        ):
            return True
        if registration.started_ms != latest.started_ms:
            return registration.started_ms > latest.started_ms
        return registration.sequence >= latest.sequence

    def _is_near_outage(self, now):
        return (
            self._in_outage
            or now - self._outage_ended_at < REREGISTRATION_GRACE_S
        )


def _is_draining(known):
    return known.registration.state is _records.RegistrationState.DRAINING
