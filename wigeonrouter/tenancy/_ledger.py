"""The tokens that a region's hub has granted to its nodes.

Handles many small orders of a few nodes, for tenants whose request rates
differ by orders of magnitude. A token counts from its grant until its request
can no longer lie in a window. The end of a request shortens this time, since
the request was sent before. The oldest token that is not known to be spent is
taken for it: those that stay then count at least as long as they should.
"""

import collections
import dataclasses
import math

from wigeonrouter.tenancy import _quota

_BUCKET_S = 0.05
# Share of its capacity that counts as used if no node knows what a previous
# hub granted. Tenants usually use about so much of their limit.
_UNKNOWN_USE = 0.6
# The total of a tenant grows by at most this share of its capacity in each
# interval, so that a new hub can bound what nobody was told of before the
# previous hub noticed that it had lost most nodes.
_GROWTH_SHARE = 0.2
_GROWTH_INTERVAL_S = 0.4
_UNSEEN_INTERVALS = 3
_MIN_GROWTH = 8
# Number that no ledger has.
_NO_LEDGER = 0
# Nodes state the age of requests up to this much too low.
_AGE_ERROR_S = 0.25


@dataclasses.dataclass(kw_only=True, slots=True)
class _PriorLedger:
    """What another ledger had granted, as far as it is not known better.

    Attributes:
      window: seconds over which requests are counted.
      capacity: of the tenant.
      statements: list of (time, total) that nodes were told of the ledger.
      final: whether the last one says what it has granted in the end.
      sends: list of (time, count) that nodes have reported themselves.
      until: when it no longer counts.
      count: requests that are in a statement but in no report.
      assumed: whether the statement is not of a ledger, but stands for usual
        use at an even rate.
    """

    window: float
    capacity: int
    statements: list = dataclasses.field(default_factory=list)
    sends: list = dataclasses.field(default_factory=list)
    final: bool = False
    until: float = 0.0
    count: int = 0
    assumed: bool = False

    def remaining(self, now):
        """Return how many of the requests still count."""
        if not self.assumed:
            return self.count
        return math.ceil(self.count * (self.until - now) / self.window)

    def update(self):
        """Set the count, after a change of the statements or sends."""
        self.count = max(
            [0]
            + [
                self._highest_total(total) - self._reported(stated_at)
                for stated_at, total in self.statements
            ]
        )

    def _highest_total(self, total):
        """Return what a total may have grown to after the statement."""
        if self.assumed or self.final:
            return total
        growth = _UNSEEN_INTERVALS * _growth(self.capacity)
        return max(total, min(self.capacity, total + growth))

    def _reported(self, stated_at):
        earliest = stated_at - self.window + _AGE_ERROR_S
        return sum(
            count
            for sent_at, count in self.sends
            if earliest <= sent_at <= stated_at
        )


@dataclasses.dataclass(kw_only=True, slots=True)
class _Account:
    """Tokens of one tenant, as deques of [end of the bucket, count].

    Attributes:
      total: sum of both deques.
      base: total at the beginning of the present interval.
      base_until: end of the interval.
      priors: dict from the number of an earlier ledger to its _PriorLedger.
    """

    live: collections.deque
    spent: collections.deque
    total: int = 0
    base: int = 0
    base_until: float = 0.0
    priors: dict = dataclasses.field(default_factory=dict)


class RegionLedger:
    """Grants the tokens of a region.

    Args:
      window: seconds over which requests are counted.
      number: tells the ledger from others.
      now: present time.
      first_start: whether no request was sent before.
    """

    def __init__(self, *, window, number, now, first_start=False):
        self._window = window
        self._number = number
        self._prior_until = now if first_start else now + window
        self._accounts = {}

    def total(self, tenant, now):
        """Return how many tokens of a tenant count at present."""
        account = self._accounts.get(tenant)
        return 0 if account is None else self._count(account, now)

    def assumed(self, tenant, now):
        """Return how many tokens count of which no node has told."""
        account = self._accounts.get(tenant)
        prior = account and account.priors.get(_NO_LEDGER)
        return 0 if prior is None else prior.remaining(now)

    def grant(self, tenant, *, wanted, capacity, now, share=None):
        """Grant as many of some tokens as the capacity allows.

        Args:
          capacity: how many tokens may count at a time.
          share: the capacity of the whole region, if this is a part of it.
        Returns:
          TenantGrant.
        """
        account = self._account(tenant, share or capacity, now)
        total = self._count(account, now)
        if now >= account.base_until:
            account.base = total
            account.base_until = now + _GROWTH_INTERVAL_S
        account.base = min(account.base, total)
        limit = min(capacity, account.base + _growth(capacity))
        granted = min(wanted, max(0, limit - total))
        if granted:
            _add(account.live, now, granted)
            account.total += granted
        retry_after = 0.0
        if wanted and not granted:
            retry_after = self._wait(account, now)
            if total < capacity:
                retry_after = min(retry_after, account.base_until - now)
        return _quota.TenantGrant(
            tenant=tenant,
            granted=granted,
            total=total + granted,
            retry_after=retry_after,
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
        account.total -= _take(account.live, returned)
        moved = _take(account.live, spent)
        if moved:
            _add(account.spent, now, moved)

    def merge(self, tenant, history, *, capacity, now):
        """Add what a node knows of the time before this ledger.

        Args:
          history: TenantHistory.
          capacity: of the whole region.
        """
        account = self._account(tenant, capacity, now)
        for age, count in sorted(history.sends, reverse=True):
            if age < self._window and count:
                _insert(account.spent, now - age, count)
                account.total += count
        if history.held:
            _add(account.live, now, history.held)
            account.total += history.held
        self._learn_prior(account, history, capacity, now)

    def _learn_prior(self, account, history, capacity, now):
        """Count what nodes were told but do not report, as if sent now.

        Requests after the statement may not be part of it.
        """
        if history.ledger == self._number:
            return
        knows = history.told and history.told_age < self._window
        number = history.ledger if knows else _NO_LEDGER
        prior = account.priors.get(number)
        if prior is None:
            if not knows:
                return
            account.priors.pop(_NO_LEDGER, None)
            prior = account.priors[number] = _PriorLedger(
                window=self._window, capacity=capacity
            )
        prior.sends.extend((now - age, count) for age, count in history.sends)
        if knows:
            statement = (now - history.told_age, history.told)
            if history.final:
                prior.statements = [statement]
                prior.final = True
            elif not prior.final:
                prior.statements.append(statement)
            prior.until = now + self._window
        prior.update()

    def expire(self, now):
        """Forget the tenants without tokens that count."""
        idle = [
            tenant
            for tenant, account in self._accounts.items()
            if not self._count(account, now) and now >= self._prior_until
        ]
        for tenant in idle:
            del self._accounts[tenant]

    def _account(self, tenant, capacity, now):
        account = self._accounts.get(tenant)
        if account is None:
            account = _Account(
                live=collections.deque(), spent=collections.deque()
            )
            if now < self._prior_until:
                unknown = round(capacity * _UNKNOWN_USE)
                account.priors[_NO_LEDGER] = _PriorLedger(
                    window=self._window,
                    capacity=capacity,
                    statements=[(self._prior_until - self._window, unknown)],
                    until=self._prior_until,
                    count=unknown,
                    assumed=True,
                )
            self._accounts[tenant] = account
        return account

    def _count(self, account, now):
        """Drop what no longer counts; return how many tokens do."""
        account.total -= _expire(
            account.live, now - self._window - _quota.TOKEN_LIFETIME_S
        )
        account.total -= _expire(account.spent, now - self._window)
        for number, prior in list(account.priors.items()):
            if now >= prior.until:
                del account.priors[number]
        return account.total + sum(
            prior.remaining(now) for prior in account.priors.values()
        )

    def _wait(self, account, now):
        """Return the seconds until the next token no longer counts."""
        ends = []
        if account.live:
            ends.append(
                account.live[0][0] + self._window + _quota.TOKEN_LIFETIME_S
            )
        if account.spent:
            ends.append(account.spent[0][0] + self._window)
        ends.extend(prior.until for prior in account.priors.values())
        return max(_BUCKET_S, min(ends) - now) if ends else self._window


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


def _growth(capacity):
    return max(_MIN_GROWTH, int(_GROWTH_SHARE * capacity))
