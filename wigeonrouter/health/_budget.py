"""Limits the fleet-wide probe rate without coordination between daemons.

A scope is a region or a failure domain, depending on the service's
entry_scope. In each scope only the first home daemon of a service probes its
servers: nearly all requests of the scope pass through that daemon, so it
knows which servers need a probe. The probe rate of the service is divided
equally between the scopes that the settings name. After the owner of a scope
has changed, or after the process was paused, no tokens are added for
OWNER_CHANGE_HOLD_OFF_S. This is longer than the previous owner needs to
detect the change, so two daemons never spend the same share of the budget at
the same time.
"""

import dataclasses

# Longer than failure detection of a daemon (one exchange and 3 s of suspicion)
# plus the dissemination of the result by gossip.
OWNER_CHANGE_HOLD_OFF_S = 6.0
# A longer gap between two refills means that the process was paused.
MIN_PAUSE_S = 1.0
_MAX_TOKENS = 1.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ProbeTokenBucket:
    """Token bucket for the probes of one service in one scope.

    Attributes:
      tokens: number of probes that may be sent now.
      updated: time of the last refill, seconds on the monotonic clock.
      blocked_until: end of the hold-off, seconds on the monotonic clock.
      owner: id of the daemon that was the prober at the last refill.
    """

    tokens: float = 0.0
    updated: float = 0.0
    blocked_until: float = 0.0
    owner: str | None = None


def new_token_bucket(*, now):
    """Return an empty bucket with a hold-off that starts now, seconds."""
    return ProbeTokenBucket(
        updated=now, blocked_until=now + OWNER_CHANGE_HOLD_OFF_S
    )


def scope_rate(*, service, place):
    """Return the probe rate of a daemon's scope, in probes per second.

    The budget is divided by the number of scopes in the settings and not by
    that of live scopes, on which daemons disagree during a network
    partition. The rate is 0 if the settings name no server in the scope.

    Args:
      service: core.EffectiveService.
      place: core.Place of the daemon.
    """
    if service.routing.entry_scope == "failure-domain":
        scopes = {server.place for server in service.servers}
        own_scope = place
    else:
        scopes = {server.place.region for server in service.servers}
        own_scope = place.region
    if own_scope not in scopes:
        return 0.0
    return service.health.probes_per_second / len(scopes)


def refill(*, bucket, rate, owner, daemon_id, now):
    """Return the bucket with the tokens gained since the last refill.

    A change of the owner or a gap of more than MIN_PAUSE_S starts the
    hold-off. A daemon that is not the owner has no tokens.

    Args:
      bucket: ProbeTokenBucket.
      rate: probes per second of the scope.
      owner: id of the daemon that is the prober now, or None.
      daemon_id: id of this daemon.
      now: seconds on the monotonic clock.
    """
    blocked_until = bucket.blocked_until
    if owner != bucket.owner or now - bucket.updated > MIN_PAUSE_S:
        blocked_until = now + OWNER_CHANGE_HOLD_OFF_S
    tokens = 0.0
    if owner == daemon_id and now >= blocked_until:
        gained = rate * (now - bucket.updated)
        tokens = min(_MAX_TOKENS, bucket.tokens + gained)
    return ProbeTokenBucket(
        tokens=tokens, updated=now, blocked_until=blocked_until, owner=owner
    )


def take_token(bucket):
    """Return the bucket without one token, or None if it has none."""
    if bucket.tokens < 1.0:
        return None
    return dataclasses.replace(bucket, tokens=bucket.tokens - 1.0)
