"""Turns the signs of backend servers and the VM list into facts.

Facts spread by gossip, so that daemons which do not talk to a server learn
that it is leaving, also while the store is down.
"""

import gevent

from wigeonrouter import core
from wigeonrouter import store as store_api
from wigeonrouter.health import _vm_list

# Source of facts that come from a server's own sign of leaving.
OWN_SIGN = "own-sign"
# One daemon per region reads the list, so this costs the store one call
# every two seconds and region.
POLL_INTERVAL_S = 2.0
TASK = "vm-list-reader"
_ACTIVE = "active"
_DRAINING = core.ServerState.DRAINING.value


class DrainTracker:
    """Owns what this daemon has stated about backend servers."""

    def __init__(self, *, gossip, store, replica, apply_draining):
        self._gossip = gossip
        self._store = store
        self._replica = replica
        self._apply_draining = apply_draining
        self._by_host = {}
        gossip.subscribe_facts(self._on_facts)
        replica.subscribe(self._on_configuration)

    def announce(self, address, leaving):
        """State that a server gave a sign of leaving, or has come back.

        Args:
          address: core.Address.
          leaving: whether it leaves.
        """
        self._gossip.assert_fact(
            address=address,
            state=_DRAINING if leaving else _ACTIVE,
            source=OWN_SIGN,
        )

    def run(self):
        """Read the VM list while this daemon is the region's reader."""
        version = 0
        while True:
            gevent.sleep(POLL_INTERVAL_S)
            if not self._gossip.table.owns_in_region(TASK):
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
        """State what a store.VmListing says that is not known yet."""
        known = {
            fact.address: fact
            for fact in self._gossip.facts
            if fact.source == _vm_list.SOURCE
        }
        for statement in _vm_list.statements(
            listing=listing, by_host=self._by_host, known=known
        ):
            self._gossip.assert_fact(
                address=statement.address,
                state=statement.state,
                source=_vm_list.SOURCE,
            )

    def _on_facts(self, facts):
        self._apply_draining(
            frozenset(
                fact.address for fact in facts if fact.state == _DRAINING
            )
        )

    def _on_configuration(self, replica):
        self._by_host = _vm_list.servers_by_host(replica.services.values())
