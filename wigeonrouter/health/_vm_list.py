"""Derives drain states of backend servers from the platform's VM list.

The list is stale at times: it may show a VM as live after its removal,
but a VM that it shows as leaving is leaving. So "leaving" always drains the
servers of a VM, while "live" only ends a drain that the list itself caused.
"""

import collections
import dataclasses

from wigeonrouter import core

SOURCE = "vm-list"
LEAVING = "leaving"
LIVE = "live"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StateChange:
    """New state of a backend server.

    Attributes:
      address: IP address and port, as text.
      state: value of core.ServerState.
    """

    address: str
    state: str


def group_addresses_by_host(services):
    """Group the addresses of backend servers by IP address.

    Args:
      services: iterable of core.EffectiveService.
    Returns:
      A dict from IP address to a set of addresses with port, as text.
    """
    grouped = collections.defaultdict(set)
    for service in services:
        for server in service.servers:
            grouped[server.address.host].add(str(server.address))
    return grouped


def state_changes(*, listing, addresses_by_host, known):
    """Compare the VM list with the facts that it has led to so far.

    A VM's address without a port stands for all servers on that IP address.

    Args:
      listing: store.VmListing.
      addresses_by_host: result of group_addresses_by_host().
      known: dict from address to a fact with state and source.
    Returns:
      A tuple of StateChange, empty where the facts are up to date.
    """
    changes = []
    for vm in listing.vms:
        for address in sorted(_addresses(vm.address, addresses_by_host)):
            fact = known.get(address)
            state = fact.state if fact else core.ServerState.READY.value
            if vm.state == LEAVING:
                new_state = core.ServerState.DRAINING.value
            elif vm.state == LIVE and fact and fact.source == SOURCE:
                new_state = core.ServerState.READY.value
            else:
                continue
            if new_state != state:
                changes.append(StateChange(address=address, state=new_state))
    return tuple(changes)


def _addresses(vm_address, addresses_by_host):
    host, _, port = vm_address.partition(":")
    addresses = addresses_by_host.get(host, set())
    return addresses & {vm_address} if port else addresses
