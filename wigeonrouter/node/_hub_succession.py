"""Whether the hub of a region makes way for another one.

Two hubs may exist after a partition, or while nodes start and stop.
"""

import gevent
from gevent import event

from wigeonrouter import topology
from wigeonrouter.node import _peer_requests

_CHECK_INTERVAL_S = 1.5
# A hub that stops looks for its successor so often, which may start only now.
_SUCCESSOR_CHECK_INTERVAL_S = 0.3


class HubSuccession:
    """Looks for other hubs while this node is one.

    Args:
      settings: topology.NodeSettings of the start.
      hub_search: HubSearch.
      role: function that returns this node's topology.Role.
      reaches_store: function that returns whether this node does.
      is_leaving: function that returns whether this node stops.
    """

    def __init__(
        self, *, settings, hub_search, role, reaches_store, is_leaving
    ):
        self._host = settings.host
        self._port = settings.peer_ports[0]
        self._hub_search = hub_search
        self._role = role
        self._reaches_store = reaches_store
        self._is_leaving = is_leaving
        # Whether another hub has announced itself that is better.
        self._replaced = False
        self._check_due = event.Event()

    def begin(self):
        """Forget the hubs of before, as this node becomes one."""
        self._hub_search.prefer("")
        self._replaced = False

    def check_soon(self):
        """End the present wait(), as this node begins to stop."""
        self._check_due.set()

    def wait(self):
        """Wait until other hubs are to be looked for."""
        interval = _CHECK_INTERVAL_S
        if self._is_leaving():
            interval = _SUCCESSOR_CHECK_INTERVAL_S
        self._check_due.wait(timeout=interval)
        self._check_due.clear()

    def should_step_down(self):
        """Look for other hubs; return whether to make way for one."""
        if self._replaced:
            return True
        if self._is_leaving():
            return self._hub_search.has_successor()
        order = self._hub_search.candidate_order()
        if order[0] == self._host and self._reaches_store():
            return False
        if not self._reaches_store():
            return self._hub_search.other_hub_reaches_store()
        roles = self._hub_search.query_roles()
        for host in topology.later_hubs(
            own_host=self._host, order=order, roles=roles
        ):
            self.announce(host)
        return topology.should_step_down(
            own_host=self._host, order=order, roles=roles
        )

    def announce(self, host):
        """Tell another node that this one is a hub, in a task of its own."""
        gevent.spawn(
            _peer_requests.announce_role,
            host,
            port=self._port,
            role=self._role(),
        )

    def on_announced(self, role):
        """Apply the topology.Role of a hub that has announced itself."""
        if role.hub in self._hub_search.avoided_hosts():
            return
        is_earlier = topology.should_step_down(
            own_host=self._host,
            order=self._hub_search.candidate_order(),
            roles={role.hub: role},
        )
        if is_earlier or (role.store_reachable and not self._reaches_store()):
            self._hub_search.prefer(role.hub)
            self._replaced = True
            self._check_due.set()
