"""Derives facts on backend servers from the platform's VM list.

The list lags: it may still show a VM as live that has gone, but a VM that it
shows as leaving is leaving. So it is believed when it says leaving, and its
"live" only takes back what the list itself said before.
"""

import collections
import dataclasses

from wigeonrouter import core

SOURCE = "vm-list"
LEAVING = "leaving"
LIVE = "live"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ServerStatement:
    """What should be asserted of a backend server.

    Attributes:
      address: IP number and port, as text.
      state: value of core.ServerState.
    """

    address: str
    state: str


def servers_by_host(services):
    """Group the addresses of backend servers by IP number.

    Args:
      services: iterable of core.EffectiveService.
    Returns:
      A dict from IP number to a set of addresses as text.
    """
    grouped = collections.defaultdict(set)
    for service in services:
        for server in service.servers:
            grouped[server.address.host].add(str(server.address))
    return grouped


def statements(*, listing, by_host, known):
    """Compare the VM list with what is known.

    Args:
      listing: store.VmListing.
      by_host: result of servers_by_host().
      known: dict from address to an object with state and source.
    Returns:
      A tuple of ServerStatement that are news.
    """
    news = []
    for vm in listing.vms:
        for address in sorted(_addresses(vm.address, by_host)):
            fact = known.get(address)
            state = fact.state if fact else core.ServerState.READY.value
            if vm.state == LEAVING:
                wanted = core.ServerState.DRAINING.value
            elif vm.state == LIVE and fact and fact.source == SOURCE:
                wanted = core.ServerState.READY.value
            else:
                continue
            if wanted != state:
                news.append(ServerStatement(address=address, state=wanted))
    return tuple(news)


def _addresses(vm_address, by_host):
    host, _, port = vm_address.partition(":")
    found = by_host.get(host, set())
    return found & {vm_address} if port else found
