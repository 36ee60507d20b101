"""Checks of what holds for all nodes of a soak run together."""

import collections

from wigeonrouter.soak import _check_registry

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
# From this time after its first rejection on, a node sends a server that asked
# for a pause at most this number of requests until the pause is over.
PAUSE_REACTION_S = 0.5
PAUSE_SLACK_COUNT = 2


@_check_registry.check
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
                yield _check_registry.violation(
                    "retry budget",
                    f"{service}: {retries_in_window} of {attempts_in_windows}",
                )
                break


@_check_registry.check
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
            if (
                not period.began + _check_registry.SETTLING_TIME_S
                <= end
                <= period.ended
            ):
                continue
            counted = [
                arrival
                for arrival in arrivals
                if end - LIMIT_WINDOW_S < arrival.at <= end
                and _check_registry.was_undisturbed(
                    observations,
                    nodes.get(arrival.request_id),
                    max(period.began, end - LIMIT_WINDOW_S),
                    end,
                )
            ]
            if len(counted) > allowed:
                misdirected = sum(arrival.misdirected for arrival in counted)
                yield _check_registry.violation(
                    "named limit",
                    f"{period}: {len(counted)} at {end},"
                    f" {misdirected} of them meant for another instance",
                )
                break


@_check_registry.check
def pauses_are_kept(observations):
    """A node sends nearly nothing to a server that asked it for a pause."""
    nodes = {r.request_id: r.node for r in observations.requests}
    by_sender = collections.defaultdict(list)
    for arrival in sorted(observations.arrivals, key=lambda a: a.at):
        node = nodes.get(arrival.request_id)
        by_sender[arrival.instance, node].append(arrival.at)
    for period in observations.pause_periods:
        for (instance, node), times in by_sender.items():
            rejected = [at for at in times if period.began < at < period.ended]
            if instance != period.instance or not rejected:
                continue
            end = min(rejected[0] + period.pause, period.ended)
            count = sum(
                rejected[0] + PAUSE_REACTION_S < at < end for at in rejected
            )
            if count > PAUSE_SLACK_COUNT and all(
                _check_registry.was_undisturbed(
                    observations, name, rejected[0], end
                )
                for name in (node, instance)
            ):
                yield _check_registry.violation(
                    "pause", f"{period}: {count} from {node}"
                )
