"""The quota tokens of one node.

Handles steady and sudden demand of a few tenants out of thousands. Tokens are
requested ahead for the demand of the last seconds, so that requests rarely
wait for a round trip to the hub. A token that is not needed goes back to the
hub, whose other nodes may need it.
"""

import collections
import dataclasses
import math

from wigeonrouter.tenancy import _quota

# Time for whose expected demand tokens are held.
_PREFETCH_S = 0.6
# Mean age of the demand on which the expectation rests.
_DEMAND_MEMORY_S = 1.0
# Tokens beyond this multiple of the expected demand are returned.
_SURPLUS_RATIO = 2.0
_SEND_BUCKET_S = 0.25
# The hub's statement that it has no token is doubted after this time, since
# other nodes may have returned some.
_MAX_REFUSAL_S = 0.2
# An order without a response for this time may be repeated.
_ORDER_TIMEOUT_S = 0.5
# Tenants that a round of orders looks at although nothing happened to them.
_SWEEP_COUNT = 64
# The hub is told what became of a token until this time after its expiry. The
# token counts for longer there, so that it is not taken for another one.
_MAX_REPORT_DELAY_S = 2.0
# Tokens that expire sooner are not worth a return.
_MIN_RETURN_LIFE_S = 0.1


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class QuotaToken:
    """The right to send one request of a tenant once, until it expires.

    Attributes:
      epoch: number of the ledger that has granted it, as the wallet counts.
    """

    tenant: str
    expires: float
    epoch: int

    def is_valid(self, now):
        """Return whether a request may still be sent with it."""
        return now < self.expires


@dataclasses.dataclass(kw_only=True, slots=True)
class _Holding:
    """The tokens of one tenant, and what is known of its demand.

    Attributes:
      tokens: deque of [expiry, count], the oldest first.
      demand: requests per second, decaying.
      waiting: requests that wait for a token.
      held: tokens that requests have, of this epoch.
      spent, returned: tokens of which the hub is to be told.
      sends: deque of [time, count] of requests that were sent.
      told, told_at: total of the region that the hub stated, and when.
      told_ledger: number of the ledger that it is about.
      told_final: whether that ledger grants nothing more.
      refused_until: time before which the hub is not asked again.
      available_at: time before which the hub expects to have no token.
      ordered: tokens that the hub was asked for.
      ordered_at: when that was.
    """

    tokens: collections.deque
    sends: collections.deque
    demand: float = 0.0
    measured: float = 0.0
    waiting: int = 0
    held: int = 0
    spent: int = 0
    returned: int = 0
    told: int = 0
    told_at: float = -math.inf
    told_ledger: int = 0
    told_final: bool = False
    refused_until: float = -math.inf
    available_at: float = -math.inf
    ordered: int = 0
    ordered_at: float = -math.inf


class Wallet:
    """Holds the tokens of a node, and decides what to ask of the hub.

    Args:
      window: seconds over which requests are counted.
    """

    def __init__(self, *, window):
        self._window = window
        self._holdings = {}
        self._epoch = 0
        # Tenants to which something happened since the last orders, as keys
        # of a dict, which keeps their order.
        self._changed = {}
        self._sweep = []

    @property
    def tenant_count(self):
        """Number of tenants that are remembered."""
        return len(self._holdings)

    def on_arrival(self, tenant, now):
        """Count a request that needs a token."""
        holding = self._holding(tenant, now)
        self._decay(holding, now)
        holding.demand += 1 / _DEMAND_MEMORY_S
        self._changed[tenant] = None

    def take(self, tenant, now):
        """Return a QuotaToken for a request, None if there is none."""
        holding = self._holding(tenant, now)
        _drop_expired(holding, now)
        if not holding.tokens:
            return None
        expires = holding.tokens[0][0]
        _remove(holding.tokens, 1)
        holding.held += 1
        return QuotaToken(tenant=tenant, expires=expires, epoch=self._epoch)

    def give_back(self, token, now):
        """Take back a token whose request was not executed."""
        if token.epoch != self._epoch:
            return
        holding = self._holdings[token.tenant]
        holding.held -= 1
        if token.is_valid(now):
            holding.tokens.appendleft([token.expires, 1])
        else:
            holding.returned += _count_reportable(token.expires, 1, now)
        self._changed[token.tenant] = None

    def on_sent(self, token, now):
        """Record that the request of a token is about to be sent."""
        sends = self._holding(token.tenant, now).sends
        if sends and now < sends[-1][0] + _SEND_BUCKET_S:
            sends[-1][1] += 1
        else:
            sends.append([now, 1])

    def on_spent(self, token, now):
        """Record the end of a request that may have been executed."""
        if token.epoch != self._epoch:
            return
        holding = self._holdings[token.tenant]
        holding.held -= 1
        holding.spent += _count_reportable(token.expires, 1, now)
        self._changed[token.tenant] = None

    def change_waiting(self, tenant, change, now):
        """Record that a request begins or ends to wait for a token.

        Returns:
          The number of requests that wait.
        """
        holding = self._holding(tenant, now)
        holding.waiting += change
        self._changed[tenant] = None
        return holding.waiting

    def count_valid(self, tenant, now):
        """Return the number of tokens that take() may still return."""
        holding = self._holdings.get(tenant)
        if holding is None:
            return 0
        return sum(count for expires, count in holding.tokens if expires > now)

    def region_total(self, tenant):
        """Return the region's total that was told last, None if none was."""
        holding = self._holdings.get(tenant)
        if holding is None or holding.told_at == -math.inf:
            return None
        return holding.told

    def is_refused(self, tenant, now):
        """Return whether the hub has stated that it has no token."""
        holding = self._holdings.get(tenant)
        return holding is not None and now < holding.refused_until

    def time_to_token(self, tenant, now):
        """Return the seconds until the hub may have a token."""
        holding = self._holdings.get(tenant)
        return 0.0 if holding is None else max(0.0, holding.available_at - now)

    def needs_order(self, tenant, now):
        """Return whether a request without a token needs an order now."""
        holding = self._holding(tenant, now)
        return not holding.ordered and now >= holding.refused_until

    def orders(self, now):
        """Return the TenantOrders to send now, and count them as sent."""
        changed, self._changed = self._changed, {}
        changed.update(dict.fromkeys(self._next_sweep()))
        orders = []
        for tenant in changed:
            holding = self._holdings.get(tenant)
            if holding is None:
                continue
            self._decay(holding, now)
            order = self._order(tenant, holding, now)
            if order is not None:
                orders.append(order)
            elif self._is_idle(holding, now):
                del self._holdings[tenant]
        return tuple(orders)

    def on_grant(self, grant, *, ordered_at, now, ledger=0):
        """Add the tokens of a TenantGrant.

        Args:
          ordered_at: time when the order was sent.
          ledger: number of the ledger that has granted them.
        """
        holding = self._holding(grant.tenant, now)
        holding.ordered = 0
        self._note_total(holding, grant.total, now, ledger, final=False)
        holding.available_at = now + grant.retry_after
        if grant.retry_after:
            holding.refused_until = now + min(
                grant.retry_after, _MAX_REFUSAL_S
            )
        expires = ordered_at + _quota.TOKEN_LIFETIME_S
        if grant.granted and expires > now:
            holding.tokens.append([expires, grant.granted])
            holding.refused_until = -math.inf
        self._changed[grant.tenant] = None

    def on_total(self, tenant, total, *, now, ledger, final=False):
        """Record the region's total of a tenant, for the next hub.

        Args:
          final: whether the ledger grants nothing more.
        """
        holding = self._holding(tenant, now)
        self._note_total(holding, total, now, ledger, final=final)

    def discard(self, tenant, now):
        """Return all tokens, as the limit of a tenant was changed."""
        holding = self._holdings.get(tenant)
        if holding is not None:
            _drop_expired(holding, now)
            holding.returned += sum(count for _, count in holding.tokens)
            holding.tokens.clear()
            self._changed[tenant] = None
            holding.refused_until = -math.inf

    def join(self, now):
        """Begin with the ledger of a new hub.

        Tokens of the previous one are given up. Its hub counts the requests
        that were sent, so that the new one has to learn of them.

        Returns:
          Tuple of TenantOrder with the history of each tenant.
        """
        self._epoch += 1
        orders = []
        for tenant, holding in self._holdings.items():
            history = _quota.TenantHistory(
                sends=self._sends_by_age(holding, now),
                held=holding.held,
                told=holding.told,
                told_age=min(now - holding.told_at, 10 * self._window),
                ledger=holding.told_ledger,
                final=holding.told_final,
            )
            holding.tokens.clear()
            holding.held = holding.spent = holding.returned = (
                holding.ordered
            ) = 0
            holding.refused_until = -math.inf
            if history.sends or history.held or history.told:
                orders.append(
                    _quota.TenantOrder(tenant=tenant, history=history)
                )
        return tuple(orders)

    def _note_total(self, holding, total, now, ledger, *, final):
        holding.told, holding.told_at, holding.told_ledger = total, now, ledger
        holding.told_final = final

    def _order(self, tenant, holding, now):
        _drop_expired(holding, now)
        available = sum(count for _, count in holding.tokens)
        expected = holding.demand * _PREFETCH_S
        goal = math.ceil(expected - 0.5) + holding.waiting
        wanted = 0
        if now >= holding.ordered_at + _ORDER_TIMEOUT_S:
            holding.ordered = 0
        if not holding.ordered and now >= holding.refused_until:
            wanted = max(0, goal - available)
        returned, holding.returned = holding.returned, 0
        if available > math.ceil(_SURPLUS_RATIO * expected) + holding.waiting:
            returned += self._return(holding, available - goal, now)
        spent, holding.spent = holding.spent, 0
        if not (wanted or returned or spent):
            return None
        if wanted:
            holding.ordered = wanted
            holding.ordered_at = now
        return _quota.TenantOrder(
            tenant=tenant, wanted=wanted, spent=spent, returned=returned
        )

    def _next_sweep(self):
        """Return some tenants, all in turn."""
        if not self._sweep:
            self._sweep = list(self._holdings)
        part = self._sweep[-_SWEEP_COUNT:]
        del self._sweep[-_SWEEP_COUNT:]
        return part

    def _return(self, holding, count, now):
        """Remove up to `count` of the tokens that last longest."""
        returned = 0
        while holding.tokens and returned < count:
            expires, held = holding.tokens[-1]
            if expires - now < _MIN_RETURN_LIFE_S:
                break
            part = min(held, count - returned)
            holding.tokens[-1][1] -= part
            returned += part
            if part == held:
                holding.tokens.pop()
        return returned

    def _sends_by_age(self, holding, now):
        """Return the requests of the last window, by their least age."""
        return tuple(
            (max(0.0, now - sent - _SEND_BUCKET_S), count)
            for sent, count in holding.sends
            if now - sent < self._window + _SEND_BUCKET_S
        )

    def _is_idle(self, holding, now):
        return (
            not (
                holding.held
                or holding.waiting
                or holding.tokens
                or holding.ordered
            )
            and holding.demand < 0.01
            and not self._sends_by_age(holding, now)
            and now - holding.told_at > self._window
        )

    def _decay(self, holding, now):
        elapsed = now - holding.measured
        holding.demand *= math.exp(-elapsed / _DEMAND_MEMORY_S)
        holding.measured = now
        limit = now - self._window - _SEND_BUCKET_S
        while holding.sends and holding.sends[0][0] < limit:
            holding.sends.popleft()

    def _holding(self, tenant, now):
        holding = self._holdings.get(tenant)
        if holding is None:
            holding = self._holdings[tenant] = _Holding(
                tokens=collections.deque(),
                sends=collections.deque(),
                measured=now,
            )
        return holding


def _remove(tokens, count):
    tokens[0][1] -= count
    if not tokens[0][1]:
        tokens.popleft()


def _drop_expired(holding, now):
    """Drop tokens that have expired; the hub is to free their capacity."""
    while holding.tokens and holding.tokens[0][0] <= now:
        expires, count = holding.tokens.popleft()
        holding.returned += _count_reportable(expires, count, now)


def _count_reportable(expires, count, now):
    return count if now < expires + _MAX_REPORT_DELAY_S else 0
