"""Home regions: the only regions whose servers may execute a request.

Load pattern: callers of all regions send requests that may be executed in some
regions only, because their data must not leave these. A node outside has no
local server for them. It sends them over a link whose round trip each of them
pays, so that the round trip leaves them less time and is no reason to wait for
a closer server.

A set of home regions is a frozenset of names, or None if all regions may serve
a request. An empty set means that none may: a route and a tenant may have no
home region in common.
"""

import dataclasses


def merge(route, tenant):
    """Return the home regions of a request.

    Args:
      route: topology.Route.
      tenant: topology.Tenant, None without one.
    Returns:
      The regions that both allow, None if all are allowed.
    """
    bounds = [
        owner.home_regions
        for owner in (route, tenant)
        if owner is not None and owner.home_regions
    ]
    if not bounds:
        return None
    return frozenset.intersection(*bounds)


def allows(home_regions, region):
    """Return whether a region may serve a request.

    Args:
      home_regions: frozenset of regions, None if all may serve it.
    """
    return home_regions is None or region in home_regions


def find_allowed(views, home_regions):
    """Return the ServerViews that may execute a request.

    Args:
      views: list of ServerViews.
      home_regions: frozenset of regions, None if all may serve it.
    """
    if home_regions is None:
        return views
    return [view for view in views if view.place.region in home_regions]


def unavoidable_round_trip(views):
    """Return the seconds that a request spends on the way in any case.

    Args:
      views: ServerViews that may execute it.
    """
    return min((view.round_trip for view in views), default=0.0)


def without_round_trip(request, round_trip):
    """Return a request with the time that is left for queue and server.

    Args:
      request: PendingRequest.
      round_trip: unavoidable_round_trip() of its servers.
    """
    return dataclasses.replace(
        request,
        target_time=request.target_time - round_trip,
        deadline=request.deadline - round_trip,
    )


def as_closest(view, *, round_trip, locality):
    """Return a server's view as if the closest servers were local.

    Args:
      view: ServerView.
      round_trip: unavoidable_round_trip() of the servers of the request.
      locality: locality without a cost.
    """
    return dataclasses.replace(
        view,
        round_trip=max(0.0, view.round_trip - round_trip),
        locality=locality,
    )


def entry_regions(routes, *, caller_region):
    """Return the regions whose nodes a caller of a host may be sent to.

    Args:
      routes: the topology.Routes of the host.
      caller_region: region of the caller, "" if unknown.
    Returns:
      Frozenset of regions, None if the host has no home regions.
    """
    bounds = [route.home_regions for route in routes if route.home_regions]
    if not bounds:
        return None
    return frozenset.intersection(*bounds) | ({caller_region} - {""})
