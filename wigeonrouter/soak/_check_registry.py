"""The checks of a soak run, and what they have in common."""

from wigeonrouter.soak import _records

# A node or backend server counts as undisturbed once the last fault that
# affected it ended this long ago.
SETTLING_TIME_S = 3.0
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
    observations,
    name,
    began,
    ended,
    *,
    count_graceful_stops=True,
    count_store_faults=True,
):
    """Return whether no fault affected a node or backend server.

    The period is from SETTLING_TIME_S before began until ended.

    Args:
      name: name of the node or backend server.
      count_graceful_stops: whether a stop by SIGTERM counts as a fault.
      count_store_faults: whether a fault of the store alone counts.
    """
    return not any(
        period.name in ("", name)
        and (count_graceful_stops or not period.graceful_stop)
        and (count_store_faults or not period.store_only)
        and period.began <= ended
        and began - SETTLING_TIME_S <= period.ended
        for period in observations.fault_periods
    )


def find_busiest_window(times, length):
    """Return the largest number of times in a window, and the window's end.

    Args:
      times: sorted list of seconds.
      length: seconds of the window.
    """
    busiest = (0, 0.0)
    first = 0
    for index, end in enumerate(times):
        while times[first] <= end - length:
            first += 1
        busiest = max(busiest, (index + 1 - first, end))
    return busiest


def violation(invariant, detail):
    """Return a Violation.

    Args:
      invariant: short description of the violated invariant.
      detail: the records that show the violation, as text.
    """
    return _records.Violation(invariant=invariant, detail=detail)
