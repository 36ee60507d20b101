"""The hub's side of quotas: grants the tokens of its region."""

import collections

from wigeonrouter import tenancy
from wigeonrouter.node import _quota_messages
from wigeonrouter.schema import node_pb2

# A hub that did nothing for this time was suspended. Its followers may have
# another hub by now.
_SUSPENSION_S = 1.0
# Time in which it notices that they have left.
_RECOVERY_S = 1.5
_EXPIRY_INTERVAL_S = 5.0
# Orders wait at most so long until the store has that the ledger has begun.
_BEGIN_WAIT_S = 0.4
# A ledger that knows no tokens of a tenant after this time has granted none
# that count, nor have earlier ones.
_IDLE_S = 10.0
# Followers that know the hub's own use of tokens, should it end.
_TOTALS_RECEIVERS = 3
# A side of a partition with more than this share of the nodes has the whole
# share of the region.
_MAJORITY = 0.5
# Share of its capacity from which on a tenant is near its limit.
_NEAR_LIMIT = 0.9


class QuotaHub:
    """Serves the orders of this node and its followers while it is the hub.

    Args:
      tenants: function that returns a dict from name to topology.Tenant.
      capacity: function from a topology.Tenant to how many of its tokens may
        count at a time.
      share: function from a topology.Tenant to the same for the whole region,
        which a previous hub may have granted.
      basis: function from a topology.Tenant to the pair (quota, rate) to
        which the bounds of grants are proportional, see tenancy.GrantLevels.
      levels: QuotaLevels or FallbackLevels.
      window: seconds over which requests are counted.
      ledger_id: number that tells this ledger from others.
      events: events.EventLog.
      clock: function that returns seconds that also count while the machine
        is suspended.
    """

    def __init__(
        self,
        *,
        tenants,
        capacity,
        share,
        basis,
        levels,
        window,
        ledger_id,
        events,
        clock,
    ):
        self._tenants = tenants
        self._capacity = capacity
        self._share = share
        self._basis = basis
        self._levels = levels
        self._ledger_id = ledger_id
        self._events = events
        self._clock = clock
        self._ledger = tenancy.RegionLedger(
            window=window,
            number=ledger_id,
            now=clock(),
        )
        self._began_at = clock()
        # Tenants that were granted tokens for this node itself since the last
        # totals. No other node has been told of these.
        self._granted_locally = set()
        # Tenants of whose earlier use nothing was known.
        self._unknown = set()
        # Dict from tenant to the most tokens that a node lacked in one order
        # since take_missing().
        self._missing = {}
        # Dict from host to the sequence number of its last request.
        self._sequences = {}
        self._counts = collections.Counter()
        self._last_active = clock()
        self._suspended_until = float("-inf")
        self._expire_at = clock() + _EXPIRY_INTERVAL_S

    @property
    def ledger_id(self):
        """Number that tells this ledger from others."""
        return self._ledger_id

    @property
    def counts(self):
        """Tokens `granted`, `refused`, `bounded`, `spent` and `returned`."""
        return self._counts

    @property
    def answers(self):
        """Whether orders are answered, which waits for the store."""
        waited = self._clock() - self._began_at
        return self._levels.begun or waited >= _BEGIN_WAIT_S

    def wait_until_it_answers(self):
        """Wait until orders are answered, a short time after the start."""
        waited = self._clock() - self._began_at
        if not self._levels.begun and waited < _BEGIN_WAIT_S:
            self._levels.wait_begun(_BEGIN_WAIT_S - waited)

    def on_join(self, host):
        """Expect the first request of a follower that has joined."""
        self._sequences[host] = 0

    def totals_receivers(self):
        """Return the hosts of the followers that get the totals.

        Those that order tokens know more totals than others.
        """
        hosts = sorted(
            self._sequences, key=lambda host: (-self._sequences[host], host)
        )
        return hosts[:_TOTALS_RECEIVERS]

    def on_leave(self, host):
        """Forget a follower."""
        self._sequences.pop(host, None)

    def serve_message(self, host, message):
        """Return the PeerMessage with the grants for a QuotaRequest.

        None if the request was received before.
        """
        last = self._sequences.get(host, 0)
        if message.sequence <= last:
            return None
        self._sequences[host] = message.sequence
        grants = self.serve(
            _quota_messages.decode_orders(message), ledger=message.ledger
        )
        return node_pb2.PeerMessage(
            quota_grant=_quota_messages.encode_grant(
                sequence=message.sequence,
                grants=grants,
                ledger=self._ledger_id,
            )
        )

    def serve(self, orders, *, ledger):
        """Apply some orders.

        Args:
          orders: tuple of tenancy.TenantOrder.
          ledger: number of the ledger that the node knew last.
        Returns:
          Tuple of tenancy.TenantGrant.
        """
        now = self._clock()
        suspended = self.check_suspended(now)
        tenants = self._tenants()
        grants = []
        for order in orders:
            tenant = tenants.get(order.tenant)
            if tenant is None:
                continue
            share = self._share(tenant)
            quota, rate = self._basis(tenant)
            levels = self._levels.levels(tenant.name, quota=quota, rate=rate)
            self._learn(order, share, levels, ledger, suspended, now)
            grant = self._ledger.grant(
                order.tenant,
                wanted=order.wanted,
                capacity=0 if suspended else self._capacity(tenant),
                share=share,
                now=now,
                levels=levels,
            )
            self._want_level(tenant.name, now)
            self._note_assumed(tenant.name, share, now)
            self._counts["granted"] += grant.granted
            self._counts["bounded"] += grant.bounded
            self._note_refused(
                tenant.name, order.wanted - grant.granted - grant.bounded
            )
            grants.append(grant)
        return tuple(grants)

    def serve_local(self, orders, *, ledger):
        """Apply the orders of this node itself; see serve()."""
        grants = self.serve(orders, ledger=ledger)
        self._granted_locally.update(
            grant.tenant for grant in grants if grant.granted
        )
        return grants

    def take_totals(self):
        """Return the totals that only this node knows, None without any.

        Called at least with each heartbeat, also without tenants. A gap in
        these calls shows that the hub was suspended.

        Returns:
          PeerMessage for the nodes that report them to the next hub.
        """
        now = self._clock()
        self.check_suspended(now)
        names, self._granted_locally = self._granted_locally, set()
        if not names:
            return None
        grant = _quota_messages.encode_grant(
            sequence=0,
            grants=[
                tenancy.TenantGrant(
                    tenant=name,
                    granted=0,
                    total=self._ledger.total(name, now),
                )
                for name in sorted(names)
            ],
            ledger=self._ledger_id,
        )
        return node_pb2.PeerMessage(quota_grant=grant)

    def final_totals(self):
        """Return a dict from tenant to its tokens, as the hub steps down.

        It is empty after a suspension, in which another hub may have begun.
        """
        now = self._clock()
        return {} if self.check_suspended(now) else self._ledger.totals(now)

    def total(self, tenant):
        """Return how many tokens of a tenant count at present."""
        return self._ledger.total(tenant, self._clock())

    def count_near_limit(self):
        """Return how many tenants have used most of their capacity."""
        tenants = self._tenants()
        return sum(
            total >= _NEAR_LIMIT * self._capacity(tenants[name])
            for name, total in self._ledger.totals(self._clock()).items()
            if total and name in tenants and tenants[name].is_limited
        )

    def take_missing(self):
        """Return what was refused since the last call.

        Returns:
          Dict from tenant to the most tokens of one order.
        """
        missing, self._missing = self._missing, {}
        return missing

    def check_suspended(self, now):
        """Return whether the hub was suspended a short time ago.

        A long gap between two calls shows that it was.
        """
        if now - self._last_active > _SUSPENSION_S:
            self._suspended_until = now + _RECOVERY_S
        self._last_active = now
        if now >= self._expire_at:
            self._expire_at = now + _EXPIRY_INTERVAL_S
            self._sweep(now)
        return now < self._suspended_until

    def _note_assumed(self, tenant, capacity, now):
        """Log what counts as used although no node has told of it."""
        assumed = self._ledger.assumed(tenant, now)
        if assumed and tenant not in self._unknown:
            self._unknown.add(tenant)
            self._events.notice(
                "quota-assumed",
                ledger=self._ledger_id,
                tenant=tenant,
                tokens=assumed,
                capacity=capacity,
            )

    def _note_refused(self, tenant, count):
        if count:
            self._counts["refused"] += count
            self._missing[tenant] = max(count, self._missing.get(tenant, 0))

    def _want_level(self, tenant, now):
        self._levels.want(tenant, self._ledger.wanted_level(tenant, now))

    def _sweep(self, now):
        """Forget idle tenants, and lower the levels that they had."""
        self._ledger.expire(now)
        for tenant in self._ledger.tenants:
            self._want_level(tenant, now)
        if now - self._began_at >= _IDLE_S:
            self._levels.release_unused(self._ledger.tenants)

    def _learn(self, order, capacity, levels, ledger, suspended, now):
        if order.history is not None:
            if ledger != self._ledger_id:
                self._ledger.merge(
                    order.tenant,
                    order.history,
                    capacity=capacity,
                    now=now,
                    levels=levels,
                )
        elif not suspended:
            # What was sent to a suspended hub may concern tokens that its
            # ledger has no longer.
            self._ledger.settle(
                order.tenant,
                spent=order.spent,
                returned=order.returned,
                now=now,
            )
            self._counts["spent"] += order.spent
            self._counts["returned"] += order.returned


def is_majority(fraction):
    """Return whether a part of a region has the region's whole share."""
    return fraction > _MAJORITY


def allowed_capacity(rules, tenant, fraction):
    """Return how many tokens a part of the region may have in a window.

    The minorities of a partition divide the reserve between them, so that
    all parts together stay below the limit.

    Args:
      rules: tenancy.QuotaRules.
      tenant: topology.Tenant.
      fraction: share of the region's nodes in this part.
    """
    if is_majority(fraction):
        return rules.capacity(tenant)
    return int(rules.reserve(tenant) * fraction)
