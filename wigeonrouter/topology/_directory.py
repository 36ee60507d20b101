"""Backend servers that may get work, from registrations that come and go.

Load pattern: the store is down for seconds and the registrations lapse
meanwhile, although the servers live. Servers whose registration went away
around an outage are kept until they had time to register again.
"""

import dataclasses

from wigeonrouter.topology import _records

# Living servers register again within about this time after an outage.
REREGISTRATION_GRACE_S = 2.2
# Share of all registrations that go at once when they lapse.
_MASS_LAPSE_SHARE = 0.5


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class KnownServer:
    """A registration and what a node thinks of it.

    Attributes:
      learned: time at which it arrived, seconds on the monotonic clock.
      lapsed: time at which it went away in an outage, None otherwise.
    """

    registration: _records.Registration
    learned_at: float
    lapsed_at: float | None = None


class ServerDirectory:
    """Owns the registrations of all backend servers."""

    def __init__(self):
        self._known = {}
        # Latest statement of each start, kept after the server has left: a
        # delayed older statement must not bring it back.
        self._latest = {}
        self._outage_ended = float("-inf")
        self._in_outage = False

    @property
    def known(self):
        """Dict from instance to Known, leaving servers included."""
        return self._known

    def on_store_outage(self):
        """Note that the store does not answer."""
        self._in_outage = True

    def on_store_contact(self, now):
        """Note that the store answers."""
        if self._in_outage:
            self._in_outage = False
            self._outage_ended = now

    def put(self, registration, now):
        """Take over a registration that was written.

        Returns:
          Whether it says something newer than what is known.
        """
        if not self._is_newer(registration):
            return False
        self._latest[registration.instance] = registration
        before = self._known.get(registration.instance)
        learned_at = now
        if (
            before is not None
            and before.registration.started_ms == registration.started_ms
            and before.registration.slow_start == registration.slow_start
        ):
            learned_at = before.learned_at
        self._known[registration.instance] = KnownServer(
            registration=registration, learned_at=learned_at
        )
        return True

    def remove(self, instances, now):
        """Take over that registrations went away or became unreadable.

        Only when most of them go at once, around an outage of the store,
        have they lapsed for want of renewal. Single ones have left, although
        this node learned of it late.

        Args:
          instances: those that went away together.
          now: seconds on the monotonic clock.
        """
        gone = [
            instance
            for instance in instances
            if instance in self._known and not self._known[instance].lapsed_at
        ]
        keep = self._is_near_outage(now) and len(
            gone
        ) > _MASS_LAPSE_SHARE * len(self._known)
        for instance in gone:
            known = self._known[instance]
            if keep and not _is_leaving(known):
                self._known[instance] = dataclasses.replace(
                    known, lapsed_at=now
                )
            else:
                del self._known[instance]

    def retain_only(self, instances, now):
        """Remove all registrations but some, after a full read."""
        self.remove(self._known.keys() - set(instances), now)

    def expire(self, now):
        """Forget lapsed registrations whose time to return is over.

        Returns:
          Whether any was forgotten.
        """
        if (
            self._in_outage
            or now - self._outage_ended < REREGISTRATION_GRACE_S
        ):
            return False
        lapsed = [
            instance
            for instance, known in self._known.items()
            if known.lapsed_at is not None
        ]
        for instance in lapsed:
            del self._known[instance]
        return bool(lapsed)

    def _is_newer(self, registration):
        latest = self._latest.get(registration.instance)
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
            or now - self._outage_ended < REREGISTRATION_GRACE_S
        )


def _is_leaving(known):
    return known.registration.state is _records.RegistrationState.DRAINING
