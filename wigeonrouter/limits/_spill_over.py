"""When requests may leave their region: pure functions."""

# Spill-over that has started goes on until the wait is this part of the
# price. With one threshold for both it would flap at each burst.
STOP_RATIO = 0.5
# Largest part of another region's slots that strangers may take together.
# A region that fails must not take the next one with it.
MAX_FOREIGN_RATIO = 0.3


def next_spilling(*, spilling, expected_wait, price):
    """Return whether a request may be sent to another region.

    Args:
      spilling: the answer for the request before.
      expected_wait: seconds that this request would wait in its region.
      price: seconds of waiting that leaving the region is worth.
    Returns:
      True or False.
    """
    if spilling:
        return expected_wait > price * STOP_RATIO
    return expected_wait > price


def foreign_allowance(*, slots, regions, hold, service_time):
    """Return how many requests one region may have in another.

    A request on its way takes no slot there. By Little's law the requests
    in flight exceed the slots taken by the ratio of the two times.

    Args:
      slots: slots of the other region's servers.
      regions: number of regions that have servers of the service; all but
        one share the allowance.
      hold: seconds from sending a request there to its answer, 0 if unknown.
      service_time: seconds that it takes a slot.
    Returns:
      A float, at least 1.
    """
    share = slots * MAX_FOREIGN_RATIO / max(1, regions - 1)
    return max(1.0, share * max(1.0, hold / service_time))
