"""Maps requests to services and to kinds of traffic."""

import dataclasses

from wigeonrouter import core

# Requests that match no kind must not be assumed to be idempotent.
DEFAULT_KIND = core.TrafficKind(name="default", idempotent=False)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RoutingTable:
    """Names of services by header, host and path prefix.

    Attributes:
      by_header: dict from the value of X-Service to a service name.
      by_host: dict from host to a service name.
      by_prefix: tuple of (prefix, host or None, service name), longest prefix
        first.
    """

    by_header: dict
    by_host: dict
    by_prefix: tuple


def build_routing_table(services):
    """Build the RoutingTable from a dict of core.EffectiveService by name.

    A service with both hosts and path prefixes gets the requests that match
    one of each.
    """
    by_header, by_host, by_prefix = {}, {}, []
    for name, service in services.items():
        match = service.match
        if match.service_header:
            by_header[match.service_header] = name
        hosts = match.hosts or (None,)
        for prefix in match.path_prefixes:
            by_prefix.extend((prefix, host, name) for host in hosts)
        if not match.path_prefixes:
            by_host.update((host, name) for host in match.hosts)
    by_prefix.sort(key=lambda entry: (-len(entry[0]), entry[1] is None, entry))
    return RoutingTable(
        by_header=by_header, by_host=by_host, by_prefix=tuple(by_prefix)
    )


def find_service(*, table, header, host, path):
    """Return the name of the service for a request, or None.

    The header takes precedence; then the longest matching path prefix, where a
    prefix with a host precedes one without; then the host.
    """
    if header:
        return table.by_header.get(header)
    for prefix, prefix_host, name in table.by_prefix:
        if path.startswith(prefix) and prefix_host in (None, host):
            return name
    return table.by_host.get(host)


def find_kind(*, service, method, path):
    """Return the core.TrafficKind of a request.

    Of the matching kinds, the one with the longest path prefix wins. In a tie
    the non-idempotent kind wins, because it is the safe choice.
    """
    best, best_rank = DEFAULT_KIND, (-1, False)
    for kind in service.kinds:
        if kind.methods and method not in kind.methods:
            continue
        length = _matched_length(kind.path_prefixes, path)
        if length is None:
            continue
        sort_key = (length, not kind.idempotent)
        if sort_key > best_rank:
            best, best_rank = kind, sort_key
    return best


def _matched_length(prefixes, path):
    if not prefixes:
        return 0
    lengths = [len(p) for p in prefixes if path.startswith(p)]
    return max(lengths, default=None)
