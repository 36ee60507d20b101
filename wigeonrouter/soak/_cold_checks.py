"""Check of the requests that cold backend servers get."""

import collections

from wigeonrouter.soak import _check_registry

# Written to the settings of the nodes.
SLOW_START_OVERAGE = 1.5
SLOW_START_SLACK_COUNT = 4
_WINDOW_S = 1.0


@_check_registry.check
def cold_servers_are_not_overloaded(observations):
    """All nodes together keep the rate limit of a cold server.

    Faults of nodes and of the store are no excuse. A fault of the connections
    to the server is one, since it may let requests arrive together that were
    sent one after the other.
    """
    by_instance = collections.defaultdict(list)
    for arrival in sorted(observations.arrivals, key=lambda a: a.at):
        if not arrival.misdirected:
            by_instance[arrival.instance].append(arrival.at)
    for period in observations.cold_periods:
        if _server_was_disturbed(observations, period):
            continue
        count, end = _check_registry.find_busiest_window(
            [
                at
                for at in by_instance[period.instance]
                if period.began <= at <= period.ended
            ],
            _WINDOW_S,
        )
        allowed = (
            period.per_second * SLOW_START_OVERAGE + SLOW_START_SLACK_COUNT
        )
        if count > allowed:
            yield _check_registry.violation(
                "cold server", f"{period}: {count} of {allowed} until {end}"
            )


def _server_was_disturbed(observations, period):
    return any(
        fault.name == period.instance
        and fault.began <= period.ended
        and period.began <= fault.ended
        for fault in observations.fault_periods
    )
