"""Home daemons of services and answers to "which entry"."""

import dataclasses

from wigeonrouter import core

# Enough for a caller to survive the loss of a failure domain.
MAX_ENTRIES = 6


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


def request_id_prefix(member):
    """Return the start of request ids that name a daemon's incarnation."""
    return f"{member.daemon_id}~{member.incarnation}"


def home_members(*, service, place, members):
    """Return the home daemons of a service for callers at a place.

    Args:
      service: a core.EffectiveService.
      place: core.Place of the caller.
      members: an iterable of the members that are alive.
    Returns:
      A list of core.Member, the first home first.
    """
    area = _area(service.routing.entry_scope)
    local = {m.daemon_id: m for m in members if area(m.place) == area(place)}
    order = core.rendezvous_order(service.name, local)
    return [local[name] for name in order[: service.routing.homes]]


def choose_entries(*, service, place, members, rng):
    """Order the entries that a caller should use.

    Args:
      service: a core.EffectiveService, or None where none was named.
      place: core.Place of the caller.
      members: an iterable of the members that are alive.
      rng: random.Random; spreads callers over equal entries.
    Returns:
      A tuple of at most MAX_ENTRIES Entry: homes first, then the caller's
      failure domain, its region, and other regions.
    """
    homes = []
    if service is not None:
        homes = home_members(service=service, place=place, members=members)
        homes.sort(key=lambda m: _distance(m.place, place))
    named = {member.daemon_id for member in homes}
    others = [m for m in members if m.daemon_id not in named]
    rng.shuffle(others)
    others.sort(key=lambda m: _distance(m.place, place))
    return tuple(
        Entry(
            address=member.caller_address,
            request_id_prefix=request_id_prefix(member),
            place=member.place,
            home=member.daemon_id in named,
        )
        for member in (homes + others)[:MAX_ENTRIES]
    )


def _area(scope):
    if scope == "failure-domain":
        return lambda place: (place.region, place.failure_domain)
    return lambda place: place.region


def _distance(first, second):
    if first == second:
        return 0
    return 1 if first.region == second.region else 2
