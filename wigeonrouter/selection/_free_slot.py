"""The default policy, free_slot: a pure function over backend views."""

from wigeonrouter.selection import _load
from wigeonrouter.selection import _registry

# Queue length per server from which one request more than it has slots is sent
# to a server in another failure domain. That request starts while the response
# to the one before is still on the network; otherwise the slot would idle for
# a round-trip time.
SEND_AHEAD_QUEUE_PER_SERVER = 2


@_registry.policy("free_slot")
def choose_free_slot(*, views, request, context):
    """Choose the server with the lowest price and a free slot, else wait.

    The search starts at a random server, which breaks ties at random.
    """
    views = _load.without_backed_off(views, context.now)
    count = len(views)
    start = int(context.rng.random() * count)
    weight = 1000 * context.routing.price_per_ms
    send_ahead = context.queue_length >= SEND_AHEAD_QUEUE_PER_SERVER * count
    best, best_price, best_load = None, 0.0, 0
    for position in range(start, start + count):
        view = views[position - count if position >= count else position]
        # Under load this daemon's own requests alone fill most servers, so
        # this cheap check comes first.
        if view.in_flight >= view.server.slots and not send_ahead:
            continue
        price = view.latency * weight + _load.locality_price(
            view, request, context
        )
        if best is not None and (
            price > best_price
            or (price == best_price and view.in_flight >= best_load)
        ):
            continue
        if _load.expected_busy_slots(view, context.now) + 1 > _request_limit(
            view, context, send_ahead
        ):
            continue
        best, best_price, best_load = view, price, view.in_flight
    if best is None:
        return _registry.Wait()
    return _registry.Choice(server=best.server)


def _request_limit(view, context, send_ahead):
    limit = _load.concurrency_limit(view)
    if send_ahead and view.server.place != context.place:
        # A server below its slots has no queue that a request could wait in.
        return limit + (limit >= view.server.slots)
    return limit
