"""Checks the promises against what callers and backend servers saw."""

import collections
import signal

from wigeonrouter.soak import _records

# A node counts as undisturbed when nothing happened to it for this long.
STABLE_S = 3.0
DRAIN_S = 2.5
CONFIG_APPLY_S = 2.5
STOP_GRACE_S = 6.0
# Until then a process may not have its signal handlers yet.
START_S = 1.0
# Until then the interpreter has not run the program's first line.
INTERPRETER_START_S = 0.15
RETRY_RATIO = 0.2
RETRY_WINDOW_S = 10.0
RETRY_SLACK = 20
# An answer is due this long after the route's timeout.
ANSWER_SLACK_S = 0.5
# A node goes back to an older configuration only if it does so after this.
ROLLBACK_SLACK_S = 0.25
# Idempotent work whose caller has left goes on no longer.
CANCEL_S = 0.5
CANCELLED_SHARE = 0.75
# After all troubles, requests are served again from then on.
RECOVERY_S = 5.0
SERVED_SHARE = 0.95
_CHECKS = []


def check(function):
    """Add a function from Observations to an iterable of Violation."""
    _CHECKS.append(function)
    return function


def find_violations(seen):
    """Return the list of Violation in Observations."""
    return [found for function in _CHECKS for found in function(seen)]


def is_calm(seen, name, began, ended, *, planned=True):
    """Return whether a node or server was undisturbed for STABLE_S.

    Args:
      planned: whether a planned stop counts as a disturbance.
    """
    return not any(
        trouble.name in ("", name)
        and (planned or not trouble.planned)
        and trouble.began <= ended
        and began - STABLE_S <= trouble.ended
        for trouble in seen.troubles
    )


def _violation(promise, detail):
    return _records.Violation(promise=promise, detail=detail)


def _runs_by_id(seen):
    runs = collections.defaultdict(list)
    for run in seen.runs:
        runs[run.request_id].append(run)
    return runs


@check
def runs_at_most_once(seen):
    """A request that is not idempotent runs once at most."""
    runs = _runs_by_id(seen)
    for request in seen.requests:
        found = runs[request.request_id]
        if not request.idempotent and len(found) > 1:
            yield _violation("runs at most once", f"{request} {found}")


@check
def refusals_are_true(seen):
    """A refusal that says not run is true."""
    runs = _runs_by_id(seen)
    for request in seen.requests:
        if (
            not request.idempotent
            and request.reply is not None
            and request.reply.promises_not_executed
            and runs[request.request_id]
        ):
            yield _violation("refusal is true", str(request))


@check
def answers_are_whole_and_own(seen):
    """A success is the whole answer of a server that ran this request."""
    runs = _runs_by_id(seen)
    for request in seen.requests:
        reply = request.reply
        if reply is None or reply.status != 200:
            continue
        ran = {run.instance for run in runs[request.request_id]}
        if (
            reply.body != f"body of {request.target}".encode()
            or reply.request_id != request.request_id
            or reply.instance not in ran
        ):
            yield _violation("answer is whole and own", str(request))


@check
def nothing_unasked_runs(seen):
    """Servers run only what callers sent, at the path that they named."""
    targets = {r.request_id: r.target for r in seen.requests}
    for run in seen.runs:
        if targets.get(run.request_id, "") != run.target:
            yield _violation("nothing unasked runs", str(run))


@check
def requests_run_at_allowed_services(seen):
    """No server of another service runs a request."""
    routes = {r.request_id: r.route for r in seen.requests}
    for run in seen.runs:
        allowed = seen.allowed.get(routes.get(run.request_id), ())
        if run.request_id in routes and run.service not in allowed:
            yield _violation("runs at an allowed service", str(run))


@check
def leaving_servers_get_nothing(seen):
    """A leaving server gets no work after the bound, from calm nodes."""
    requests = {r.request_id: r for r in seen.requests}
    for leaving in seen.leaving:
        bound = leaving.acknowledged + DRAIN_S
        for run in seen.runs:
            if run.instance != leaving.instance or run.started <= bound:
                continue
            request = requests.get(run.request_id)
            if request is None:
                continue
            began = leaving.acknowledged
            if is_calm(seen, request.node, began, run.started):
                yield _violation("drain", f"{leaving} {run} {request}")


@check
def configuration_is_in_force(seen):
    """A calm node has a version after the bound, and keeps it."""
    has = {}
    for probe in sorted(seen.probes, key=lambda probe: probe.sent):
        key = (probe.node, probe.incarnation, probe.version)
        if probe.found:
            has.setdefault(key, probe.sent)
            continue
        if probe.found is None:
            continue
        due = probe.acknowledged + CONFIG_APPLY_S
        if probe.sent > due and is_calm(
            seen, probe.node, probe.acknowledged, probe.sent
        ):
            yield _violation("configuration in force", str(probe))
        if key in has and probe.sent > has[key] + ROLLBACK_SLACK_S:
            yield _violation("configuration kept", str(probe))


@check
def planned_stops_cut_nothing(seen):
    """A request that a stopping or calm node passed on is answered."""
    runs = _runs_by_id(seen)
    for request in seen.requests:
        if (
            request.end is _records.End.BROKEN
            and runs[request.request_id]
            and is_calm(
                seen, request.node, request.sent, request.ended, planned=False
            )
        ):
            yield _violation("requests are not cut", str(request))


@check
def answers_come_in_time(seen):
    """A calm node answers by the end of the route's timeout."""
    for request in seen.requests:
        due = min(request.patience, request.timeout) + ANSWER_SLACK_S
        if (
            request.end is not _records.End.LEFT
            and request.end is not _records.End.NOT_SENT
            and request.ended - request.sent > due
            and is_calm(seen, request.node, request.sent, request.ended)
        ):
            yield _violation("answer in time", str(request))


@check
def abandoned_work_ends(seen):
    """Most idempotent work ends soon after its caller has left."""
    runs = _runs_by_id(seen)
    due, ended = 0, 0
    for request in seen.requests:
        if request.end is not _records.End.LEFT or not request.idempotent:
            continue
        if not is_calm(seen, request.node, request.sent, request.ended):
            continue
        for run in runs[request.request_id]:
            if run.started > request.ended + CANCEL_S:
                yield _violation("no work for gone callers", str(request))
            over = seen.work_ended.get((request.request_id, run.instance))
            calm = is_calm(seen, run.instance, run.started, request.ended)
            if over is None or not calm:
                continue
            due += 1
            ended += over <= request.ended + CANCEL_S
    if due >= 8 and ended < CANCELLED_SHARE * due:
        yield _violation("abandoned work ends", f"{ended} of {due}")


@check
def repeats_stay_in_budget(seen):
    """Further arrivals stay below a share of a service's requests."""
    first = set()
    repeats = collections.defaultdict(list)
    firsts = collections.defaultdict(list)
    for at, request_id, service in sorted(seen.arrivals):
        if request_id in first:
            repeats[service].append(at)
        else:
            first.add(request_id)
            firsts[service].append(at)
    for service, times in repeats.items():
        for start in times:
            in_window = sum(start <= t < start + RETRY_WINDOW_S for t in times)
            asked = sum(
                start - RETRY_WINDOW_S <= t < start + RETRY_WINDOW_S
                for t in firsts[service]
            )
            if in_window > RETRY_RATIO * asked + RETRY_SLACK:
                yield _violation(
                    "retry budget", f"{service}: {in_window} of {asked}"
                )
                break


@check
def processes_end_only_when_asked(seen):
    """A node ends with 0 within the grace after SIGTERM, never by itself."""
    for ended in seen.exits:
        if ended.killed or _ended_in_start(ended):
            continue
        if ended.stopped is None or ended.code != 0:
            yield _violation("process ends only when asked", str(ended))
        elif ended.ended - ended.stopped > STOP_GRACE_S and not _was_disturbed(
            seen, ended
        ):
            yield _violation("process ends within the grace", str(ended))


def _was_disturbed(seen, ended):
    """Return whether the node itself was disturbed while it stopped."""
    return any(
        trouble.name == ended.node
        and not trouble.planned
        and trouble.began <= ended.ended
        and ended.stopped <= trouble.ended
        for trouble in seen.troubles
    )


def _ended_in_start(ended):
    """Return whether a signal came before the process could handle it."""
    if (
        ended.code == -signal.SIGHUP
        and ended.ended - ended.started < INTERPRETER_START_S
    ):
        return True
    return (
        ended.code == -signal.SIGTERM
        and ended.stopped is not None
        and ended.stopped - ended.started < START_S
    )


@check
def service_recovers(seen):
    """Once all troubles are over, requests are served again."""
    sent = [
        request
        for request in seen.requests
        if request.sent > seen.calm_from + RECOVERY_S
        and request.end is not _records.End.LEFT
    ]
    served = sum(r.reply is not None and r.reply.status == 200 for r in sent)
    if not sent or served < SERVED_SHARE * len(sent):
        yield _violation("recovery", f"{served} of {len(sent)} served")
