"""Publishes which backend servers are draining, as gossiped facts.

The sources are announcements of the servers themselves and the VM list.
Gossip also reaches daemons that send no requests to a server, and it works
while the store is unavailable.
"""

import gevent

from wigeonrouter import core
from wigeonrouter import store as store_api
from wigeonrouter.health import _vm_list

# Source of facts that come from the announcement of a server itself.
SERVER_ANNOUNCEMENT = "own-sign"
# One daemon per region polls the VM list, so the store gets one call per
# region in each interval.
POLL_INTERVAL_S = 2.0
# Task of a region; its owner polls the VM list.
VM_LIST_READER_TASK = "vm-list-reader"
_ACTIVE = "active"
_DRAINING = core.ServerState.DRAINING.value


class DrainTracker:
    """Publishes drain facts and applies those of all daemons.

    Args:
      gossip: membership.Gossip.
      store: store.Store that holds the VM list.
      replica: configuration.Replica.
      apply_draining: function that is called with the frozen set of the
        addresses, as text, of all draining servers when the facts change.
    """

    def __init__(self, *, gossip, store, replica, apply_draining):
        self._gossip = gossip
        self._store = store
        self._replica = replica
        self._apply_draining = apply_draining
        self._addresses_by_host = {}
        gossip.subscribe_facts(self._on_facts_changed)
        replica.subscribe(self._on_configuration_changed)

    def announce(self, address, draining):
        """Publish that a server has announced or ended a drain.

        Args:
          address: core.Address.
          draining: True where the server is draining, False where it accepts
            requests again.
        """
        self._gossip.assert_fact(
            address=address,
            state=_DRAINING if draining else _ACTIVE,
            source=SERVER_ANNOUNCEMENT,
        )

    def run(self):
        """Poll the VM list while this daemon is the reader of its region."""
        version = 0
        while True:
            gevent.sleep(POLL_INTERVAL_S)
            if not self._gossip.table.owns_in_region(VM_LIST_READER_TASK):
                version = 0
                continue
            try:
                listing = self._store.list_vms(known_version=version)
            except store_api.StoreError:
                continue
            if listing is not None:
                version = listing.version
                self.apply_listing(listing)

    def apply_listing(self, listing):
        """Publish the differences between a store.VmListing and the facts."""
        known = {
            fact.address: fact
            for fact in self._gossip.facts
            if fact.source == _vm_list.SOURCE
        }
        for change in _vm_list.state_changes(
            listing=listing,
            addresses_by_host=self._addresses_by_host,
            known=known,
        ):
            self._gossip.assert_fact(
                address=change.address,
                state=change.state,
                source=_vm_list.SOURCE,
            )

    def _on_facts_changed(self, facts):
        self._apply_draining(
            frozenset(
                fact.address for fact in facts if fact.state == _DRAINING
            )
        )

    def _on_configuration_changed(self, replica):
        self._addresses_by_host = _vm_list.group_addresses_by_host(
            replica.services.values()
        )
