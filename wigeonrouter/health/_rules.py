"""State machine of backend servers: ejection, slow start and draining.

Pure functions over core.BackendView. A server that has announced a drain
stays in draining even if its health endpoint reports success, since that
report may be wrong. It gets requests again only after it has refused a
connection and then accepted one, as a restarted process does.
"""

import dataclasses

from wigeonrouter import core

# A lost or late response occupies a slot until its deadline, so the threshold
# is lower than that for failures, which return quickly.
CONSECUTIVE_FAILURES_TO_EJECT = 3
CONSECUTIVE_UNKNOWN_TO_EJECT = 2
BASE_EJECTION_S = 1.0
MAX_EJECTION_S = 30.0
RESPONSES_TO_END_SLOW_START = 10
# A server that refuses requests looks idle and would attract all of them, so
# it is skipped for a time that doubles with each consecutive refusal.
BASE_REFUSAL_BACKOFF_S = 0.1
MAX_REFUSAL_BACKOFF_S = 5.0
_FAILURE_RATIO_EWMA_WEIGHT = 0.1
_LATENCY_EWMA_WEIGHT = 0.2


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ProbeResult:
    """Result of one probe.

    Attributes:
      reached: False only where the connection was refused.
      healthy: whether the response had status 200 and announced no drain.
      draining: whether the response announced a drain.
    """

    reached: bool
    healthy: bool = False
    draining: bool = False


def after_attempt(*, view, attempt):
    """Return the view with updated statistics and an unchanged state.

    Args:
      view: core.BackendView.
      attempt: core.AttemptResult; a cancelled one changes nothing.
    """
    if attempt.cancelled:
        return view
    failed = attempt.outcome in (core.Outcome.FAILED, core.Outcome.UNKNOWN)
    changes = {
        "failure_ratio": _ewma(
            view.failure_ratio, float(failed), _FAILURE_RATIO_EWMA_WEIGHT
        ),
        "failures_in_row": view.failures_in_row + 1 if failed else 0,
        "refusals_in_row": view.refusals_in_row + 1 if attempt.refused else 0,
    }
    if attempt.report is not None:
        changes["report"] = attempt.report
    if attempt.outcome is core.Outcome.OK:
        changes["responses"] = view.responses + 1
        changes["latency"] = (
            _ewma(view.latency, attempt.latency, _LATENCY_EWMA_WEIGHT)
            if view.latency
            else attempt.latency
        )
    return core.evolve_view(view, **changes)


def next_state(*, view, attempt, group, settings, now):
    """Return the view with the state that results from an attempt.

    Args:
      view: core.BackendView after after_attempt().
      attempt: core.AttemptResult.
      group: views of all servers of the service.
      settings: core.HealthSettings.
      now: seconds on the monotonic clock.
    """
    if attempt.report is not None and attempt.report.draining:
        return _mark_draining(view)
    if view.state is core.ServerState.DRAINING:
        return view
    if attempt.refused:
        if view.state is not core.ServerState.EJECTED and _may_eject(
            view, group, settings
        ):
            return _eject_refusing(view, now)
        return view
    if _is_outlier(view, attempt) and _may_eject(view, group, settings):
        return _eject_outlier(view, now)
    if view.responses >= RESPONSES_TO_END_SLOW_START and (
        view.ejections or view.state is core.ServerState.COLD
    ):
        return dataclasses.replace(
            view, state=core.ServerState.READY, ejections=0
        )
    return view


def advance(*, view, settings, now):
    """Return the view with the transitions that are due by time.

    A server whose ejection has ended enters slow start, where it gets one
    request at a time. One that was skipped for refusals becomes ready if it
    had completed its slow start, else it stays in slow start. Slow start ends
    after settings.slow_start seconds at the latest.

    Args:
      view: core.BackendView.
      settings: core.HealthSettings.
      now: seconds on the monotonic clock.
    """
    if view.state is core.ServerState.EJECTED and now >= view.ejected_until:
        if not view.refusals_in_row:
            return _enter_slow_start(view, now)
        past_slow_start = view.responses >= RESPONSES_TO_END_SLOW_START
        state = (
            core.ServerState.READY
            if past_slow_start
            else core.ServerState.COLD
        )
        return dataclasses.replace(view, state=state)
    if (
        view.state is core.ServerState.COLD
        and now - view.ready_since >= settings.slow_start
    ):
        return dataclasses.replace(view, state=core.ServerState.READY)
    return view


def after_probe(*, view, probe, now):
    """Return the view with the state that results from a probe.

    A healthy probe ends an ejection and counts as a response in slow start.

    Args:
      view: core.BackendView of an ejected, cold or draining server.
      probe: ProbeResult.
      now: seconds on the monotonic clock.
    """
    healthy = probe.healthy
    if probe.draining:
        return _mark_draining(view)
    if view.state is core.ServerState.DRAINING:
        if not probe.reached:
            return dataclasses.replace(view, stopped=True)
        if view.stopped and healthy:
            return after_drain_end(view=view, now=now)
        return view
    if view.state is core.ServerState.EJECTED and healthy:
        view = _enter_slow_start(view, now)
    if view.state is core.ServerState.COLD and healthy:
        return dataclasses.replace(view, responses=view.responses + 1)
    return view


def after_drain_end(*, view, now):
    """Return the view of a server whose drain has ended, in slow start.

    Args:
      view: core.BackendView; unchanged unless its state is draining.
      now: seconds on the monotonic clock.
    """
    if view.state is not core.ServerState.DRAINING:
        return view
    return _enter_slow_start(
        dataclasses.replace(view, report=None, stopped=False), now
    )


def is_eligible(*, view, draining_addresses):
    """Return whether a server may get new requests.

    Args:
      view: core.BackendView.
      draining_addresses: set of addresses, as text, of the servers that were
        declared draining.
    """
    return not (
        view.server.draining
        or view.state in (core.ServerState.DRAINING, core.ServerState.EJECTED)
        or (
            draining_addresses
            and str(view.server.address) in draining_addresses
        )
    )


def needs_probe(view):
    """Return whether a server gets no requests that would show recovery."""
    return view.state in (
        core.ServerState.DRAINING,
        core.ServerState.EJECTED,
    ) or _is_half_open(view)


def non_idempotent_candidates(views):
    """Return the views that a non-idempotent request may be sent to.

    Half-open servers, which have not responded since their ejection ended,
    are left out: a probe or an idempotent request can be lost without harm,
    so these test the server first. All views are returned if every one of
    them is half-open.
    """
    return tuple(view for view in views if not _is_half_open(view)) or views


def new_view(*, server, now, known_group):
    """Return the initial view of a server.

    Args:
      server: core.BackendServer.
      now: seconds on the monotonic clock.
      known_group: whether this daemon knew other servers of the service. If
        so, the server was just added and begins with slow start. Otherwise
        it starts as ready: the daemon has just started, or the service is
        new to it, and the server may have been running for a long time.
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
        return view.failures_in_row >= CONSECUTIVE_UNKNOWN_TO_EJECT
    return view.failures_in_row >= CONSECUTIVE_FAILURES_TO_EJECT


def _may_eject(view, group, settings):
    """Return whether one more ejection stays within max_ejected_ratio."""
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


def _eject_outlier(view, now):
    duration = min(
        MAX_EJECTION_S, BASE_EJECTION_S * 2 ** min(view.ejections, 10)
    )
    return dataclasses.replace(
        view,
        state=core.ServerState.EJECTED,
        ejections=view.ejections + 1,
        ejected_until=now + duration,
        failures_in_row=0,
    )


def _eject_refusing(view, now):
    duration = min(
        MAX_REFUSAL_BACKOFF_S,
        BASE_REFUSAL_BACKOFF_S * 2 ** min(view.refusals_in_row - 1, 10),
    )
    return dataclasses.replace(
        view, state=core.ServerState.EJECTED, ejected_until=now + duration
    )


def _mark_draining(view):
    if view.state is core.ServerState.DRAINING:
        return view
    return dataclasses.replace(
        view, state=core.ServerState.DRAINING, stopped=False
    )


def _enter_slow_start(view, now):
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


def _is_half_open(view):
    return (
        view.state is core.ServerState.COLD
        and view.ejections > 0
        and not view.responses
    )


def _ewma(old, new, weight):
    return old + weight * (new - old)
