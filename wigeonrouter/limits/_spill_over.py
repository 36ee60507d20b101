"""When requests may leave their region: pure functions."""

# Spill-over that has started goes on until the wait is this part of the
# price. With one threshold for both it would flap at each burst.
STOP_PRICE_RATIO = 0.5
# Largest part of another region's slots that strangers may take together.
# A region that fails must not take the next one with it.
MAX_REMOTE_SLOT_RATIO = 0.3


def should_spill_over(*, spilling_over, expected_wait, price):
    """Return whether a request may be sent to another region.

    Args:
      spilling: the answer for the request before.
      expected_wait: seconds that this request would wait in its region.
      price: seconds of waiting that leaving the region is worth.
    Returns:
      True or False.
    """
    if spilling_over:
        return expected_wait > price * STOP_PRICE_RATIO
    return expected_wait > price


def remote_request_limit(*, slots, regions):
    """Return how many requests one region may have in another.

    Requests on their way count as well. Counting slots in use alone gives
    three times the spill-over and harms the other region's tenants more than
    it helps; see docs/POLICY.md.

    Args:
      slots: slots of the other region's servers.
      regions: number of regions that have servers of the service; all but
        one share the allowance.
    Returns:
      A whole number, at least 1.
    """
    return max(1, int(slots * MAX_REMOTE_SLOT_RATIO / max(1, regions - 1)))


def count_remote_slots(*, servers, region):
    """Return a dict from each other region to its number of slots.

    It is empty where the region has no server: then there is no spill-over,
    since all servers are equally far from home.
    """
    slots = {}
    for server in servers:
        name = server.place.region
        slots[name] = slots.get(name, 0) + server.slots
    return slots if slots.pop(region, None) is not None else {}
