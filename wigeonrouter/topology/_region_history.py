"""Remembers the nodes of a region, to divide what holds for all of them.

A backend server's rate limit holds for all nodes together, and only the homes
that get the requests of its service use the server, mostly a single one. In a
partition each part of the region has such homes, so they use the share of the
limit that their part has of all nodes that were seen lately.
"""

from wigeonrouter.topology import _region

# A node that is no peer for longer is not in another part of the region.
_ABSENCE_S = 600.0


class RegionHistory:
    """Remembers which nodes were in the region of a node.

    All times are seconds on the monotonic clock.
    """

    def __init__(self):
        self._peers = ()
        self._last_seen = {}

    def update(self, peers, now):
        """Record the present Peers of the region."""
        # The ready nodes of the last update were there until now. Nodes that
        # are to leave are not ready before, so they are not missed.
        present = {peer.host: peer.ready for peer in (*self._peers, *peers)}
        last_seen = self._seen_lately(now)
        for host, ready in present.items():
            if ready:
                last_seen[host] = now
            else:
                last_seen.pop(host, None)
        self._last_seen = last_seen
        self._peers = tuple(peers)

    def limit_share(self, *, leading_services, own_host, now):
        """Return the share of rate limits that a node may use of a service.

        Args:
          leading_services: services whose homes get the requests of the
            service; see RouteTable.leading_services().
          own_host: host of the node.
          now: the present time.
        Returns:
          A number from 0 to 1, 0 if the node is no such home.
        """
        homes = {
            home.host
            for service in leading_services
            for home in _region.home_nodes(
                service=service, peers=self._peers, count=1
            )
        }
        if own_host not in homes:
            return 0.0
        live_hosts = {peer.host for peer in self._peers if peer.ready}
        known_hosts = live_hosts | self._seen_lately(now).keys()
        return len(live_hosts) / len(known_hosts) / len(homes)

    def _seen_lately(self, now):
        return {
            host: seen_at
            for host, seen_at in self._last_seen.items()
            if now - seen_at <= _ABSENCE_S
        }
