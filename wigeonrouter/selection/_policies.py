"""Selection policies: pure functions over backend views."""

from wigeonrouter import core
from wigeonrouter.selection import _registry

# A report says less about the present the older it is; service times are a
# few milliseconds to some tens, so foreign load halves in this time.
FOREIGN_HALF_LIFE_S = 0.05


@_registry.policy("random")
def choose_random(*, views, request, context):
    """Choose any server; the floor for comparisons."""
    return _registry.Choice(server=context.rng.choice(views).server)


@_registry.policy("free_slot")
def choose_free_slot(*, views, request, context):
    """Choose the cheapest server with a free slot, else wait."""
    best, best_cost = None, None
    for view in views:
        if occupied(view, context.now) + 1 > capacity(view):
            continue
        cost = (
            view.latency * 1000 * context.routing.price_per_ms
            + place_price(view, request, context),
            view.in_flight,
            context.rng.random(),
        )
        if best is None or cost < best_cost:
            best, best_cost = view, cost
    if best is None:
        return _registry.Wait()
    return _registry.Choice(server=best.server)


def capacity(view):
    """Return how many requests a server should run at once."""
    if view.state is core.ServerState.COLD:
        return 1
    return min(view.server.slots, view.limit)


def occupied(view, now):
    """Return the expected number of busy slots of a server, a float."""
    report = view.report
    if report is None:
        return view.in_flight
    foreign = max(0, report.in_flight - report.own_in_flight)
    if foreign:
        age = max(0.0, now - report.received)
        foreign *= 0.5 ** (age / FOREIGN_HALF_LIFE_S)
        if foreign < 0.5:
            foreign = 0
    return view.in_flight + foreign


def place_price(view, request, context):
    """Return the price of leaving the own place, ms-equivalents."""
    place, routing = view.server.place, context.routing
    if place.region != context.place.region:
        kilobytes = request.body_bytes / 1024
        return (
            routing.price_region_ms
            + routing.price_per_kilobyte_region_ms * kilobytes
        )
    if place.failure_domain != context.place.failure_domain:
        return routing.price_failure_domain_ms
    return 0.0
