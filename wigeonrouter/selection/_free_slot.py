"""The default policy, free_slot: a pure function over backend views."""

from wigeonrouter.selection import _load
from wigeonrouter.selection import _registry


@_registry.policy("free_slot")
def choose_free_slot(*, views, request, context):
    """Choose the cheapest server with a free slot, else wait."""
    best, best_cost = None, None
    for view in views:
        if _load.occupied(view, context.now) + 1 > _load.capacity(view):
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
