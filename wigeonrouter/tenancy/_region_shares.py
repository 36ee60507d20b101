"""Moves parts of tenants' quotas between regions.

Handles callers of a tenant that are mostly in one region, or that move to
another one within minutes. Only the region that has a part gives it up. It
lowers its own share first, and the other region gets the difference when the
ledger keeps to the lowered share. So no part counts twice, whichever step is
lost.
"""

import dataclasses

# All parts of a quota. Divisible by 2 to 8, so that equal shares are whole.
PARTS = 840
# A region keeps at least this share of an equal share, for its next callers.
_KEPT_SHARE = 0.1
# A region keeps this multiple of what it uses.
_KEPT_USE = 1.25
# Transfers below this share of an equal share are not worth a write.
_MIN_TRANSFER_SHARE = 0.1
# Tenants with shares of their own. More would make the entry too large to
# send to each node of each region.
_MAX_LISTED = 512


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Demand:
    """What a region lacks.

    Attributes:
      revision: tells this statement from earlier ones.
      missing: dict from tenant to requests in a window.
    """

    region: str
    revision: int
    missing: dict


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Shares:
    """The stored shares.

    Attributes:
      revision: of the store, 0 without an entry.
      parts: dict from tenant to a dict from region to its parts of PARTS.
        Tenants that are not listed have equal shares.
    """

    revision: int = 0
    parts: dict = dataclasses.field(default_factory=dict)

    def of(self, tenant, regions):
        """Return a dict from region to the parts of a tenant's quota."""
        listed = self.parts.get(tenant)
        if listed is not None:
            return listed
        return dict.fromkeys(regions, PARTS // len(regions))


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Transfer:
    receiver: str
    parts: int
    kept: int


class ShareKeeper:
    """Decides what a region gives to others. Its hub has one.

    Args:
      region: the own region.
      regions: sorted tuple of all regions.
    """

    def __init__(self, *, region, regions):
        self._region = region
        self._regions = regions
        # Dict from tenant to the _Transfer for which the share is lowered.
        self._pending = {}
        self._base_revision = 0
        # Dict from region to the revision of its Demand that was handled.
        self._handled = {}

    @property
    def lowered(self):
        """Dict from tenant to the parts that the own region still uses."""
        return {name: move.kept for name, move in self._pending.items()}

    def on_shares(self, shares):
        """End the transfers if the stored shares have changed since.

        Either they were written, or another region's write came first.
        """
        if self._pending and shares.revision != self._base_revision:
            self._pending = {}

    def plan(self, shares, demands, usage):
        """Lower the own shares of what other regions lack.

        Args:
          shares: Shares.
          demands: iterable of Demand.
          usage: function from a tenant's name to its (tokens in use, quota of
            all regions); None for one without a limit.
        """
        if self._pending:
            return
        self._base_revision = shares.revision
        for demand in sorted(demands, key=lambda demand: demand.region):
            known = self._handled.get(demand.region)
            if demand.region == self._region or known == demand.revision:
                continue
            self._handled[demand.region] = demand.revision
            for tenant, missing in sorted(demand.missing.items()):
                self._plan_transfer(
                    shares, demand.region, tenant, missing, usage
                )

    def write(self, shares, usage):
        """Return the Shares to write, None if there are none yet.

        Args:
          shares, usage: see plan().
        """
        if not self._pending:
            return None
        parts = dict(shares.parts)
        for tenant, move in self._pending.items():
            used = usage(tenant)
            if used is None:
                continue
            tokens, quota = used
            if tokens > quota * move.kept // PARTS:
                return None
            changed = dict(shares.of(tenant, self._regions))
            changed[self._region] = move.kept
            changed[move.receiver] = changed.get(move.receiver, 0) + move.parts
            parts[tenant] = changed
        return Shares(revision=self._base_revision, parts=parts)

    def _plan_transfer(self, shares, receiver, tenant, missing, usage):
        used = usage(tenant)
        listed = tenant in shares.parts or len(shares.parts) < _MAX_LISTED
        if used is None or tenant in self._pending or not listed:
            return
        tokens, quota = used
        own = shares.of(tenant, self._regions).get(self._region, 0)
        equal = PARTS // len(self._regions)
        kept = max(
            int(_KEPT_SHARE * equal) + 1,
            int(_KEPT_USE * tokens * PARTS / max(1, quota)) + 1,
        )
        # The other regions may give as well.
        wanted = missing * PARTS // max(1, quota)
        parts = min(own - kept, wanted)
        if parts >= _MIN_TRANSFER_SHARE * equal:
            self._pending[tenant] = _Transfer(
                receiver=receiver, parts=parts, kept=own - parts
            )


def round_missing(count):
    """Return a number of missing requests that changes rarely."""
    return 1 << max(0, count - 1).bit_length() if count > 0 else 0
