"""What a set of backend servers can serve, by their ServerViews."""

from wigeonrouter import placement


def without_paused(views, now):
    """Return the views of the servers that have not asked for a pause."""
    return [view for view in views if view.paused_until <= now]


def usable_slots(views, *, service_time, mean_slowdown):
    """Return the slots of servers that this node can keep busy.

    Args:
      views: ServerViews.
      service_time: undisturbed service time, seconds.
      mean_slowdown: mean slowdown of all servers.
    """
    return sum(
        placement.usable_slots(
            view, service_time=service_time, mean_slowdown=mean_slowdown
        )
        for view in views
    )


def limited_throughput(views):
    """Return the requests per second that the rate limits of servers allow.

    Returns:
      None if any of them has no limit.
    """
    if any(view.rate_limit is None for view in views):
        return None
    return sum(view.rate_limit for view in views)


def utilization(views, now):
    """Return the expected load of servers per slot."""
    used = sum(placement.expected_load(view, now) for view in views)
    return used / max(1, sum(view.slots for view in views))


def time_to_next_send(views, now):
    """Return the seconds until a limit and pause allow a request."""
    times = (max(view.next_send_at, view.paused_until) for view in views)
    return max(0.0, min(times, default=0.0) - now)
