"""A node's side of quotas: takes a token for each request that it sends.

Requests rarely wait, as tokens are requested ahead. One that finds none asks
the hub at once.
"""

import contextlib
import dataclasses
import time

from gevent import event

from wigeonrouter import tenancy
from wigeonrouter.node import _quota_messages
from wigeonrouter.node import _quota_rejections
from wigeonrouter.schema import node_pb2

_ORDER_INTERVAL_S = 0.1
# A hub that responds has granted a token by then, or has none.
_TOKEN_WAIT_S = 0.06
# Time left for the server by a request that waits for a hub.
_SERVING_TIME_S = 0.1
# Responses that come later have only tokens that have expired.
_MAX_RESPONSE_AGE_S = tenancy.TOKEN_LIFETIME_S
# A hub that responds to no request for this time is of an earlier build. The
# node leaves one that is suspended sooner, after PEER_TIMEOUT_S.
_QUOTA_SUPPORT_TIMEOUT_S = 1.5


def boot_clock():
    """Return seconds that also count while the machine is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


@dataclasses.dataclass(kw_only=True, eq=False, slots=True)
class _Link:
    """The connection to a hub.

    Attributes:
      send: function that sends a QuotaRequest, None if the hub is local.
      hub: QuotaHub of this node, or the fallback for a hub without quotas.
      sent: dict from sequence number to the time of each request.
      joined_at: when the node joined the hub.
      first_sent_at: when it sent the hub the first request, None before.
      responded: whether the hub has responded.
    """

    send: object = None
    hub: object = None
    sent: dict = dataclasses.field(default_factory=dict)
    sequence: int = 0
    joined_at: float = 0.0
    first_sent_at: float | None = None
    responded: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class QuotaState:
    """What a node knows of a tenant's quota.

    Attributes:
      rate, burst: the limit of all nodes together.
      tokens: valid tokens that this node holds for new requests.
      refused: whether the hub has stated lately that it has none.
      region_total: tokens of the region in the window, None if unknown.
      has_hub: whether this node has a hub to ask for tokens.
      retry_after: least Retry-After of a rejection, seconds.
    """

    rate: float
    burst: float
    tokens: int
    refused: bool
    region_total: int | None
    has_hub: bool
    retry_after: float


class QuotaClient:
    """Takes, orders and returns the tokens of this node.

    Args:
      tenants: function that returns a dict from name to topology.Tenant.
      window: seconds over which requests are counted.
      make_fallback: function that returns a QuotaHub with this node's part
        of the quota, for hubs of earlier builds.
      events: events.EventLog.
      rng: random.Random, for the jitter of Retry-After.
      clock: function that returns monotonic seconds.
      boot_clock: the same, that also counts while the machine is suspended.
    """

    def __init__(
        self,
        *,
        tenants,
        window,
        make_fallback,
        events,
        rng,
        clock=time.monotonic,
        boot_clock=boot_clock,
    ):
        self._tenants = tenants
        self._make_fallback = make_fallback
        self._events = events
        self._clock = clock
        self._boot_clock = boot_clock
        self._wallet = tenancy.Wallet(window=window)
        self._link = None
        self._ledger_id = 0
        self._limits = {}
        # The tenants in force, to see whether they have changed.
        self._configured = None
        self._order_due = event.Event()
        # Dict from tenant to the event that its waiting requests wait for.
        self._changed = {}
        self._rejections = _quota_rejections.QuotaRejections(
            events=events, rng=rng
        )

    @property
    def rejected(self):
        """Counter of requests by tenant that were rejected."""
        return self._rejections.counts

    @property
    def enabled(self):
        """Whether any tenant has a limit."""
        return bool(self._limits)

    def preview(self, tenant):
        """Return the QuotaState of a topology.Tenant; None without limit.

        Takes and orders no token.
        """
        if tenant is None or tenant.name not in self._limits:
            return None
        now = self._boot_clock()
        name = tenant.name
        return QuotaState(
            rate=tenant.rate,
            burst=tenant.burst,
            tokens=self._wallet.count_valid(name, now),
            refused=self._wallet.is_refused(name, now),
            region_total=self._wallet.region_total(name),
            has_hub=self._link is not None,
            retry_after=_quota_rejections.least_retry_after(
                self._wallet.time_to_token(name, now)
            ),
        )

    def configure(self):
        """Apply the limits of a changed configuration."""
        tenants = self._tenants()
        if tenants is self._configured:
            return
        self._configured = tenants
        limits = {
            tenant.name: (tenant.rate, tenant.burst)
            for tenant in tenants.values()
            if tenant.is_limited
        }
        for name, limit in limits.items():
            before = self._limits.get(name)
            if before is not None and limit != before:
                self._wallet.discard(name, self._boot_clock())
        self._limits = limits
        self._order_due.set()

    def join_local(self, hub):
        """Order from a QuotaHub of this node from now on."""
        self._join(_Link(hub=hub, joined_at=self._boot_clock()))

    def join_remote(self, send):
        """Order through a function that sends a PeerMessage to the hub."""
        self._join(_Link(send=send, joined_at=self._boot_clock()))

    def note_final_totals(self, totals):
        """Keep what this node's ledger has granted in the end.

        Args:
          totals: dict from tenant to the tokens that count.
        """
        now = self._boot_clock()
        for name, total in totals.items():
            self._wallet.on_total(
                name, total, now=now, ledger=self._ledger_id, final=True
            )

    def leave(self):
        """Stop ordering, as the hub is lost. The tokens stay valid."""
        self._link = None

    def on_grant(self, message):
        """Apply a QuotaGrant of the hub."""
        link = self._link
        if link is None or link.send is None:
            return
        link.responded = True
        if link.hub is not None:
            # A late response of a hub that was taken for one without quotas
            # ends the fallback. Its tokens are given up, and the hub learns
            # what was sent with them.
            link.hub = None
            self._rejoin(link, self._boot_clock())
        self._ledger_id = message.ledger
        grants = _quota_messages.decode_grants(message)
        if not message.sequence:
            now = self._boot_clock()
            for grant in grants:
                self._wallet.on_total(
                    grant.tenant,
                    grant.total,
                    now=now,
                    ledger=self._ledger_id,
                )
            return
        ordered_at = link.sent.pop(message.sequence, None)
        if ordered_at is not None:
            self._apply(grants, ordered_at)

    def reserve(self, context):
        """Take a token for a request, and wait for one if there is none.

        Args:
          context: RequestContext, which gets the token.
        Returns:
          messages.Rejection, None if the request may be sent.
        """
        if self.take(context):
            return None
        return self._wait(context, context.tenant.name)

    def take(self, context):
        """Take a token for a request that has arrived, if it needs one.

        Returns:
          Whether the request may be sent.
        """
        if self._needs_token(context) and not self._holds_token(context):
            self._wallet.on_arrival(context.tenant.name, self._boot_clock())
        return self.confirm(context)

    def confirm(self, context):
        """Return whether a request that was counted may be sent now.

        A token that has expired is replaced by another one if there is one.
        """
        if not self._needs_token(context) or self._holds_token(context):
            return True
        context.token = self._wallet.take(
            context.tenant.name, self._boot_clock()
        )
        return context.token is not None

    def is_valid(self, context):
        """Return whether the token of a request has not expired."""
        return context.token is None or context.token.is_valid(
            self._boot_clock()
        )

    def on_sent(self, context):
        """Record that a request is about to be sent with its token."""
        if context.token is not None:
            self._wallet.on_sent(context.token, self._boot_clock())

    def on_attempt_end(self, context, *, may_have_run):
        """Record the end of an attempt; keep the token if it did not run."""
        if context.token is not None and may_have_run:
            token, context.token = context.token, None
            self._wallet.on_spent(token, self._boot_clock())

    def release(self, context):
        """Give back the token of a request that is not sent, if it has one."""
        if context.token is not None:
            token, context.token = context.token, None
            self._wallet.give_back(token, self._boot_clock())
            self._wake(token.tenant)

    def run(self):
        """Order tokens until killed."""
        while True:
            self._order_due.wait(timeout=_ORDER_INTERVAL_S)
            self._order_due.clear()
            if self._limits:
                self._wait_for_local_hub()
                self.order()
            else:
                # Deployments without tenants pay for no more than this.
                self._order_due.wait()

    def order(self):
        """Send the orders that are due."""
        link = self._link
        if link is None:
            return
        now = self._boot_clock()
        self._check_hub(link, now)
        if link.hub is not None:
            link.hub.check_suspended(now)
        orders = self._wallet.orders(now)
        if orders:
            self._send(link, orders, now)

    def _wait_for_local_hub(self):
        if self._link is not None and self._link.hub is not None:
            self._link.hub.wait_until_it_answers()

    def _join(self, link):
        now = self._boot_clock()
        self._link = link
        self._rejoin(link, now)

    def _rejoin(self, link, now):
        orders = self._wallet.join(now)
        if orders:
            self._send(link, orders, now)
        if link.hub is not None:
            self._ledger_id = link.hub.ledger_id
        self._order_due.set()

    def _check_hub(self, link, now):
        """Fall back to an own part of the quota if the hub knows none."""
        for sequence, sent_at in list(link.sent.items()):
            if now - sent_at > _MAX_RESPONSE_AGE_S:
                del link.sent[sequence]
        if link.send is None or link.responded or link.hub is not None:
            return
        first = link.first_sent_at
        if first is not None and now - first > _QUOTA_SUPPORT_TIMEOUT_S:
            self._events.notice("quota-hub-without-quotas")
            link.hub = self._make_fallback()
            self._rejoin(link, now)

    def _send(self, link, orders, now):
        link.sequence += 1
        if link.hub is not None:
            known, self._ledger_id = self._ledger_id, link.hub.ledger_id
            grants = link.hub.serve_local(orders, ledger=known)
            self._apply(grants, now)
            return
        link.sent[link.sequence] = now
        if link.first_sent_at is None:
            link.first_sent_at = now
        link.send(
            node_pb2.PeerMessage(
                quota_request=_quota_messages.encode_request(
                    sequence=link.sequence,
                    orders=orders,
                    ledger=self._ledger_id,
                )
            )
        )

    def _apply(self, grants, ordered_at):
        now = self._boot_clock()
        for grant in grants:
            self._wallet.on_grant(
                grant,
                ordered_at=ordered_at,
                now=now,
                ledger=self._ledger_id,
            )
            self._wake(grant.tenant)

    def _wake(self, name):
        changed = self._changed.get(name)
        if changed is not None:
            changed.set()

    def _needs_token(self, context):
        tenant = context.tenant
        return tenant is not None and tenant.name in self._limits

    def _holds_token(self, context):
        """Return whether a request has a valid token; drop an expired one."""
        if context.token is None:
            return False
        if context.token.is_valid(self._boot_clock()):
            return True
        self.release(context)
        return False

    def _wait(self, context, name):
        """Wait for a token; return the Rejection if none comes."""
        started = self._clock()
        latest = max(
            started + _TOKEN_WAIT_S,
            min(context.pending.target_time, context.pending.deadline)
            - _SERVING_TIME_S,
        )
        asked_at = self._boot_clock()
        with self._waiting(name):
            while True:
                now = self._boot_clock()
                context.token = self._wallet.take(name, now)
                if context.token is not None:
                    return None
                if self._wallet.is_refused(name, now):
                    return self._reject(context.tenant, now)
                if self._hub_responds_since(asked_at, now):
                    return self._reject(context.tenant, now)
                if self._clock() >= latest:
                    return self._rejections.reject_without_hub()
                if self._wallet.needs_order(name, now):
                    self._order_due.set()
                self._changed[name].clear()
                self._changed[name].wait(timeout=_TOKEN_WAIT_S / 2)

    def _reject(self, tenant, now):
        return self._rejections.reject_over_quota(
            tenant, wait=self._wallet.time_to_token(tenant.name, now), now=now
        )

    @contextlib.contextmanager
    def _waiting(self, name):
        now = self._boot_clock()
        self._changed.setdefault(name, event.Event())
        self._wallet.change_waiting(name, 1, now)
        try:
            yield
        finally:
            now = self._boot_clock()
            if not self._wallet.change_waiting(name, -1, now):
                del self._changed[name]

    def _hub_responds_since(self, asked_at, now):
        """Return whether a hub had time to grant a token, and responds."""
        link = self._link
        if link is None:
            return False
        if now - max(asked_at, link.joined_at) < _TOKEN_WAIT_S:
            return False
        if link.hub is not None:
            return link.hub.answers
        oldest = min(link.sent.values(), default=now)
        return link.responded and now - oldest < _TOKEN_WAIT_S
