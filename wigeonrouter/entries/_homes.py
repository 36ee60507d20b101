"""Home daemons of services and answers to "which entry"."""

import dataclasses

from wigeonrouter import core

# Enough for a caller to survive the loss of a failure domain or, by the
# entries of other regions, of its whole region.
MAX_OWN_REGION_ENTRIES = 4
MAX_OTHER_REGION_ENTRIES = 2


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Entry:
    """One address that a caller may use.

    Attributes:
      request_id_prefix: start of the request ids that the caller forms for
        requests that it sends to this address first.
    """

    address: core.Address
    request_id_prefix: str
    place: core.Place
    home: bool


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Ranking:
    """The daemons that callers of one place may use for a service.

    Attributes:
      homes: tuple of core.Member, the first home first.
      others: tuple of core.Member, in the order in which they follow.
    """

    homes: tuple[core.Member, ...]
    others: tuple[core.Member, ...]


def request_id_prefix(member):
    """Return the start of request ids that name a daemon's process."""
    return f"{member.daemon_id}~{member.instance}"


def home_members(*, service, place, members):
    """Return the home daemons of a service for callers at a place.

    Args:
      service: a core.EffectiveService.
      place: core.Place of the caller.
      members: an iterable of the members that are alive.
    Returns:
      A list of core.Member, the first home first; empty where no daemon of
      the area is alive.
    """
    area = _area(service.routing.entry_scope)
    own = area(place)
    local = [member for member in members if area(member.place) == own]
    return _ranked(service, local)[: service.routing.homes]


def choose_entries(*, service, place, members, rng):
    """Order the entries that a caller should use.

    The homes come first, those of the caller's failure domain before the
    others. The daemon that would be home next comes next, so that callers
    whose home died meet again at one daemon.

    Args:
      service: a core.EffectiveService, or None where none was named.
      place: core.Place of the caller.
      members: an iterable of the members that are alive.
      rng: random.Random; spreads callers over equal entries.
    Returns:
      A tuple of Entry: the caller's region first, then other regions.
    """
    if service is None:
        return _name_entries(
            ranked=_by_distance(members=members, place=place, rng=rng),
            place=place,
            named=frozenset(),
        )
    ranking = rank_entries(service=service, place=place, members=members)
    return entries_of(ranking=ranking, place=place, rng=rng)


def rank_entries(*, service, place, members):
    """Rank the daemons for a service; depends on the arguments alone.

    Args:
      service: a core.EffectiveService.
      place: core.Place of the caller.
      members: an iterable of the members that are alive.
    Returns:
      A Ranking.
    """
    homes = home_members(service=service, place=place, members=members)
    named = {member.daemon_id for member in homes}
    others = [
        member
        for member in _ranked(service, members)
        if member.daemon_id not in named
    ]
    return Ranking(homes=tuple(homes), others=_select(others, place))


def entries_of(*, ranking, place, rng):
    """Turn a Ranking into the entries for one caller.

    Returns:
      A tuple of Entry; homes that are equally near come in random order.
    """
    homes = _by_distance(members=ranking.homes, place=place, rng=rng)
    named = frozenset(member.daemon_id for member in homes)
    return _name_entries(
        ranked=[*homes, *ranking.others], place=place, named=named
    )


def _by_distance(*, members, place, rng):
    members = list(members)
    rng.shuffle(members)
    members.sort(key=lambda member: _distance(member.place, place))
    return members


def _select(ranked, place):
    near = [m for m in ranked if m.place.region == place.region]
    far = [m for m in ranked if m.place.region != place.region]
    return (
        *near[:MAX_OWN_REGION_ENTRIES],
        *_spread_over_regions(far)[:MAX_OTHER_REGION_ENTRIES],
    )


def _name_entries(*, ranked, place, named):
    return tuple(
        Entry(
            address=member.caller_address,
            request_id_prefix=request_id_prefix(member),
            place=member.place,
            home=member.daemon_id in named,
        )
        for member in _select(ranked, place)
    )


def _ranked(service, members):
    by_id = {member.daemon_id: member for member in members}
    return [
        by_id[daemon_id]
        for daemon_id in core.rendezvous_order(service.name, by_id)
    ]


def _spread_over_regions(members):
    """Put the first member of each region before further ones."""
    firsts, rest, seen = [], [], set()
    for member in members:
        if member.place.region in seen:
            rest.append(member)
        else:
            seen.add(member.place.region)
            firsts.append(member)
    return firsts + rest


def _area(scope):
    if scope == "failure-domain":
        return lambda place: (place.region, place.failure_domain)
    return lambda place: place.region


def _distance(first, second):
    if first == second:
        return 0
    return 1 if first.region == second.region else 2
