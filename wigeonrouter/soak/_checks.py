"""Invariants of a soak run, checked against its Observations.

A check is a generator function of Observations that yields one Violation for
each violation of its invariant. Most time bounds only hold for nodes that no
injected fault has affected recently.
"""

import collections
import signal

from wigeonrouter.soak import _records

# A node or backend server counts as undisturbed once the last fault that
# affected it ended this long ago.
SETTLING_TIME_S = 3.0
# The next three bounds are written to the settings of the nodes.
DRAIN_BOUND_S = 2.5
CONFIG_APPLY_BOUND_S = 2.5
STOP_GRACE_PERIOD_S = 6.0
# A process may not have installed its handler for SIGTERM before this age.
SIGNAL_HANDLER_START_S = 1.0
# Before it has used this much processor time, the interpreter may not have
# executed the program's first line, so that SIGHUP still ends the process.
INTERPRETER_START_CPU_S = 0.15
# Retry budget of a service: retries per first attempt. The ratio and the
# window are written to the settings of the nodes; the slack is the number of
# retries that the check permits in addition.
RETRY_RATIO = 0.2
RETRY_WINDOW_S = 10.0
RETRY_SLACK_COUNT = 20
# A server that names a rate limit gets at most this factor of what the limit
# allows in a window, and this number of requests in addition.
LIMIT_FACTOR = 1.5
LIMIT_WINDOW_S = 4.0
LIMIT_SLACK_COUNT = 5
# A response is due at most this long after the timeout of its route.
RESPONSE_SLACK_S = 0.5
# A probe that misses a version counts as a rollback only if it was sent more
# than this long after a probe that found the version.
ROLLBACK_SLACK_S = 0.25
# An idempotent request is cancelled within this time after its caller has
# disconnected, in at least this share of the cases.
CANCELLATION_BOUND_S = 0.5
MIN_CANCELLED_SHARE = 0.75
# Recovery time: from this long after the last fault, at least this share of
# the requests succeeds.
RECOVERY_TIME_S = 5.0
MIN_SERVED_SHARE = 0.95
_CHECKS = []


def check(function):
    """Register a function from Observations to an iterable of Violation."""
    _CHECKS.append(function)
    return function


def find_violations(observations):
    """Return the list of Violations that all checks find."""
    return [
        violation
        for function in _CHECKS
        for violation in function(observations)
    ]


def was_undisturbed(
    observations, name, began, ended, *, count_graceful_stops=True
):
    """Return whether no fault affected a node or backend server.

    The period is from SETTLING_TIME_S before began until ended.

    Args:
      name: name of the node or backend server.
      count_graceful_stops: whether a stop by SIGTERM counts as a fault.
    """
    return not any(
        period.name in ("", name)
        and (count_graceful_stops or not period.graceful_stop)
        and period.began <= ended
        and began - SETTLING_TIME_S <= period.ended
        for period in observations.fault_periods
    )


def _violation(invariant, detail):
    return _records.Violation(invariant=invariant, detail=detail)


def _executions_by_id(observations):
    executions = collections.defaultdict(list)
    for execution in observations.executions:
        executions[execution.request_id].append(execution)
    return executions


@check
def runs_at_most_once(observations):
    """A non-idempotent request is executed at most once."""
    executions = _executions_by_id(observations)
    for request in observations.requests:
        found = executions[request.request_id]
        if not request.idempotent and len(found) > 1:
            yield _violation("executed at most once", f"{request} {found}")


@check
def refusals_are_true(observations):
    """A request was not executed if its response says so.

    Only non-idempotent requests are checked.
    """
    executions = _executions_by_id(observations)
    for request in observations.requests:
        if (
            not request.idempotent
            and request.reply is not None
            and request.reply.promises_not_executed
            and executions[request.request_id]
        ):
            yield _violation("rejected request not executed", str(request))


@check
def answers_are_whole_and_own(observations):
    """A successful response is complete and belongs to its request.

    It also names a backend server that executed this request.
    """
    executions = _executions_by_id(observations)
    for request in observations.requests:
        response = request.reply
        if response is None or response.status != 200:
            continue
        executed_by = {
            execution.instance for execution in executions[request.request_id]
        }
        if (
            response.body != f"body of {request.target}".encode()
            or response.request_id != request.request_id
            or response.instance not in executed_by
        ):
            yield _violation("response complete and matching", str(request))


@check
def nothing_unasked_runs(observations):
    """Backend servers only execute requests that callers sent.

    The path is the one that the caller sent.
    """
    targets = {r.request_id: r.target for r in observations.requests}
    for execution in observations.executions:
        if targets.get(execution.request_id, "") != execution.target:
            yield _violation("only sent requests executed", str(execution))


@check
def requests_run_at_allowed_services(observations):
    """A request is only executed by a service that its route allowed."""
    routes = {r.request_id: r.route for r in observations.requests}
    for execution in observations.executions:
        allowed_services = observations.allowed_services.get(
            routes.get(execution.request_id), ()
        )
        if (
            execution.request_id in routes
            and execution.service not in allowed_services
        ):
            yield _violation("executed by an allowed service", str(execution))


@check
def leaving_servers_get_nothing(observations):
    """Undisturbed nodes send a draining server nothing after the bound."""
    requests = {r.request_id: r for r in observations.requests}
    for drain in observations.drains:
        bound = drain.acknowledged + DRAIN_BOUND_S
        for execution in observations.executions:
            if (
                execution.instance != drain.instance
                or execution.started <= bound
            ):
                continue
            request = requests.get(execution.request_id)
            if request is None:
                continue
            began = drain.acknowledged
            if was_undisturbed(
                observations, request.node, began, execution.started
            ):
                yield _violation("drain", f"{drain} {execution} {request}")


@check
def configuration_is_in_force(observations):
    """Nodes apply a configuration version in time and never roll it back.

    The time bound holds for undisturbed nodes. A version is not rolled back
    as long as the process lives.
    """
    first_found_at = {}
    for probe in sorted(observations.probes, key=lambda probe: probe.sent):
        key = (probe.node, probe.incarnation, probe.version)
        if probe.found:
            first_found_at.setdefault(key, probe.sent)
            continue
        if probe.found is None:
            continue
        due = probe.acknowledged + CONFIG_APPLY_BOUND_S
        if probe.sent > due and was_undisturbed(
            observations, probe.node, probe.acknowledged, probe.sent
        ):
            yield _violation("configuration applied in time", str(probe))
        if (
            key in first_found_at
            and probe.sent > first_found_at[key] + ROLLBACK_SLACK_S
        ):
            yield _violation("configuration not rolled back", str(probe))


@check
def planned_stops_cut_nothing(observations):
    """Undisturbed nodes do not break off requests that they forwarded.

    Nor does a node that is stopped by SIGTERM.
    """
    executions = _executions_by_id(observations)
    for request in observations.requests:
        if (
            request.end is _records.End.BROKEN
            and executions[request.request_id]
            and was_undisturbed(
                observations,
                request.node,
                request.sent,
                request.ended,
                count_graceful_stops=False,
            )
        ):
            yield _violation("accepted requests completed", str(request))


@check
def answers_come_in_time(observations):
    """Undisturbed nodes respond within the timeout of route and caller."""
    for request in observations.requests:
        due = min(request.patience, request.timeout) + RESPONSE_SLACK_S
        if (
            request.end is not _records.End.LEFT
            and request.end is not _records.End.NOT_SENT
            and request.ended - request.sent > due
            and was_undisturbed(
                observations, request.node, request.sent, request.ended
            )
        ):
            yield _violation("response in time", str(request))


@check
def abandoned_work_ends(observations):
    """Most idempotent requests end soon after their caller disconnected.

    None is started later than CANCELLATION_BOUND_S after the disconnection.
    """
    executions = _executions_by_id(observations)
    expected, cancelled = 0, 0
    for request in observations.requests:
        if request.end is not _records.End.LEFT or not request.idempotent:
            continue
        if not was_undisturbed(
            observations, request.node, request.sent, request.ended
        ):
            continue
        for execution in executions[request.request_id]:
            if execution.started > request.ended + CANCELLATION_BOUND_S:
                yield _violation(
                    "no execution for disconnected callers", str(request)
                )
            ended_at = observations.execution_ended_at.get(
                (request.request_id, execution.instance)
            )
            undisturbed = was_undisturbed(
                observations,
                execution.instance,
                execution.started,
                request.ended,
            )
            if ended_at is None or not undisturbed:
                continue
            expected += 1
            cancelled += ended_at <= request.ended + CANCELLATION_BOUND_S
    if expected >= 8 and cancelled < MIN_CANCELLED_SHARE * expected:
        yield _violation(
            "abandoned requests cancelled", f"{cancelled} of {expected}"
        )


@check
def repeats_stay_in_budget(observations):
    """Retries of a service stay within its retry budget.

    All arrivals of a request id but the first count as retries. The retries
    in a window are compared with the first attempts in this window and the
    one before.
    """
    seen_ids = set()
    retries = collections.defaultdict(list)
    first_attempts = collections.defaultdict(list)
    for arrival in sorted(observations.arrivals, key=lambda a: a.at):
        if arrival.request_id in seen_ids:
            retries[arrival.service].append(arrival.at)
        else:
            seen_ids.add(arrival.request_id)
            first_attempts[arrival.service].append(arrival.at)
    for service, times in retries.items():
        for start in times:
            retries_in_window = sum(
                start <= t < start + RETRY_WINDOW_S for t in times
            )
            attempts_in_windows = sum(
                start - RETRY_WINDOW_S <= t < start + RETRY_WINDOW_S
                for t in first_attempts[service]
            )
            if (
                retries_in_window
                > RETRY_RATIO * attempts_in_windows + RETRY_SLACK_COUNT
            ):
                yield _violation(
                    "retry budget",
                    f"{service}: {retries_in_window} of {attempts_in_windows}",
                )
                break


@check
def named_limits_are_kept(observations):
    """All undisturbed nodes together keep the limit that a server names.

    A window counts from the settling time after the server began to name it.
    """
    nodes = {r.request_id: r.node for r in observations.requests}
    by_instance = collections.defaultdict(list)
    for arrival in sorted(observations.arrivals, key=lambda a: a.at):
        by_instance[arrival.instance].append(arrival)
    for period in observations.limit_periods:
        allowed = (
            LIMIT_FACTOR * period.per_second * LIMIT_WINDOW_S
            + LIMIT_SLACK_COUNT
        )
        arrivals = by_instance[period.instance]
        for end in [arrival.at for arrival in arrivals]:
            if not period.began + SETTLING_TIME_S <= end <= period.ended:
                continue
            count = sum(
                end - LIMIT_WINDOW_S < arrival.at <= end
                and was_undisturbed(
                    observations,
                    nodes.get(arrival.request_id),
                    max(period.began, end - LIMIT_WINDOW_S),
                    end,
                )
                for arrival in arrivals
            )
            if count > allowed:
                yield _violation("named limit", f"{period}: {count} at {end}")
                break


@check
def processes_end_only_when_asked(observations):
    """A node only exits after SIGTERM, in time and with exit code 0.

    Exempt are killed processes and those that got a signal before their
    handler was installed; the time bound is waived if a fault affected the
    node during its stop.
    """
    for process_exit in observations.exits:
        if process_exit.killed or _exited_before_handler(process_exit):
            continue
        if process_exit.stopped is None or process_exit.code != 0:
            yield _violation(
                "process exits only on request", str(process_exit)
            )
        elif (
            process_exit.ended - process_exit.stopped > STOP_GRACE_PERIOD_S
            and not _was_disturbed_while_stopping(observations, process_exit)
        ):
            yield _violation(
                "process exits within the grace period", str(process_exit)
            )


def _was_disturbed_while_stopping(observations, process_exit):
    """Return whether a fault of this node overlapped its stop.

    Faults that affect all nodes do not count.
    """
    return any(
        period.name == process_exit.node
        and not period.graceful_stop
        and period.began <= process_exit.ended
        and process_exit.stopped <= period.ended
        for period in observations.fault_periods
    )


def _exited_before_handler(process_exit):
    """Return whether a signal ended the process before its handler existed."""
    if (
        process_exit.code == -signal.SIGHUP
        and process_exit.early_hang_up is not None
        and process_exit.early_hang_up < INTERPRETER_START_CPU_S
    ):
        return True
    return (
        process_exit.code == -signal.SIGTERM
        and process_exit.stopped is not None
        and process_exit.stopped - process_exit.started
        < SIGNAL_HANDLER_START_S
    )


@check
def service_recovers(observations):
    """Requests succeed again within the recovery time after the last fault."""
    sent = [
        request
        for request in observations.requests
        if request.sent > observations.faults_over_at + RECOVERY_TIME_S
        and request.end is not _records.End.LEFT
    ]
    served = sum(r.reply is not None and r.reply.status == 200 for r in sent)
    if not sent or served < MIN_SERVED_SHARE * len(sent):
        yield _violation("recovery", f"{served} of {len(sent)} served")
