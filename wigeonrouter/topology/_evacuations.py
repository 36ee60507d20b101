"""Failure domains whose backend servers must get no requests.

Load pattern: the operator evacuates a failure domain, and later takes it back
into service while its servers have been idle. A new or relisted copy of the
store says which failure domains are evacuated now, but not when the others
were taken back, so that is taken from what the copy said before.
"""

import dataclasses

from wigeonrouter.topology import _records


class Evacuations:
    """Owns the set of evacuated failure domains.

    All times are seconds on the monotonic clock.
    """

    def __init__(self):
        self._evacuated = frozenset()
        # Dict from failure domain to the time when it was taken back.
        self._returned_at = {}

    @property
    def evacuated(self):
        """Frozenset of the evacuated failure domains."""
        return self._evacuated

    def apply(self, record, now):
        """Apply an EvacuationWritten or EvacuationRemoved.

        Returns:
          Whether it changes anything.
        """
        domains = {record.failure_domain}
        if isinstance(record, _records.EvacuationRemoved):
            return self.replace(self._evacuated - domains, now)
        return self.replace(self._evacuated | domains, now)

    def replace(self, evacuated, now):
        """Replace the set, by that of a complete listing of the store.

        Returns:
          Whether it differs from the one before.
        """
        evacuated = frozenset(evacuated)
        if evacuated == self._evacuated:
            return False
        for failure_domain in self._evacuated - evacuated:
            self._returned_at[failure_domain] = now
        for failure_domain in evacuated:
            self._returned_at.pop(failure_domain, None)
        self._evacuated = evacuated
        return True

    def mark(self, known):
        """Return a KnownServer that tells of the evacuation of its domain."""
        failure_domain = known.registration.place.failure_domain
        evacuated = failure_domain in self._evacuated
        returned_at = self._returned_at.get(failure_domain)
        if not evacuated and returned_at is None:
            return known
        return dataclasses.replace(
            known, evacuated=evacuated, returned_at=returned_at
        )
