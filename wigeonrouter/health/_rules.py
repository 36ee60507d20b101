"""State of backend servers: outliers, cold starts and leaving.

Pure functions over core.BackendView. A server that announces its leaving is
trusted over its own health endpoint, which may lie: it gets work again only
after it was seen to refuse connections and then to accept them, as a
restarted process does.
"""

import dataclasses

from wigeonrouter import core

# A lost or late answer occupies a slot until its deadline, so fewer of them
# are tolerated than of fast failures.
FAILURES_TO_EJECT = 3
LOST_ANSWERS_TO_EJECT = 2
EJECTION_S = 1.0
MAX_EJECTION_S = 30.0
ANSWERS_TO_PROVE = 10
# A server that refuses looks idle and would attract every request, so it is
# left alone for a short time that doubles.
REFUSAL_BACKOFF_S = 0.1
MAX_REFUSAL_BACKOFF_S = 5.0
_FAILURE_WEIGHT = 0.1
_LATENCY_WEIGHT = 0.2


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ProbeResult:
    """What a probe found.

    Attributes:
      reached: whether a connection was made.
      healthy: whether the answer was status 200 without a sign of leaving.
      leaving: whether the answer carried the server's sign of leaving.
    """

    reached: bool
    healthy: bool = False
    leaving: bool = False


def after_attempt(*, view, attempt):
    """Return the view after an attempt, without any change of state.

    Args:
      view: core.BackendView.
      attempt: core.AttemptResult; one that was cancelled says nothing.
    """
    if attempt.cancelled:
        return view
    failed = attempt.outcome in (core.Outcome.FAILED, core.Outcome.UNKNOWN)
    changes = {
        "failure_ratio": _average(
            view.failure_ratio, float(failed), _FAILURE_WEIGHT
        ),
        "failures_in_row": view.failures_in_row + 1 if failed else 0,
        "refusals_in_row": view.refusals_in_row + 1 if attempt.refused else 0,
    }
    if attempt.report is not None:
        changes["report"] = attempt.report
    if attempt.outcome is core.Outcome.OK:
        changes["responses"] = view.responses + 1
        changes["latency"] = (
            _average(view.latency, attempt.latency, _LATENCY_WEIGHT)
            if view.latency
            else attempt.latency
        )
    return core.evolve_view(view, **changes)


def next_state(*, view, attempt, group, settings, now):
    """Return the view with the state that follows from an attempt.

    Args:
      view: core.BackendView after after_attempt().
      attempt: core.AttemptResult.
      group: views of all servers of the service.
      settings: core.HealthSettings.
      now: seconds on the monotonic clock.
    """
    if attempt.report is not None and attempt.report.draining:
        return _drain(view)
    if view.state is core.ServerState.DRAINING:
        return view
    if attempt.refused:
        if view.state is not core.ServerState.EJECTED and _may_eject(
            view, group, settings
        ):
            return _back_off(view, now)
        return view
    if _is_outlier(view, attempt) and _may_eject(view, group, settings):
        return _eject(view, now)
    if view.responses >= ANSWERS_TO_PROVE and (
        view.ejections or view.state is core.ServerState.COLD
    ):
        return dataclasses.replace(
            view, state=core.ServerState.READY, ejections=0
        )
    return view


def advance(*, view, settings, now):
    """Return the view after the time has passed.

    An ejected server whose ejection has ended becomes cold: it gets one
    request at a time until it has proved itself. A cold one becomes ready
    after the slow start.

    Args:
      view: core.BackendView.
      settings: core.HealthSettings.
      now: seconds on the monotonic clock.
    """
    if view.state is core.ServerState.EJECTED and now >= view.ejected_until:
        if not view.refusals_in_row:
            return _make_cold(view, now)
        proved = view.responses >= ANSWERS_TO_PROVE
        state = core.ServerState.READY if proved else core.ServerState.COLD
        return dataclasses.replace(view, state=state)
    if (
        view.state is core.ServerState.COLD
        and now - view.ready_since >= settings.slow_start
    ):
        return dataclasses.replace(view, state=core.ServerState.READY)
    return view


def after_probe(*, view, probe, now):
    """Return the view after a probe.

    Args:
      view: core.BackendView of an ejected, cold or draining server.
      probe: ProbeResult.
      now: seconds on the monotonic clock.
    """
    healthy = probe.healthy
    if probe.leaving:
        return _drain(view)
    if view.state is core.ServerState.DRAINING:
        if not probe.reached:
            return dataclasses.replace(view, stopped=True)
        if view.stopped and healthy:
            return after_return(view=view, now=now)
        return view
    if view.state is core.ServerState.EJECTED and healthy:
        view = _make_cold(view, now)
    if view.state is core.ServerState.COLD and healthy:
        return dataclasses.replace(view, responses=view.responses + 1)
    return view


def after_return(*, view, now):
    """Return the view of a server that is known to be back.

    Args:
      view: core.BackendView.
      now: seconds on the monotonic clock.
    """
    if view.state is not core.ServerState.DRAINING:
        return view
    return _make_cold(
        dataclasses.replace(view, report=None, stopped=False), now
    )


def may_get_work(*, view, draining):
    """Return whether a server may get new requests.

    Args:
      view: core.BackendView.
      draining: set of addresses, as text, that were declared to be leaving.
    """
    return not (
        view.server.draining
        or view.state in (core.ServerState.DRAINING, core.ServerState.EJECTED)
        or (draining and str(view.server.address) in draining)
    )


def needs_probe(view):
    """Return whether only a probe can tell that a server is back."""
    return view.state in (
        core.ServerState.DRAINING,
        core.ServerState.EJECTED,
    ) or _is_unproved(view)


def proved_views(views):
    """Return the views that a non-idempotent request may be sent to.

    A server that has come back from ejection is first tried by a probe or by
    an idempotent request, which lose nothing. Where no other server is left
    all views are returned.
    """
    return tuple(view for view in views if not _is_unproved(view)) or views


def new_view(*, server, now, known_group):
    """Return the view of a server that was not known before.

    Args:
      server: core.BackendServer.
      now: seconds on the monotonic clock.
      known_group: whether other servers of the service were known. The
        first servers of a service start ready, since a daemon that has just
        started says nothing about their age.
    """
    state = core.ServerState.COLD if known_group else core.ServerState.READY
    return core.BackendView(
        server=server, state=state, limit=server.slots, ready_since=now
    )


def _is_outlier(view, attempt):
    if attempt.cancelled or not view.failures_in_row:
        return False
    if view.state is core.ServerState.EJECTED:
        return False
    if view.state is core.ServerState.COLD and view.ejections:
        return True
    if attempt.outcome is core.Outcome.UNKNOWN:
        return view.failures_in_row >= LOST_ANSWERS_TO_EJECT
    return view.failures_in_row >= FAILURES_TO_EJECT


def _may_eject(view, group, settings):
    """Return whether a further ejection leaves enough of the group."""
    usable = [
        other
        for other in group
        if not other.server.draining
        and other.state is not core.ServerState.DRAINING
    ]
    ejected = sum(
        other.state is core.ServerState.EJECTED
        and other.server.name != view.server.name
        for other in usable
    )
    return ejected + 1 <= len(usable) * settings.max_ejected_ratio


def _eject(view, now):
    duration = min(MAX_EJECTION_S, EJECTION_S * 2 ** min(view.ejections, 10))
    return dataclasses.replace(
        view,
        state=core.ServerState.EJECTED,
        ejections=view.ejections + 1,
        ejected_until=now + duration,
        failures_in_row=0,
    )


def _back_off(view, now):
    duration = min(
        MAX_REFUSAL_BACKOFF_S,
        REFUSAL_BACKOFF_S * 2 ** min(view.refusals_in_row - 1, 10),
    )
    return dataclasses.replace(
        view, state=core.ServerState.EJECTED, ejected_until=now + duration
    )


def _drain(view):
    if view.state is core.ServerState.DRAINING:
        return view
    return dataclasses.replace(
        view, state=core.ServerState.DRAINING, stopped=False
    )


def _make_cold(view, now):
    return dataclasses.replace(
        view,
        state=core.ServerState.COLD,
        responses=0,
        failures_in_row=0,
        refusals_in_row=0,
        failure_ratio=0.0,
        ready_since=now,
        limit=view.server.slots,
    )


def _is_unproved(view):
    return (
        view.state is core.ServerState.COLD
        and view.ejections > 0
        and not view.responses
    )


def _average(old, new, weight):
    return old + weight * (new - old)
