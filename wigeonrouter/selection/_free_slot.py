"""The default policy, free_slot: a pure function over backend views."""

from wigeonrouter.selection import _load
from wigeonrouter.selection import _registry

# Requests in the queue per server from which on one request is sent ahead to
# a server in another failure domain. It starts while the answer before it is
# still on its way; without it such slots idle for a round-trip time.
SEND_AHEAD_WAITING = 2


@_registry.policy("free_slot")
def choose_free_slot(*, views, request, context):
    """Choose the cheapest server with a free slot, else wait."""
    best, best_cost = None, None
    ahead = context.waiting >= SEND_AHEAD_WAITING * len(views)
    usable = [v for v in views if not _load.is_paused(v, context.now)]
    for view in usable or views:
        if _load.occupied(view, context.now) + 1 > _room(view, context, ahead):
            continue
        cost = (
            view.latency * 1000 * context.routing.price_per_ms
            + _load.place_price(view, request, context),
            view.in_flight,
            context.rng.random(),
        )
        if best is None or cost < best_cost:
            best, best_cost = view, cost
    if best is None:
        return _registry.Wait()
    return _registry.Choice(server=best.server)


def _room(view, context, ahead):
    room = _load.capacity(view)
    if ahead and view.server.place != context.place:
        # A server that does not use all its slots has no queue to fill.
        return room + (room >= view.server.slots)
    return room
