"""The tokens that a region's hub has granted to its nodes.

Handles many small orders of a few nodes, for tenants whose request rates
differ by orders of magnitude. A token counts from its grant until its request
can no longer lie in a window. The end of a request shortens this time, since
the request was sent before. The oldest token that is not known to be spent is
taken for it: those that stay then count at least as long as they should.
"""

import collections
import dataclasses

from wigeonrouter.tenancy import _grant_bounds
from wigeonrouter.tenancy import _prior_use
from wigeonrouter.tenancy import _quota

_BUCKET_S = 0.05
_UNKNOWN = _grant_bounds.GrantLevels(
    quota=0.0,
    rate=0.0,
    level=_grant_bounds.UNLIMITED_LEVEL,
    begun=True,
    prior=None,
    prior_ledger=_quota.ANY_LEDGER,
)


@dataclasses.dataclass(kw_only=True, slots=True)
class _Account:
    """Tokens of one tenant, as deques of [end of the bucket, count].

    Attributes:
      total: sum of both deques.
      base: total at the beginning of the present interval.
      base_until: end of the interval.
      assumed: AssumedUse of earlier ledgers, None if nodes have told of it.
      reported: dict from the number of an earlier ledger to its ReportedUse.
      grants: BoundedGrants.
    """

    live: collections.deque
    spent: collections.deque
    grants: _grant_bounds.BoundedGrants
    total: int = 0
    base: int = 0
    base_until: float = 0.0
    assumed: _prior_use.AssumedUse | None = None
    reported: dict = dataclasses.field(default_factory=dict)

    def prior(self, now):
        """Return how many requests of earlier ledgers count beside those.

        What is assumed includes what is reported.
        """
        reported = sum(use.remaining(now) for use in self.reported.values())
        if self.assumed is None:
            return reported
        return max(reported, self.assumed.remaining(now))


class RegionLedger:
    """Grants the tokens of a region.

    Args:
      window: seconds over which requests are counted.
      number: tells the ledger from others.
      now: present time.
    """

    def __init__(self, *, window, number, now):
        self._window = window
        # A token counts for so long if nothing more is heard of it.
        self._counted_s = window + _quota.TOKEN_LIFETIME_S
        self._number = number
        self._began_at = now
        self._prior_until = now + window
        self._accounts = {}

    def total(self, tenant, now):
        """Return how many tokens of a tenant count at present."""
        account = self._accounts.get(tenant)
        return 0 if account is None else self._count(account, now)

    def assumed(self, tenant, now):
        """Return how many tokens count of which no node has told."""
        account = self._accounts.get(tenant)
        if account is None or account.assumed is None:
            return 0
        return account.assumed.remaining(now)

    def wanted_level(self, tenant, now):
        """Return the level of the tenant's bound that its demand needs."""
        return self._accounts[tenant].grants.wanted_level(now)

    def grant(
        self, tenant, *, wanted, capacity, now, share=None, levels=_UNKNOWN
    ):
        """Grant as many of some tokens as the capacity and bound allow.

        Args:
          capacity: how many tokens may count at a time.
          share: the capacity of the whole region, if this is a part of it.
          levels: GrantLevels.
        Returns:
          TenantGrant.
        """
        account = self._account(tenant, share or capacity, levels, now)
        total = self._count(account, now)
        if now >= account.base_until:
            account.base = total
            account.base_until = now + _prior_use.GROWTH_INTERVAL_S
        account.base = min(account.base, total)
        limit = min(capacity, account.base + _prior_use.growth(capacity))
        free = min(wanted, max(0, limit - total))
        granted = account.grants.allow(free, now)
        if granted:
            _add(account.live, now, granted)
            account.total += granted
            account.grants.take(granted, now)
        retry_after = 0.0
        if wanted and not free:
            retry_after = self._wait(account, now)
            if total < capacity:
                retry_after = min(retry_after, account.base_until - now)
        return _quota.TenantGrant(
            tenant=tenant,
            granted=granted,
            total=total + granted,
            retry_after=retry_after,
            bounded=free - granted,
        )

    def totals(self, now):
        """Return a dict from tenant to its tokens that count at present."""
        return {
            tenant: self._count(account, now)
            for tenant, account in self._accounts.items()
        }

    def settle(self, tenant, *, spent, returned, now):
        """Apply what has become of a node's unexpired tokens."""
        account = self._accounts.get(tenant)
        if account is None:
            return
        self._count(account, now)
        unused = _take(account.live, returned)
        account.total -= unused
        account.grants.take(-unused, now)
        moved = _take(account.live, spent)
        if moved:
            _add(account.spent, now, moved)

    def merge(self, tenant, history, *, capacity, now, levels=_UNKNOWN):
        """Add what a node knows of the time before this ledger.

        Args:
          history: TenantHistory.
          capacity: of the whole region.
          levels: GrantLevels.
        """
        account = self._account(tenant, capacity, levels, now)
        for age, count in sorted(history.sends, reverse=True):
            if age < self._window and count:
                _insert(account.spent, now - age, count)
                account.total += count
        if history.held:
            _add(account.live, now, history.held)
            account.total += history.held
        self._learn_prior(account, history, capacity, now)
        _compare_with_reports(account, levels)

    def _learn_prior(self, account, history, capacity, now):
        """Count what nodes were told but do not report, as if sent now.

        Requests after the statement may not be part of it.
        """
        if history.ledger == self._number:
            return
        sends = [(now - age, count) for age, count in history.sends]
        if account.assumed is not None:
            account.assumed.sends.extend(sends)
        if not history.told or history.told_age >= self._window:
            return
        use = account.reported.get(history.ledger)
        if use is None:
            use = account.reported[history.ledger] = _prior_use.ReportedUse(
                window=self._window, capacity=capacity
            )
        use.sends.extend(sends)
        statement = (now - history.told_age, history.told)
        if history.final:
            use.statements = [statement]
            use.final = True
        elif not use.final:
            use.statements.append(statement)
        use.until = now + self._window
        use.update()

    @property
    def tenants(self):
        """The tenants with tokens that may count."""
        return self._accounts.keys()

    def expire(self, now):
        """Forget the tenants without tokens that count."""
        idle = [
            tenant
            for tenant, account in self._accounts.items()
            if not self._count(account, now)
            and now >= self._prior_until
            and account.grants.is_unused(now)
        ]
        for tenant in idle:
            del self._accounts[tenant]

    def _account(self, tenant, capacity, levels, now):
        account = self._accounts.get(tenant)
        if account is None:
            account = self._accounts[tenant] = self._open(levels)
            if now < self._prior_until:
                account.assumed = _prior_use.AssumedUse(
                    window=self._window,
                    capacity=capacity,
                    until=self._prior_until,
                )
        account.grants.apply(levels)
        assumed = account.assumed
        if assumed and assumed.bound is None and levels.prior is not None:
            assumed.bound = _prior_bound(levels)
        _compare_with_reports(account, levels)
        return account

    def _open(self, levels):
        return _Account(
            live=collections.deque(),
            spent=collections.deque(),
            grants=_grant_bounds.BoundedGrants(
                levels=levels, since=self._began_at
            ),
        )

    def _count(self, account, now):
        """Drop what no longer counts; return how many tokens do."""
        account.total -= _expire(account.live, now - self._counted_s)
        account.total -= _expire(account.spent, now - self._window)
        for number, use in list(account.reported.items()):
            if now >= use.until:
                del account.reported[number]
        return account.total + account.prior(now)

    def _wait(self, account, now):
        """Return the seconds until the next token no longer counts."""
        ends = []
        if account.live:
            ends.append(account.live[0][0] + self._counted_s)
        if account.spent:
            ends.append(account.spent[0][0] + self._window)
        ends.extend(use.until for use in account.reported.values())
        if account.assumed is not None and account.assumed.remaining(now):
            ends.append(now + account.assumed.time_to_token(now))
        return max(_BUCKET_S, min(ends) - now) if ends else self._window


def _prior_bound(levels):
    if levels.prior == _grant_bounds.NO_LEVEL:
        return _grant_bounds.NOTHING
    return _grant_bounds.make_bound(
        quota=levels.quota,
        rate=levels.rate,
        level=levels.prior,
        starts=levels.prior_starts,
    )


def _compare_with_reports(account, levels):
    """Assume nothing if nodes have told of the ledger that granted last."""
    ledger = levels.prior_ledger
    if ledger in account.reported or (
        ledger == _quota.ANY_LEDGER and account.reported
    ):
        account.assumed = None


def _add(buckets, now, count):
    if buckets and now <= buckets[-1][0]:
        buckets[-1][1] += count
    else:
        buckets.append([now + _BUCKET_S, count])


def _insert(buckets, time, count):
    """Add tokens of an earlier time, so that the order is kept."""
    index = len(buckets)
    while index and buckets[index - 1][0] > time:
        index -= 1
    buckets.insert(index, [time, count])


def _take(buckets, count):
    """Remove the oldest tokens; return how many there were to remove."""
    taken = 0
    while buckets and taken < count:
        part = min(buckets[0][1], count - taken)
        buckets[0][1] -= part
        taken += part
        if not buckets[0][1]:
            buckets.popleft()
    return taken


def _expire(buckets, before):
    expired = 0
    while buckets and buckets[0][0] <= before:
        expired += buckets.popleft()[1]
    return expired
