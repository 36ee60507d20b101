"""Spill-over of requests to other regions: pure functions."""

# Spill-over that has started continues until the expected wait falls below
# this ratio of the price. A single threshold would make it flap with each
# burst.
STOP_PRICE_RATIO = 0.5
# Largest share of the slots of a region that requests of all other regions
# together may use. Otherwise a region that fails would overload the next one.
MAX_REMOTE_SLOT_RATIO = 0.3


def should_spill_over(*, spilling_over, expected_wait, price):
    """Return whether a request may be sent to another region.

    Args:
      spilling_over: the result for the previous request.
      expected_wait: seconds that this request would wait in its region.
      price: seconds of waiting above which leaving the region pays off.
    """
    if spilling_over:
        return expected_wait > price * STOP_PRICE_RATIO
    return expected_wait > price


def remote_request_limit(*, slots, regions):
    """Return how many requests in flight one region may have in another.

    Requests on the network count as well. Counting only occupied slots triples
    the spill-over and harms the other region's tenants more than it helps; see
    docs/POLICY.md.

    Args:
      slots: slots of the other region's servers.
      regions: number of regions with servers of the service; all but one of
        them share the limit.
    Returns:
      A whole number, at least 1.
    """
    return max(1, int(slots * MAX_REMOTE_SLOT_RATIO / max(1, regions - 1)))


def count_remote_slots(*, servers, region):
    """Return a dict from each other region to its number of slots.

    The dict is empty if the region itself has no server. Then there is no
    spill-over, since the servers of all regions are equally distant.
    """
    slots = {}
    for server in servers:
        name = server.place.region
        slots[name] = slots.get(name, 0) + server.slots
    return slots if slots.pop(region, None) is not None else {}
