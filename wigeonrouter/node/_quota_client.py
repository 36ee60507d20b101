"""A node's side of quotas: takes a token for each request that it sends.

Requests rarely wait, as tokens are requested ahead. One that finds none asks
the hub at once.
"""

import collections
import contextlib
import dataclasses
import time

from gevent import event

from wigeonrouter import core
from wigeonrouter import tenancy
from wigeonrouter.node import _quota_messages
from wigeonrouter.node import messages
from wigeonrouter.schema import node_pb2

_ORDER_INTERVAL_S = 0.1
# A hub that responds has granted a token by then, or has none.
_TOKEN_WAIT_S = 0.06
# Time left for the server by a request that waits for a hub.
_SERVING_TIME_S = 0.1
# Responses that come later have only tokens that have expired.
_MAX_RESPONSE_AGE_S = tenancy.TOKEN_LIFETIME_S
# A hub that has responded to no request for this time does not know quotas.
_UNKNOWN_KIND_S = 1.0
_NO_HUB_RETRY_S = 0.5
_MIN_RETRY_S = 0.1
_MAX_RETRY_S = 5.0
# Rejections of one tenant are logged once in this time.
_LOG_INTERVAL_S = 1.0


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
      responded: whether the hub has responded.
    """

    send: object = None
    hub: object = None
    sent: dict = dataclasses.field(default_factory=dict)
    sequence: int = 0
    joined_at: float = 0.0
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
        self._rng = rng
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
        self._logged_at = {}
        self._rejected = collections.Counter()

    @property
    def rejected(self):
        """Counter of requests by tenant that were rejected."""
        return self._rejected

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
            retry_after=max(
                _MIN_RETRY_S,
                min(_MAX_RETRY_S, self._wallet.time_to_token(name, now)),
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
            if _is_limited(tenant)
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
        self._ledger_id = message.ledger
        link.responded = True
        # A late response of a hub that was taken for one without quotas ends
        # the fallback.
        link.hub = None
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

    def take(self, context, *, again=False):
        """Take a token for a request, if it needs one.

        Args:
          again: whether the request was counted before.
        Returns:
          Whether the request may be sent.
        """
        if not self._is_needed(context) or self._holds_token(context):
            return True
        name = context.tenant.name
        now = self._boot_clock()
        if not again:
            self._wallet.on_arrival(name, now)
        context.token = self._wallet.take(name, now)
        return context.token is not None

    def confirm(self, context):
        """Return whether a request may be sent now.

        A token that has expired is replaced by another one if there is one.
        """
        if not self._is_needed(context) or self._holds_token(context):
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
            link.hub.note_time(now)
        orders = self._wallet.orders(now)
        if orders:
            self._send(link, orders, now)

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
        if link.sequence and now - link.joined_at > _UNKNOWN_KIND_S:
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

    def _is_needed(self, context):
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
                    return self._reject_over_quota(context, name, now)
                if self._hub_responds_since(asked_at, now):
                    return self._reject_over_quota(context, name, now)
                if self._clock() >= latest:
                    return self._reject_without_hub()
                if self._wallet.needs_order(name, now):
                    self._order_due.set()
                self._changed[name].clear()
                self._changed[name].wait(timeout=_TOKEN_WAIT_S / 2)

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
            return True
        oldest = min(link.sent.values(), default=now)
        return link.responded and now - oldest < _TOKEN_WAIT_S

    def _reject_over_quota(self, context, name, now):
        self._rejected[name] += 1
        if now - self._logged_at.get(name, -_LOG_INTERVAL_S) >= (
            _LOG_INTERVAL_S
        ):
            self._logged_at[name] = now
            self._events.notice(
                "over-quota",
                tenant=name,
                limit=context.tenant.rate,
                burst=context.tenant.burst,
                rejected=self._rejected[name],
            )
        wait = self._wallet.time_to_token(name, now)
        return messages.Rejection(
            problem=core.problems.OVER_QUOTA,
            retry_after=self._jitter(min(_MAX_RETRY_S, wait)),
        )

    def _reject_without_hub(self):
        return messages.Rejection(
            problem=core.problems.NO_SERVER,
            retry_after=self._jitter(_NO_HUB_RETRY_S),
            detail="no hub grants quota tokens",
        )

    def _jitter(self, wait):
        return max(_MIN_RETRY_S, wait) * self._rng.uniform(1.0, 1.3)


def _is_limited(tenant):
    return tenant.rate > 0 or tenant.burst > 0
