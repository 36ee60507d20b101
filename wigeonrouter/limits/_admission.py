"""Admission control by deadline: pure functions over a frozen record."""

import dataclasses

# Weight of a new sample in the moving averages of HoldTime.
_EWMA_WEIGHT = 0.02


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class HoldTime:
    """How long a request holds a slot, with network round trip, in seconds.

    Attributes:
      mean: exponentially weighted moving average.
      deviation: moving average of the absolute deviation from the mean.
    """

    mean: float = 0.01
    deviation: float = 0.005


def update_hold_time(hold_time, seconds):
    """Return the HoldTime after one more response.

    Args:
      hold_time: HoldTime.
      seconds: how long the request held its slot.
    """
    error = seconds - hold_time.mean
    return HoldTime(
        mean=hold_time.mean + _EWMA_WEIGHT * error,
        deviation=hold_time.deviation
        + _EWMA_WEIGHT * (abs(error) - hold_time.deviation),
    )


def expected_wait(*, ahead, slots, hold_time):
    """Return the seconds until a request gets a free slot.

    Args:
      ahead: number of queued requests that are served first.
      slots: number of slots that serve the queue.
      hold_time: HoldTime.
    """
    return (ahead + 1) * hold_time.mean / max(1, slots)


def can_meet_deadline(*, remaining, wait, hold_time):
    """Return whether a response before the deadline is still expected.

    Args:
      remaining: seconds to its deadline.
      wait: seconds until it gets a slot.
      hold_time: HoldTime.
    """
    return remaining >= wait + hold_time.mean
