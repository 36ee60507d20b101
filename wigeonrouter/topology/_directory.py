"""Directory of the registered backend servers.

Load pattern: the store is unavailable for seconds, and the registrations
expire in the meantime although the servers are alive. Servers whose
registrations disappeared around such an outage are kept until they have had
time to register again. So are all that a restored store lacks.
"""

import dataclasses

from wigeonrouter.topology import _records
from wigeonrouter.topology import _registration_history

# Alive servers register again within about this time after an outage.
REREGISTRATION_GRACE_S = 2.2
# If more than this share of the registrations disappears at once, they have
# lapsed because they were not renewed.
_MASS_LAPSE_SHARE = 0.5


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class KnownServer:
    """A registration, and when the node learned or lost it.

    Attributes:
      registration: Registration.
      learned_at: time of arrival, seconds on the monotonic clock.
      lapsed_at: time at which it lapsed in an outage of the store, None
        otherwise.
      evacuated: whether its failure domain is evacuated.
      returned_at: time at which its failure domain was taken back into
        service, None if it was not evacuated.
    """

    registration: _records.Registration
    learned_at: float
    lapsed_at: float | None = None
    evacuated: bool = False
    returned_at: float | None = None


class ServerDirectory:
    """Owns the registrations of all backend servers."""

    def __init__(self):
        self._known = {}
        self._history = _registration_history.RegistrationHistory()
        self._outage_ended_at = float("-inf")
        self._in_outage = False

    @property
    def known(self):
        """Dict from instance to KnownServer, including draining servers."""
        return self._known

    @property
    def remembered(self):
        """Number of instances whose latest registration is kept."""
        return self._history.remembered

    @property
    def departures(self):
        """Tuple of the Departures that a restored store may have lost."""
        return self._history.departures(
            known.registration
            for known in self._known.values()
            if _is_draining(known)
        )

    def listing_due(self, now):
        """Return whether the store should be listed, to end doubts."""
        return self._history.listing_due(now)

    def on_store_outage(self):
        """Record that the store does not respond."""
        self._in_outage = True

    def on_store_contact(self, now):
        """Record that the store has responded."""
        if self._in_outage:
            self._in_outage = False
            self._outage_ended_at = now

    def put(self, registration, now, *, listed=False):
        """Apply a registration that was written.

        Args:
          registration: Registration.
          now: seconds on the monotonic clock.
          listed: whether it comes from a listing of the store.
        Returns:
          Whether it is newer than the one known before.
        """
        if not self._history.accept(registration, now, listed=listed):
            return False
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
            if lapsed_together:
                self._lapse(instance, now)
            else:
                self._drop(instance, now)

    def retain_only(self, instances, now):
        """Remove all registrations but those given, after a full listing."""
        self._history.on_listing(now)
        self.remove(self._known.keys() - set(instances), now)

    def on_store_restored(self, instances, now):
        """Apply a full listing of a store that was restored from a copy.

        The store may have lost the registrations of live servers, which
        register again.

        Args:
          instances: those that are listed.
          now: seconds on the monotonic clock.
        """
        self._history.on_store_restored(now)
        self._in_outage = False
        self._outage_ended_at = now
        for instance in self._known.keys() - set(instances):
            self._lapse(instance, now)

    def recall(self, departures, now):
        """Apply the Departures that another node has seen."""
        for departure in departures:
            if self._history.recall(departure, now):
                self._known.pop(departure.instance, None)

    def expire(self, now):
        """Drop lapsed registrations that were not renewed in time.

        Returns:
          Whether any was dropped.
        """
        self._history.forget(now)
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

    def _lapse(self, instance, now):
        """Keep a server for a while, unless it was about to leave anyway."""
        known = self._known[instance]
        if _is_draining(known):
            self._drop(instance, now)
        elif known.lapsed_at is None:
            self._known[instance] = dataclasses.replace(known, lapsed_at=now)

    def _drop(self, instance, now):
        del self._known[instance]
        self._history.on_left(instance, now)

    def _is_near_outage(self, now):
        return (
            self._in_outage
            or now - self._outage_ended_at < REREGISTRATION_GRACE_S
        )


def _is_draining(known):
    return known.registration.state is _records.RegistrationState.DRAINING
