"""Keeps the rankings of entries between changes of the member view.

Ranking hashes every daemon that is alive. At several hundred of them that
takes longer than the rest of an entry query, and the answer only changes
with the view or the service.
"""

import collections

from wigeonrouter.entries import _homes

# Callers name their own place, so the number of keys needs a bound.
MAX_RANKINGS = 4096


class EntryPlanner:
    """Owns the rankings for the newest member view."""

    def __init__(self, *, max_rankings=MAX_RANKINGS):
        self._max_rankings = max_rankings
        self._members = ()
        self._rankings = collections.OrderedDict()

    def __len__(self):
        return len(self._rankings)

    def choose(self, *, service, place, members, rng):
        """Order the entries for a caller; see choose_entries().

        Args:
          service: a core.EffectiveService, or None where none was named.
          place: core.Place of the caller.
          members: tuple of the members that are alive.
          rng: random.Random.
        Returns:
          A tuple of Entry.
        """
        if service is None:
            return _homes.choose_entries(
                service=None, place=place, members=members, rng=rng
            )
        if members != self._members:
            self._members = members
            self._rankings.clear()
        routing = service.routing
        key = service.name, routing.entry_scope, routing.homes, place
        ranking = self._rankings.get(key)
        if ranking is None:
            ranking = _homes.rank_entries(
                service=service, place=place, members=members
            )
            self._rankings[key] = ranking
            if len(self._rankings) > self._max_rankings:
                self._rankings.popitem(last=False)
        return _homes.entries_of(ranking=ranking, place=place, rng=rng)
