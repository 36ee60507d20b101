"""Entries in other regions, for callers who must not be sent to this one.

The directory of a region is also asked by callers of other regions. The body
of a request with home regions must not reach a node outside of these and of
its caller's region.
"""

from wigeonrouter import core
from wigeonrouter import placement
from wigeonrouter import topology

# Entries that a caller is told. It is not known here whether they are ready,
# so there is a second one.
_MAX_ENTRIES = 2


def choose(query, *, settings, cluster_state):
    """Return the entries in other regions that a caller must be sent to.

    Entries of the caller's own region are closest to it, so the others are
    only named if it has none.

    Args:
      query: messages.EntryQuery.
      settings: topology.NodeSettings.
      cluster_state: ClusterState.
    Returns:
      Tuple of core.Address, None if entries of this region may be named.
    """
    own_region = settings.place.region
    regions = placement.entry_regions(
        cluster_state.routes.routes_of(query.host),
        caller_region=query.place.region,
    )
    if placement.allows_region(regions, own_region):
        return None
    services = cluster_state.routes.services_of(query.host)
    for nearest in (frozenset({query.place.region}), regions):
        hosts = topology.remote_forwarding_hosts(
            service=services[0] if services else "",
            hosts=cluster_state.remote_hosts(own_region, nearest),
            count=_MAX_ENTRIES,
        )
        if hosts:
            port = settings.caller_address.port
            return tuple(core.Address(host=host, port=port) for host in hosts)
    return ()
