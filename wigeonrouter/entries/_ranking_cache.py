"""Caches entry rankings until the member view changes.

Ranking hashes every alive daemon. With several hundred daemons this takes
longer than the rest of an entry query, and the result only changes with the
member view or the service.
"""

import collections

from wigeonrouter.entries import _homes

# Callers choose the place in their query, so the number of keys needs a limit.
MAX_CACHED_RANKINGS = 4096


class EntryRankingCache:
    """Cache of the rankings for the latest member view, evicted oldest first.

    Args:
      max_cached_rankings: largest number of rankings.
    """

    def __init__(self, *, max_cached_rankings=MAX_CACHED_RANKINGS):
        self._max_cached_rankings = max_cached_rankings
        self._members = ()
        self._rankings = collections.OrderedDict()

    def __len__(self):
        return len(self._rankings)

    def choose(self, *, service, place, members, rng):
        """Return the entries for a caller; see choose_entries().

        Args:
          service: core.EffectiveService, or None if the caller named none.
          place: core.Place of the caller.
          members: tuple of the alive members.
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
            if len(self._rankings) > self._max_cached_rankings:
                self._rankings.popitem(last=False)
        return _homes.build_entries(ranking=ranking, place=place, rng=rng)
