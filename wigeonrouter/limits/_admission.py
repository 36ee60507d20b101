"""Admission by deadline: pure functions over a frozen record."""

import dataclasses

# A new value counts this much in the averages of HoldTime.
_EWMA_WEIGHT = 0.02


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class HoldTime:
    """For how long a request holds a slot, travel included, in seconds.

    Attributes:
      mean: moving average.
      deviation: moving average of the distance from the mean.
    """

    mean: float = 0.01
    deviation: float = 0.005


def update_hold_time(hold, seconds):
    """Return the HoldTime after one more answer."""
    error = seconds - hold.mean
    return HoldTime(
        mean=hold.mean + _EWMA_WEIGHT * error,
        deviation=hold.deviation
        + _EWMA_WEIGHT * (abs(error) - hold.deviation),
    )


def expected_wait(*, ahead, slots, hold):
    """Return the seconds until a slot is free for a request.

    Args:
      ahead: requests that wait before it.
      slots: slots in use by the queue.
      hold: HoldTime.
    """
    return (ahead + 1) * hold.mean / max(1, slots)


def can_meet_deadline(*, remaining, wait, hold):
    """Return whether a request may still be answered in time.

    Args:
      remaining: seconds to its deadline.
      wait: seconds until it gets a slot.
      hold: HoldTime.
    """
    return remaining >= wait + hold.mean
