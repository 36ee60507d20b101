"""Finds the route of a request and selects its service."""

import bisect
import collections


class RouteTable:
    """Routes by host and path; the longest matching prefix wins."""

    def __init__(self, routes):
        """Index an iterable of topology.Route."""
        self._by_host = {}
        for route in routes:
            self._by_host.setdefault(route.host, {})[route.prefix] = route
        self._prefix_lengths = {
            host: sorted({len(prefix) for prefix in table}, reverse=True)
            for host, table in self._by_host.items()
        }
        self._leading_services = collections.defaultdict(set)
        for host in self._by_host:
            services = self.services_of(host)
            for service in services:
                self._leading_services[service].add(services[0])

    def find(self, *, host, path):
        """Return the topology.Route of a request, or None."""
        table = self._by_host.get(host)
        if table is None:
            return None
        for length in self._prefix_lengths[host]:
            route = table.get(path[:length])
            if route is not None:
                return route
        return None

    def routes_of(self, host):
        """Return the topology.Routes of a host."""
        return tuple(self._by_host.get(host, {}).values())

    def services_of(self, host):
        """Return the services of a host's routes, by descending weight."""
        weights = {}
        for route in self._by_host.get(host, {}).values():
            for share in route.shares:
                weights[share.service] = (
                    weights.get(share.service, 0) + share.weight
                )
        return sorted(weights, key=lambda name: (-weights[name], name))

    def leading_services(self, service):
        """Return the services whose homes get the requests of a service.

        Callers of a host are sent to the home of its first service, also with
        requests of its other services.
        """
        return frozenset(self._leading_services.get(service, ()))


class TrafficSplitter:
    """Splits the requests of each route between services by weight.

    Each node selects at random. In a fixed rotation, nodes with few requests
    would all start with the same service.

    Args:
      rng: random.Random.
    """

    def __init__(self, *, rng):
        self._rng = rng

    def choose(self, route):
        """Return the name of the service for the next request of a route."""
        shares = route.shares
        if len(shares) == 1:
            return shares[0].service
        cumulative_weights = []
        total = 0
        for share in shares:
            total += share.weight
            cumulative_weights.append(total)
        point = self._rng.randrange(total)
        return shares[bisect.bisect_right(cumulative_weights, point)].service
