"""Policies kept for comparison with free_slot: pure functions over views.

Those that need to remember something return it as Choice.memory and find
it as PolicyContext.memory at the next choice.
"""

import math

from wigeonrouter.selection import _load
from wigeonrouter.selection import _registry

# hot_cold: part of the servers, by load, that counts as cold.
_COLD_QUANTILE = 0.75
# hot_cold: choices that one load report may serve, and its age limit.
_REPORT_USES = 3
_REPORT_AGE_S = 1.0
# node_status: normalised load above which the current server is left.
_STATUS_THRESHOLD = 0.5


@_registry.policy("random")
def choose_random(*, views, request, context):
    """Choose any server; the floor for comparisons."""
    return _registry.Choice(server=context.rng.choice(views).server)


@_registry.policy("round_robin")
def choose_round_robin(*, views, request, context):
    """Choose the servers in turn."""
    return _registry.Choice(server=views[context.sequence % len(views)].server)


@_registry.policy("least_in_flight")
def choose_least_in_flight(*, views, request, context):
    """Choose the server with the fewest requests of this daemon."""
    return _choose_lowest(views, context, lambda view: view.in_flight)


@_registry.policy("two_choices")
def choose_two_choices(*, views, request, context):
    """Draw two servers and choose by this daemon's requests."""
    return _choose_lowest(
        _sample(views, 2, context), context, lambda view: view.in_flight
    )


@_registry.policy("two_choices_reported")
def choose_two_choices_reported(*, views, request, context):
    """Draw two servers and choose by this daemon's requests and reports."""
    return _choose_lowest(
        _sample(views, 2, context),
        context,
        lambda view: _load.expected_busy_slots(view, context.now),
    )


@_registry.policy("hot_cold")
def choose_hot_cold(*, views, request, context):
    """Choose the fastest cold server, or the least loaded where all are hot.

    A server is hot when its requests in flight reach a quantile of those of
    all servers. A load report stands for a probe and is used a few times.
    """
    uses = context.policy_state or {}
    pool = [
        view
        for view in views
        if view.report is not None
        and context.now - view.report.received <= _REPORT_AGE_S
        and _report_uses(uses, view) < _REPORT_USES
    ]
    if len(pool) < 2:
        server = context.rng.choice(views).server
    else:
        loads = {
            view.server.name: _load.expected_busy_slots(view, context.now)
            for view in pool
        }
        ranked = sorted(loads.values())
        limit = ranked[math.ceil(_COLD_QUANTILE * (len(ranked) - 1))]
        cold = [view for view in pool if loads[view.server.name] < limit]
        if cold:
            server = _choose_lowest(cold, context, lambda v: v.latency).server
        else:
            server = _choose_lowest(
                pool, context, lambda v: loads[v.server.name]
            ).server
    chosen = next(v for v in views if v.server.name == server.name)
    received = chosen.report.received if chosen.report else None
    count = _report_uses(uses, chosen) + 1
    return _registry.Choice(
        server=server, policy_state={**uses, server.name: (received, count)}
    )


@_registry.policy("idle_queue")
def choose_idle_queue(*, views, request, context):
    """Choose the server that has reported itself idle for longest.

    A report of an idle slot is good for one request; without one the
    choice is random.
    """
    idle = [
        view
        for view in views
        if view.report is not None
        and view.report.in_flight < view.report.slots
        and view.last_used < view.report.received
    ]
    if not idle:
        return choose_random(views=views, request=request, context=context)
    oldest = min(idle, key=lambda view: view.report.received)
    return _registry.Choice(server=oldest.server)


@_registry.policy("slot_shares")
def choose_slot_shares(*, views, request, context):
    """Use only this daemon's fixed share of the slots, else wait.

    Slots are dealt to the daemons of the region in turn. A daemon that gets
    none falls back to a random server.
    """
    index, count = context.slot_share
    number, owns, best = 0, False, None
    for view in views:
        share = 0
        for _ in range(view.server.slots):
            share += number % count == index
            number += 1
        owns = owns or share > 0
        if view.in_flight < share and (
            best is None or view.in_flight < best.in_flight
        ):
            best = view
    if not owns:
        return choose_random(views=views, request=request, context=context)
    if best is None:
        return _registry.Wait()
    return _registry.Choice(server=best.server)


@_registry.policy("node_status")
def choose_node_status(*, views, request, context):
    """Stay with a server until its normalised load exceeds a threshold.

    The load is the count of current communications, min-max normalised
    over the servers. Only then the least loaded server is taken.
    """
    loads = {
        v.server.name: _load.expected_busy_slots(v, context.now) for v in views
    }
    low, high = min(loads.values()), max(loads.values())
    current = context.policy_state
    if current in loads and high > low:
        status = (loads[current] - low) / (high - low)
        if status <= _STATUS_THRESHOLD:
            server = next(v.server for v in views if v.server.name == current)
            return _registry.Choice(server=server, policy_state=current)
    choice = _choose_lowest(views, context, lambda v: loads[v.server.name])
    return _registry.Choice(
        server=choice.server, policy_state=choice.server.name
    )


def _report_uses(uses, view):
    received, count = uses.get(view.server.name, (None, 0))
    known = view.report.received if view.report else None
    return count if received == known else 0


def _sample(views, count, context):
    if len(views) <= count:
        return views
    return context.rng.sample(views, count)


def _choose_lowest(views, context, key):
    best = min(views, key=lambda view: (key(view), context.rng.random()))
    return _registry.Choice(server=best.server)
