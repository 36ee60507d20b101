"""The quota of a tenant, and the records that nodes and hubs exchange.

All times are in seconds.
"""

import dataclasses
import math
import zlib

from wigeonrouter.tenancy import _region_shares

# A token that was not used this long after the node's request for it expires.
TOKEN_LIFETIME_S = 1.5
# Numbers that no ledger has.
NO_LEDGER = 0
ANY_LEDGER = -1
# Share of the overage and of the slack that hubs grant. The rest is left to
# nodes that are partitioned from most of their region.
_GRANTED_OVERAGE_SHARE = 0.8
_GRANTED_SLACK_SHARE = 0.8


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class QuotaRules:
    """How the quota of each tenant follows from its limit.

    Attributes:
      window: seconds over which requests are counted.
      overage: share by which a limit may be exceeded.
      slack: requests by which it may be exceeded besides.
      regions: sorted tuple of the regions that share the quota.
      region: the region whose share is asked for.
      shares: _region_shares.Shares.
      lowered: dict from tenant to the parts to which the region's share is
        lowered.
    """

    window: float
    overage: float
    slack: float
    regions: tuple[str, ...]
    region: str
    shares: _region_shares.Shares = _region_shares.Shares()
    lowered: dict = dataclasses.field(default_factory=dict)

    def whole(self, tenant):
        """Return how many all regions together may send in a window."""
        return self._granted(tenant)

    def capacity(self, tenant):
        """Return how many requests the region may send in a window."""
        return self._share(tenant, self._granted(tenant))

    def reserve(self, tenant):
        """Return how many its minorities may send in a window besides."""
        limit = self._limit(tenant)
        bound = math.floor(limit * (1 + self.overage) + self.slack)
        return self._share(tenant, bound - self._granted(tenant))

    def equal_share(self, tenant):
        """Return what a region may send if all have equal shares.

        It does not change while the regions exchange parts of the quota.
        """
        return self._granted(tenant) / len(self.regions)

    def equal_rate(self, tenant):
        """Return the tokens per second of an equal share of the limit."""
        return tenant.rate / len(self.regions)

    def _granted(self, tenant):
        return math.floor(
            self._limit(tenant) * (1 + self.overage * _GRANTED_OVERAGE_SHARE)
            + self.slack * _GRANTED_SLACK_SHARE
        )

    def _limit(self, tenant):
        return tenant.rate * self.window + tenant.burst

    def _share(self, tenant, total):
        """Divide whole requests, so that the shares add up to the total.

        The first of the regions that get one more differs by tenant.
        """
        listed = self.shares.parts.get(tenant.name)
        lowered = self.lowered.get(tenant.name)
        if listed is not None or lowered is not None:
            parts = self.shares.of(tenant.name, self.regions)
            own = parts.get(self.region, 0)
            if lowered is not None:
                own = min(own, lowered)
            return total * own // _region_shares.PARTS
        count = len(self.regions)
        offset = zlib.crc32(tenant.name.encode())
        index = (self.regions.index(self.region) + offset) % count
        return total // count + (index < total % count)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TenantHistory:
    """What a node knows of a tenant when it joins a hub.

    Attributes:
      sends: tuple of (age, count) of the node's own requests.
      held: tokens that requests in progress hold.
      told: total of the region that the previous hub stated, 0 if unknown.
      told_age: age of that statement.
      ledger: number of the ledger that it is about.
      final: whether the ledger granted nothing after that statement.
    """

    sends: tuple[tuple[float, int], ...]
    held: int
    told: int
    told_age: float
    ledger: int = 0
    final: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TenantOrder:
    """What a node asks of its hub for a tenant.

    Attributes:
      wanted: number of tokens.
      spent: tokens whose requests have ended since the last order.
      returned: tokens that the node does not need.
      history: TenantHistory in the first order after joining, else None.
    """

    tenant: str
    wanted: int = 0
    spent: int = 0
    returned: int = 0
    history: TenantHistory | None = None


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TenantGrant:
    """What a hub grants a node for a tenant.

    Attributes:
      granted: number of tokens.
      total: tokens of the region that count at present.
      retry_after: time until the ledger may have a token, 0 if it has one.
      bounded: tokens that are not granted until a higher level is stored.
    """

    tenant: str
    granted: int
    total: int
    retry_after: float = 0.0
    bounded: int = 0
