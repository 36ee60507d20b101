"""Bounds probes for the whole fleet, without messages between daemons.

The first home daemon of a service in an area (a region or a failure domain,
by the service's entry scope) is its only prober there, since it sees nearly
all of the area's requests and so knows which servers need a probe. Each area
that the settings name has an equal, fixed part of the budget. After the
owner of a part changed, or after a pause, nobody spends it for longer than
the old owner needs to learn of the change, so that two daemons never spend
the same part at once.
"""

import dataclasses

# Longer than the detection of a dead daemon (one exchange, 3 s of suspicion)
# and the spreading of that news.
HOLD_OFF_S = 6.0
# A gap between two ticks of this length means that the process was paused.
PAUSE_S = 1.0
_MAX_TOKENS = 1.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ProbeShare:
    """One daemon's part of a service's probe budget.

    Attributes:
      tokens: probes that may be sent now.
      updated: time of the last update, seconds.
      blocked_until: no probe before this time, seconds.
      owner: id of the daemon that owned the part at the last update.
    """

    tokens: float = 0.0
    updated: float = 0.0
    blocked_until: float = 0.0
    owner: str | None = None


def new_share(*, now):
    """Return the share of a daemon that has just started."""
    return ProbeShare(updated=now, blocked_until=now + HOLD_OFF_S)


def area_rate(*, service, place):
    """Return the probes per second that the area of a place may spend.

    The divisor comes from the settings and not from the live view, which
    daemons that lost each other do not share. An area without servers in
    the settings has no part.

    Args:
      service: core.EffectiveService.
      place: core.Place of the daemon.
    """
    if service.routing.entry_scope == "failure-domain":
        areas = {server.place for server in service.servers}
        own = place
    else:
        areas = {server.place.region for server in service.servers}
        own = place.region
    if own not in areas:
        return 0.0
    return service.health.probes_per_second / len(areas)


def refill(*, share, rate, owner, daemon_id, now):
    """Return the share after the time that has passed.

    Args:
      share: ProbeShare.
      rate: probes per second of the area.
      owner: id of the present owner, or None.
      daemon_id: this daemon.
      now: seconds on the monotonic clock.
    """
    blocked_until = share.blocked_until
    if owner != share.owner or now - share.updated > PAUSE_S:
        blocked_until = now + HOLD_OFF_S
    tokens = 0.0
    if owner == daemon_id and now >= blocked_until:
        gained = rate * (now - share.updated)
        tokens = min(_MAX_TOKENS, share.tokens + gained)
    return ProbeShare(
        tokens=tokens, updated=now, blocked_until=blocked_until, owner=owner
    )


def spend(share):
    """Return the share after one probe, or None if it has no token."""
    if share.tokens < 1.0:
        return None
    return dataclasses.replace(share, tokens=share.tokens - 1.0)
