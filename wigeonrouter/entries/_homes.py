"""Home daemons of services, and the entries that callers are given.

An entry is a daemon address that a caller may use. The home daemons of a
service are chosen by rendezvous hashing.
"""

import dataclasses

from wigeonrouter import core

# With this many entries a caller survives the loss of a failure domain or,
# with the entries of other regions, of its whole region.
MAX_OWN_REGION_ENTRIES = 4
MAX_OTHER_REGION_ENTRIES = 2


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Entry:
    """An address that a caller may use.

    Attributes:
      address: core.Address for callers.
      request_id_prefix: prefix of the request ids that the caller generates
        for requests that it sends to this address first.
      place: core.Place of the daemon.
      home: whether the daemon is a home of the service.
    """

    address: core.Address
    request_id_prefix: str
    place: core.Place
    home: bool


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class EntryRanking:
    """The daemons for callers at one place and one service, ranked.

    Attributes:
      homes: tuple of core.Member, the first home first.
      fallbacks: tuple of core.Member that follow the homes, in order.
    """

    homes: tuple[core.Member, ...]
    fallbacks: tuple[core.Member, ...]


def request_id_prefix(member):
    """Return the prefix of request ids that identifies a daemon process."""
    return f"{member.daemon_id}~{member.instance}"


def home_members(*, service, place, members):
    """Return the home daemons of a service for callers at a place.

    Args:
      service: core.EffectiveService.
      place: core.Place of the caller.
      members: iterable of the alive members.
    Returns:
      A list of core.Member, the first home first; empty if no daemon of the
      caller's region or failure domain is alive.
    """
    scope_key = _scope_key(service.routing.entry_scope)
    own_scope = scope_key(place)
    local = [
        member for member in members if scope_key(member.place) == own_scope
    ]
    return _rank_members(service, local)[: service.routing.homes]


def choose_entries(*, service, place, members, rng):
    """Return the entries for a caller, in order of preference.

    The homes come first, those in the caller's failure domain before the
    others. Next is the daemon that would become a home if one failed, so that
    all callers of a failed home move to the same daemon.

    Args:
      service: core.EffectiveService, or None if the caller named none.
      place: core.Place of the caller.
      members: iterable of the alive members.
      rng: random.Random; spreads callers over equivalent entries.
    Returns:
      A tuple of Entry: the caller's region first, then other regions.
    """
    if service is None:
        return _make_entries(
            ranked=_sort_by_distance(members=members, place=place, rng=rng),
            place=place,
            home_ids=frozenset(),
        )
    ranking = rank_entries(service=service, place=place, members=members)
    return build_entries(ranking=ranking, place=place, rng=rng)


def rank_entries(*, service, place, members):
    """Rank the daemons for a service; deterministic in its arguments.

    Args:
      service: core.EffectiveService.
      place: core.Place of the caller.
      members: iterable of the alive members.
    Returns:
      An EntryRanking.
    """
    homes = home_members(service=service, place=place, members=members)
    home_ids = {member.daemon_id for member in homes}
    fallbacks = [
        member
        for member in _rank_members(service, members)
        if member.daemon_id not in home_ids
    ]
    return EntryRanking(
        homes=tuple(homes), fallbacks=_limit_per_region(fallbacks, place)
    )


def build_entries(*, ranking, place, rng):
    """Return the entries of an EntryRanking for one caller.

    Args:
      ranking: EntryRanking.
      place: core.Place of the caller.
      rng: random.Random.
    Returns:
      A tuple of Entry; homes at equal distance are in random order.
    """
    homes = _sort_by_distance(members=ranking.homes, place=place, rng=rng)
    home_ids = frozenset(member.daemon_id for member in homes)
    return _make_entries(
        ranked=[*homes, *ranking.fallbacks], place=place, home_ids=home_ids
    )


def _sort_by_distance(*, members, place, rng):
    members = list(members)
    rng.shuffle(members)
    members.sort(key=lambda member: _distance(member.place, place))
    return members


def _limit_per_region(ranked, place):
    same_region = [m for m in ranked if m.place.region == place.region]
    other_regions = [m for m in ranked if m.place.region != place.region]
    return (
        *same_region[:MAX_OWN_REGION_ENTRIES],
        *_spread_over_regions(other_regions)[:MAX_OTHER_REGION_ENTRIES],
    )


def _make_entries(*, ranked, place, home_ids):
    return tuple(
        Entry(
            address=member.caller_address,
            request_id_prefix=request_id_prefix(member),
            place=member.place,
            home=member.daemon_id in home_ids,
        )
        for member in _limit_per_region(ranked, place)
    )


def _rank_members(service, members):
    by_id = {member.daemon_id: member for member in members}
    return [
        by_id[daemon_id]
        for daemon_id in core.rendezvous_order(service.name, by_id)
    ]


def _spread_over_regions(members):
    """Return the first member of each region before all other members."""
    first_of_region, rest, seen_regions = [], [], set()
    for member in members:
        if member.place.region in seen_regions:
            rest.append(member)
        else:
            seen_regions.add(member.place.region)
            first_of_region.append(member)
    return first_of_region + rest


def _scope_key(scope):
    if scope == "failure-domain":
        return lambda place: (place.region, place.failure_domain)
    return lambda place: place.region


def _distance(first, second):
    if first == second:
        return 0
    return 1 if first.region == second.region else 2
