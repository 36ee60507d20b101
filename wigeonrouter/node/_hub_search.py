"""Finds the hub of a region among the nodes that are known.

A node asks only some candidates for their roles, so it also keeps what it was
told of hubs, and which of them it has lost.
"""

import time

from wigeonrouter import topology
from wigeonrouter.node import _peer_requests

# A hub that this node lost is not followed again for this time.
_FAILED_HUB_AVOID_S = 2.0
# Nodes that are asked for their roles at a time. Any node knows the current
# hub, so a few are enough; if none replies, more are asked.
_FIRST_QUERIED_HOSTS = 6
_QUERIED_HOSTS_GROWTH = 4
# Nodes that did not reply are asked after the others for this time. Those that
# were removed stay registered.
_SILENT_HOST_S = 10.0


class HubSearch:
    """Asks the nodes of a region for their roles.

    Args:
      settings: topology.NodeSettings.
      cluster_state: ClusterState, which has the hosts of the region.
    """

    def __init__(self, *, settings, cluster_state, clock=time.monotonic):
        self._host = settings.host
        self._region = settings.place.region
        self._port = settings.peer_ports[0]
        self._cluster_state = cluster_state
        self._clock = clock
        self._avoided_until = {}
        self._silent_until = {}
        # A hub that those which are asked may not know, "" for none.
        self._successor = ""

    @property
    def successor(self):
        """Host of the hub that is asked first, "" for none."""
        return self._successor

    def prefer(self, host):
        """Ask a host first, which is known to be a hub; "" for none."""
        self._successor = host

    def candidate_order(self):
        """Return the hosts of the region in order of preference."""
        hosts = self._cluster_state.hosts(self._region)
        return topology.candidate_order(self._region, hosts | {self._host})

    def avoid(self, host):
        """Do not follow or ask a host for a while."""
        self._avoided_until[host] = self._clock() + _FAILED_HUB_AVOID_S

    def avoided_hosts(self):
        """Return the frozenset of hosts that are not followed now."""
        self._avoided_until = _without_past(self._avoided_until, self._clock())
        return frozenset(self._avoided_until)

    def query_roles(self):
        """Query some peers for their roles; return a dict by host."""
        hosts = self._hosts_to_query()
        first, count = 0, _FIRST_QUERIED_HOSTS
        while first < len(hosts):
            queried = hosts[first : first + count]
            roles = _peer_requests.query_roles(queried, port=self._port)
            self._record_replies(queried, roles)
            if roles:
                return roles
            first += count
            count *= _QUERIED_HOSTS_GROWTH
        return {}

    def _hosts_to_query(self):
        """Return the peers that may be asked, those that reply first."""
        avoided = self.avoided_hosts()
        self._silent_until = _without_past(self._silent_until, self._clock())
        hosts = [
            host
            for host in self.candidate_order()
            if host != self._host and host not in avoided
        ]
        hosts.sort(key=lambda host: host in self._silent_until)
        if self._successor in hosts:
            hosts.remove(self._successor)
            hosts.insert(0, self._successor)
        return hosts

    def _record_replies(self, queried, roles):
        until = self._clock() + _SILENT_HOST_S
        for host in queried:
            if host in roles:
                self._silent_until.pop(host, None)
            else:
                self._silent_until[host] = until

    def other_hub_reaches_store(self):
        """Return whether another hub is found that reaches the store."""
        return any(
            role.kind is topology.RoleKind.HUB and role.store_reachable
            for role in self.query_roles().values()
        )

    def has_successor(self):
        """Return whether other nodes have another hub than this node."""
        return any(
            role.hub not in ("", self._host) and role.store_reachable
            for role in self.query_roles().values()
        )

    def decide_role(self, *, reaches_store):
        """Return the topology.Decision of which hub to follow."""
        return topology.decide_role(
            own_host=self._host,
            order=self.candidate_order(),
            roles=self.query_roles(),
            excluded_hosts=self.avoided_hosts(),
            reaches_store=reaches_store,
        )


def _without_past(times, now):
    """Return a dict from host to a time without the times that are over."""
    return {host: until for host, until in times.items() if until > now}
