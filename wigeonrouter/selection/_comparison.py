"""Policies kept for comparison with free_slot: pure functions over views.

A policy with state returns it as Choice.policy_state and gets it back as
PolicyContext.policy_state at its next call.
"""

import math

from wigeonrouter.selection import _load
from wigeonrouter.selection import _registry

# hot_cold: quantile of the loads below which a server counts as cold.
_COLD_QUANTILE = 0.75
# hot_cold: number of choices that one load report is used for, and its maximum
# age.
_MAX_USES_PER_REPORT = 3
_MAX_REPORT_AGE_S = 1.0
# node_status: normalized load above which the current server is replaced.
_MAX_NORMALIZED_LOAD = 0.5


@_registry.policy("random")
def choose_random(*, views, request, context):
    """Choose any server at random; the lower bound for comparisons."""
    return _registry.Choice(server=context.rng.choice(views).server)


@_registry.policy("round_robin")
def choose_round_robin(*, views, request, context):
    """Choose the servers in rotation."""
    return _registry.Choice(server=views[context.sequence % len(views)].server)


@_registry.policy("least_in_flight")
def choose_least_in_flight(*, views, request, context):
    """Choose the server with the fewest requests of this daemon."""
    return _choose_lowest(views, context, lambda view: view.in_flight)


@_registry.policy("two_choices")
def choose_two_choices(*, views, request, context):
    """Sample two servers and choose by this daemon's requests in flight."""
    return _choose_lowest(
        _sample(views, 2, context), context, lambda view: view.in_flight
    )


@_registry.policy("two_choices_reported")
def choose_two_choices_reported(*, views, request, context):
    """Sample two servers and choose by this daemon's requests and reports."""
    return _choose_lowest(
        _sample(views, 2, context),
        context,
        lambda view: _load.expected_busy_slots(view, context.now),
    )


@_registry.policy("hot_cold")
def choose_hot_cold(*, views, request, context):
    """Choose the fastest cold server, or the least loaded if all are hot.

    A server is hot if its requests in flight reach a quantile of those of all
    servers. Load reports stand in for probes; each is used a limited number of
    times.
    """
    # By server: time of the latest report, and choices that were made with it.
    report_uses = context.policy_state or {}
    pool = [
        view
        for view in views
        if view.report is not None
        and context.now - view.report.received <= _MAX_REPORT_AGE_S
        and _report_uses(report_uses, view) < _MAX_USES_PER_REPORT
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
    count = _report_uses(report_uses, chosen) + 1
    return _registry.Choice(
        server=server,
        policy_state={**report_uses, server.name: (received, count)},
    )


@_registry.policy("idle_queue")
def choose_idle_queue(*, views, request, context):
    """Choose the idle server with the oldest load report.

    A report of an idle slot is used for one request. Without such a report the
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

    The slots are dealt in rotation to the daemons of the region. A daemon
    without a slot uses random servers.
    """
    index, count = context.slot_share
    slot, has_share, best = 0, False, None
    for view in views:
        share = 0
        for _ in range(view.server.slots):
            share += slot % count == index
            slot += 1
        has_share = has_share or share > 0
        if view.in_flight < share and (
            best is None or view.in_flight < best.in_flight
        ):
            best = view
    if not has_share:
        return choose_random(views=views, request=request, context=context)
    if best is None:
        return _registry.Wait()
    return _registry.Choice(server=best.server)


@_registry.policy("node_status")
def choose_node_status(*, views, request, context):
    """Keep a server until its normalized load exceeds a threshold.

    The load is the number of requests at a server, min-max normalized over all
    servers. Above the threshold the least loaded server is chosen.
    """
    loads = {
        v.server.name: _load.expected_busy_slots(v, context.now) for v in views
    }
    low, high = min(loads.values()), max(loads.values())
    current = context.policy_state
    if current in loads and high > low:
        normalized_load = (loads[current] - low) / (high - low)
        if normalized_load <= _MAX_NORMALIZED_LOAD:
            server = next(v.server for v in views if v.server.name == current)
            return _registry.Choice(server=server, policy_state=current)
    choice = _choose_lowest(views, context, lambda v: loads[v.server.name])
    return _registry.Choice(
        server=choice.server, policy_state=choice.server.name
    )


def _report_uses(report_uses, view):
    received, count = report_uses.get(view.server.name, (None, 0))
    latest = view.report.received if view.report else None
    return count if received == latest else 0


def _sample(views, count, context):
    if len(views) <= count:
        return views
    return context.rng.sample(views, count)


def _choose_lowest(views, context, key):
    best = min(views, key=lambda view: (key(view), context.rng.random()))
    return _registry.Choice(server=best.server)
