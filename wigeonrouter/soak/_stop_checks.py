"""Checks of how requests end around the stop of their node by SIGTERM."""

import collections

from wigeonrouter.soak import _check_registry
from wigeonrouter.soak import _records

# Written to the settings of the nodes.
STOP_GRACE_PERIOD_S = 6.0
# A request counts as ended around a stop until this long after the grace
# period.
_AFTER_GRACE_S = 1.0
# A stop may break off a request that was sent at most this long after SIGTERM
# if a server is still at work on it in the last part of the grace period.
_EARLY_REQUEST_S = 3.0
_LAST_PART_OF_GRACE = 1 / 6
# Precision with which a caller's and a server's times are compared.
_PRECISION_S = 0.02
# A server may notice that its connection was closed this long before the
# caller receives the response of the node.
_CANCELLATION_LEAD_S = 0.1


@_check_registry.check
def stops_end_no_request_early(observations):
    """Around a stop, a node does not end a request that a server works on.

    It neither closes the caller's connection once a server got the request,
    nor responds with a failure of its own while a server is at work on it.
    Both are permitted once the timeout of the route or the caller is reached.
    Faults of the store alone are no excuse.
    """
    executions = collections.defaultdict(list)
    for execution in observations.executions:
        executions[execution.request_id].append(execution)
    stops = collections.defaultdict(list)
    for process_exit in observations.exits:
        if process_exit.stopped is not None:
            stops[process_exit.node].append(process_exit.stopped)
    for request in observations.requests:
        found = executions[request.request_id]
        if not _ended_early(observations, request, found):
            continue
        for stopped in stops[request.node]:
            if (
                _ended_around(request, stopped)
                and not _may_be_broken_off(
                    observations, request, found, stopped
                )
                and _was_undisturbed(observations, request, found)
            ):
                yield _check_registry.violation(
                    "request completed around a stop",
                    f"SIGTERM at {stopped}, {request} {found}",
                )
                break


def _ended_early(observations, request, executions):
    """Return whether the node ended a request that a server got."""
    time_limit = min(request.timeout, request.patience)
    if request.ended - request.sent >= time_limit - _PRECISION_S:
        return False
    if request.end is _records.End.BROKEN:
        return bool(executions)
    return _is_own_failure(request.reply) and any(
        _was_at_work(observations, execution, request.ended)
        for execution in executions
    )


def _is_own_failure(response):
    return (
        response is not None
        and response.status >= 400
        and not response.instance
    )


def _was_at_work(observations, execution, at):
    """Return whether a server executed a request at some time."""
    key = (execution.request_id, execution.instance)
    earliest_end = at + _PRECISION_S
    if key in observations.cancelled:
        earliest_end = at - _CANCELLATION_LEAD_S
    return (
        execution.started < at
        and _ended_at(observations, execution) > earliest_end
    )


def _ended_at(observations, execution):
    return observations.execution_ended_at.get(
        (execution.request_id, execution.instance), float("inf")
    )


def _ended_around(request, stopped):
    last = stopped + STOP_GRACE_PERIOD_S + _AFTER_GRACE_S
    return request.sent <= last and stopped <= request.ended <= last


def _may_be_broken_off(observations, request, executions, stopped):
    last_part = stopped + STOP_GRACE_PERIOD_S * (1 - _LAST_PART_OF_GRACE)
    return (
        request.sent <= stopped + _EARLY_REQUEST_S
        and request.ended >= last_part
        and any(
            execution.started < request.ended
            and _ended_at(observations, execution) >= last_part
            for execution in executions
        )
    )


def _was_undisturbed(observations, request, executions):
    """Return whether neither the node nor a server of a request failed."""
    return _check_registry.was_undisturbed(
        observations,
        request.node,
        request.sent,
        request.ended,
        count_graceful_stops=False,
        count_store_faults=False,
    ) and not any(
        _failed_during(observations, execution.instance, request)
        for execution in executions
    )


def _failed_during(observations, instance, request):
    removed_at = observations.removed_at.get(instance, float("inf"))
    return removed_at <= request.ended or any(
        period.name == instance
        and period.began <= request.ended
        and request.sent <= period.ended
        for period in observations.fault_periods
    )
