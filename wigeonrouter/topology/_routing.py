"""Finds the route of a request and the service that one request goes to."""

import bisect


class RouteTable:
    """Routes by host; the longest prefix of a path wins."""

    def __init__(self, routes):
        """Index an iterable of topology.Route."""
        self._by_host = {}
        for route in routes:
            self._by_host.setdefault(route.host, {})[route.prefix] = route
        self._lengths = {
            host: sorted({len(prefix) for prefix in table}, reverse=True)
            for host, table in self._by_host.items()
        }

    def find(self, *, host, path):
        """Return the topology.Route of a request, or None."""
        table = self._by_host.get(host)
        if table is None:
            return None
        for length in self._lengths[host]:
            route = table.get(path[:length])
            if route is not None:
                return route
        return None

    def services_of(self, host):
        """Return the services of a host's routes, heaviest first."""
        weights = {}
        for route in self._by_host.get(host, {}).values():
            for share in route.shares:
                weights[share.service] = (
                    weights.get(share.service, 0) + share.weight
                )
        return sorted(weights, key=lambda name: (-weights[name], name))


class TrafficSplitter:
    """Divides each route's requests by weight.

    Each node draws at random. With a fixed rotation, nodes that see few
    requests would all start with the same service.
    """

    def __init__(self, *, rng):
        self._rng = rng

    def choose(self, route):
        """Return the name of the service that gets the next request."""
        shares = route.shares
        if len(shares) == 1:
            return shares[0].service
        edges = []
        total = 0
        for share in shares:
            total += share.weight
            edges.append(total)
        drawn = self._rng.randrange(total)
        return shares[bisect.bisect_right(edges, drawn)].service
