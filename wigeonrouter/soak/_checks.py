"""Invariants of a soak run, checked against its Observations.

A check is a generator function of Observations that yields one Violation for
each violation of its invariant. Most time bounds only hold for nodes that no
injected fault has affected recently.
"""

import collections
import signal

from wigeonrouter.soak import _check_registry
from wigeonrouter.soak import _records
from wigeonrouter.soak import _stop_checks

# The next two bounds are written to the settings of the nodes.
DRAIN_BOUND_S = 2.5
CONFIG_APPLY_BOUND_S = 2.5
# Before it has used this much processor time, the interpreter may not have
# executed the program's first line, so that SIGHUP and SIGTERM still end the
# process by their default actions.
INTERPRETER_START_CPU_S = 0.15
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


def _executions_by_id(observations):
    executions = collections.defaultdict(list)
    for execution in observations.executions:
        executions[execution.request_id].append(execution)
    return executions


@_check_registry.check
def runs_at_most_once(observations):
    """A non-idempotent request is executed at most once."""
    executions = _executions_by_id(observations)
    for request in observations.requests:
        found = executions[request.request_id]
        if not request.idempotent and len(found) > 1:
            yield _check_registry.violation(
                "executed at most once", f"{request} {found}"
            )


@_check_registry.check
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
            yield _check_registry.violation(
                "rejected request not executed", str(request)
            )


@_check_registry.check
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
            yield _check_registry.violation(
                "response complete and matching", str(request)
            )


@_check_registry.check
def nothing_unasked_runs(observations):
    """Backend servers only execute requests that callers sent.

    The path is the one that the caller sent.
    """
    targets = {r.request_id: r.target for r in observations.requests}
    for execution in observations.executions:
        if targets.get(execution.request_id, "") != execution.target:
            yield _check_registry.violation(
                "only sent requests executed", str(execution)
            )


@_check_registry.check
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
            yield _check_registry.violation(
                "executed by an allowed service", str(execution)
            )


@_check_registry.check
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
            if _check_registry.was_undisturbed(
                observations, request.node, began, execution.started
            ):
                yield _check_registry.violation(
                    "drain", f"{drain} {execution} {request}"
                )


@_check_registry.check
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
        if probe.sent > due and _check_registry.was_undisturbed(
            observations, probe.node, probe.acknowledged, probe.sent
        ):
            yield _check_registry.violation(
                "configuration applied in time", str(probe)
            )
        if (
            key in first_found_at
            and probe.sent > first_found_at[key] + ROLLBACK_SLACK_S
        ):
            yield _check_registry.violation(
                "configuration not rolled back", str(probe)
            )


@_check_registry.check
def planned_stops_cut_nothing(observations):
    """Undisturbed nodes do not break off requests that they forwarded.

    Nor does a node that is stopped by SIGTERM.
    """
    executions = _executions_by_id(observations)
    for request in observations.requests:
        if (
            request.end is _records.End.BROKEN
            and executions[request.request_id]
            and _check_registry.was_undisturbed(
                observations,
                request.node,
                request.sent,
                request.ended,
                count_graceful_stops=False,
            )
        ):
            yield _check_registry.violation(
                "accepted requests completed", str(request)
            )


@_check_registry.check
def answers_come_in_time(observations):
    """Undisturbed nodes respond within the timeout of route and caller."""
    for request in observations.requests:
        due = min(request.patience, request.timeout) + RESPONSE_SLACK_S
        if (
            request.end is not _records.End.LEFT
            and request.end is not _records.End.NOT_SENT
            and request.ended - request.sent > due
            and _check_registry.was_undisturbed(
                observations, request.node, request.sent, request.ended
            )
        ):
            yield _check_registry.violation("response in time", str(request))


@_check_registry.check
def abandoned_work_ends(observations):
    """Most idempotent requests end soon after their caller disconnected.

    None is started later than CANCELLATION_BOUND_S after the disconnection.
    """
    executions = _executions_by_id(observations)
    expected, cancelled = 0, 0
    for request in observations.requests:
        if request.end is not _records.End.LEFT or not request.idempotent:
            continue
        if not _check_registry.was_undisturbed(
            observations, request.node, request.sent, request.ended
        ):
            continue
        for execution in executions[request.request_id]:
            if execution.started > request.ended + CANCELLATION_BOUND_S:
                yield _check_registry.violation(
                    "no execution for disconnected callers",
                    f"{request} {execution}",
                )
            ended_at = observations.execution_ended_at.get(
                (request.request_id, execution.instance)
            )
            undisturbed = _check_registry.was_undisturbed(
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
        yield _check_registry.violation(
            "abandoned requests cancelled", f"{cancelled} of {expected}"
        )


@_check_registry.check
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
            yield _check_registry.violation(
                "process exits only on request", str(process_exit)
            )
        elif (
            process_exit.ended - process_exit.stopped
            > _stop_checks.STOP_GRACE_PERIOD_S
            and not _was_disturbed_while_stopping(observations, process_exit)
        ):
            yield _check_registry.violation(
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
    cpu_at_signal = {
        -signal.SIGHUP: process_exit.early_hang_up,
        -signal.SIGTERM: process_exit.early_stop,
    }.get(process_exit.code)
    return (
        cpu_at_signal is not None and cpu_at_signal < INTERPRETER_START_CPU_S
    )


@_check_registry.check
def service_recovers(observations):
    """Requests succeed again within the recovery time after the last fault."""
    sent = [
        request
        for request in observations.requests
        if request.sent > observations.faults_over_at + RECOVERY_TIME_S
        and request.tenant not in observations.refused_tenants
        and request.end is not _records.End.LEFT
    ]
    served = sum(r.reply is not None and r.reply.status == 200 for r in sent)
    if not sent or served < MIN_SERVED_SHARE * len(sent):
        yield _check_registry.violation(
            "recovery", f"{served} of {len(sent)} served"
        )
