"""Translates the records of `tenancy` to messages and back."""

import math

from wigeonrouter import tenancy
from wigeonrouter.schema import node_pb2

_MILLISECONDS = 1000
_MAX_COUNT = (1 << 32) - 1


def encode_request(*, sequence, orders, ledger):
    """Return the QuotaRequest of some tenancy.TenantOrders."""
    return node_pb2.QuotaRequest(
        sequence=sequence,
        orders=[_encode_order(order) for order in orders],
        ledger=ledger,
    )


def decode_orders(message):
    """Return the tuple of tenancy.TenantOrder in a QuotaRequest."""
    return tuple(_decode_order(order) for order in message.orders)


def encode_grant(*, sequence, grants, ledger):
    """Return the QuotaGrant of some tenancy.TenantGrants."""
    return node_pb2.QuotaGrant(
        sequence=sequence,
        tenants=[
            node_pb2.QuotaTotal(
                tenant=grant.tenant,
                granted=min(grant.granted, _MAX_COUNT),
                total=min(grant.total, _MAX_COUNT),
                retry_after_ms=math.ceil(grant.retry_after * _MILLISECONDS),
            )
            for grant in grants
        ],
        ledger=ledger,
    )


def decode_grants(message):
    """Return the tuple of tenancy.TenantGrant in a QuotaGrant."""
    return tuple(
        tenancy.TenantGrant(
            tenant=total.tenant,
            granted=total.granted,
            total=total.total,
            retry_after=total.retry_after_ms / _MILLISECONDS,
        )
        for total in message.tenants
    )


def _encode_order(order):
    message = node_pb2.QuotaOrder(
        tenant=order.tenant,
        wanted=order.wanted,
        spent=order.spent,
        returned=order.returned,
    )
    history = order.history
    if history is not None:
        # Ages are rounded so that requests count for longer.
        message.history.CopyFrom(
            node_pb2.QuotaHistory(
                sends=[
                    node_pb2.QuotaSends(
                        age_ms=math.floor(age * _MILLISECONDS), count=count
                    )
                    for age, count in history.sends
                ],
                held=history.held,
                told=history.told,
                told_age_ms=math.ceil(history.told_age * _MILLISECONDS),
                ledger=history.ledger,
                final=history.final,
            )
        )
    return message


def _decode_order(order):
    history = None
    if order.HasField("history"):
        history = tenancy.TenantHistory(
            sends=tuple(
                (sends.age_ms / _MILLISECONDS, sends.count)
                for sends in order.history.sends
            ),
            held=order.history.held,
            told=order.history.told,
            told_age=order.history.told_age_ms / _MILLISECONDS,
            ledger=order.history.ledger,
            final=order.history.final,
        )
    return tenancy.TenantOrder(
        tenant=order.tenant,
        wanted=order.wanted,
        spent=order.spent,
        returned=order.returned,
        history=history,
    )
