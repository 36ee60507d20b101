"""Chooses the entries that the directory names to a caller."""

from wigeonrouter import topology
from wigeonrouter.node import _remote_entries

# TTL of directory responses. All responses that list a stopping node have to
# expire before it stops accepting requests, and until then it takes requests
# that it may not finish, so a longer TTL would let more of them be cut off.
_ENTRIES_TTL_S = 1.0
# A directory request to a node that has just started waits this long for the
# configuration.
_STARTUP_WAIT_S = 0.4
# The directory names other nodes by a roster of at most this age. A change of
# the hub takes up to 3 s. Naming only itself during that time would spread
# callers over nodes that know no loads.
_MAX_ROSTER_AGE_S = 4.0
# Nodes of a region that serve the callers of one service (its homes).
_HOMES_PER_SERVICE = 1


class EntryChoice:
    """Chooses entries of this region, or of others for callers from there.

    Args:
      settings: function that returns topology.NodeSettings.
      cluster_state: ClusterState.
      region_member: RegionMember of this node.
      is_ready: function that returns whether this node is ready for callers.
    """

    def __init__(self, *, settings, cluster_state, region_member, is_ready):
        self._settings = settings
        self._cluster_state = cluster_state
        self._region_member = region_member
        self._is_ready = is_ready

    def ttl(self):
        """Return the seconds for which a caller may use the entries."""
        return min(_ENTRIES_TTL_S, self._settings().bounds.max_entry_ttl)

    def choose(self, query):
        """Return the tuple of core.Address for a messages.EntryQuery."""
        self._cluster_state.wait_configured(_STARTUP_WAIT_S)
        if self._cluster_state.configuration is None:
            return ()
        remote = _remote_entries.choose(
            query, settings=self._settings(), cluster_state=self._cluster_state
        )
        if remote is not None:
            return remote
        return self._choose_local(query)

    def _choose_local(self, query):
        settings = self._settings()
        services = self._cluster_state.routes.services_of(query.host)
        entry_nodes = topology.entry_nodes(
            service=services[0] if services else "",
            peers=topology.entry_peers(
                self._region_member.peers,
                keys_required=self._cluster_state.configuration.keys_required,
            ),
            own_host=settings.host,
            count=_HOMES_PER_SERVICE,
            roster_age=self._region_member.roster_age,
            max_age=_MAX_ROSTER_AGE_S,
        )
        if entry_nodes:
            return tuple(peer.caller_address for peer in entry_nodes)
        return (settings.caller_address,) if self._is_ready() else ()
