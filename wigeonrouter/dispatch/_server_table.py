"""The backend views of one service, grouped by eligibility and region.

Each request changes one view twice. The table therefore replaces a view in
place while its eligibility stays the same, and rebuilds the groups only after
a change of a state, of the servers or of the set of draining servers.
"""

import dataclasses

from wigeonrouter import core
from wigeonrouter import health
from wigeonrouter import selection


class ServerTable:
    """Owns the views of all configured servers of a service.

    Args:
      place: core.Place of this daemon.
    """

    def __init__(self, *, place):
        self._place = place
        self._views = {}
        self._draining = frozenset()
        self._positions = {}
        self._eligible = []
        self._local = []
        self._remote = {}
        self._local_slots = 0
        self._has_cold = False

    @property
    def views(self):
        """Tuple of core.BackendView of all configured servers."""
        return tuple(self._views.values())

    @property
    def all_views(self):
        """All views without a copy; valid until the next change."""
        return self._views.values()

    @property
    def eligible(self):
        """Views of servers that may get requests; must not be modified."""
        return self._eligible

    @property
    def local(self):
        """Eligible views of the daemon's own region."""
        return self._local

    @property
    def remote(self):
        """Dict from each other region to its eligible views."""
        return self._remote

    @property
    def has_cold(self):
        """Whether any eligible server is in the state COLD."""
        return self._has_cold

    @property
    def local_slots(self):
        """Sum of the concurrency limits of the local eligible servers."""
        return self._local_slots

    def find(self, name):
        """Return the view of a server, or None."""
        return self._views.get(name)

    def configure(self, *, servers, now):
        """Apply a tuple of core.BackendServer; known views are kept."""
        views = {}
        for server in servers:
            view = self._views.get(server.name)
            if view is None or view.server.address != server.address:
                view = health.new_view(
                    server=server, now=now, known_group=bool(self._views)
                )
            else:
                view = dataclasses.replace(view, server=server)
            views[server.name] = view
        self._views = views
        self._rebuild_groups()

    def set_draining(self, *, addresses, now):
        """Apply the set of addresses of draining servers."""
        drain_ended = self._draining - addresses
        self._draining = addresses
        for name, view in self._views.items():
            if str(view.server.address) in drain_ended:
                self._views[name] = health.after_drain_end(view=view, now=now)
        self._rebuild_groups()

    def update(self, view):
        """Replace the view of a server."""
        name = view.server.name
        previous = self._views[name]
        self._views[name] = view
        if previous.state is not view.state:
            self._rebuild_groups()
            return
        position = self._positions.get(name)
        if position is None:
            return
        eligible_index, group, group_index = position
        self._eligible[eligible_index] = view
        group[group_index] = view
        if group is self._local and previous.limit != view.limit:
            self._local_slots += selection.concurrency_limit(view)
            self._local_slots -= selection.concurrency_limit(previous)

    def _rebuild_groups(self):
        self._positions = {}
        self._eligible, self._local, self._remote = [], [], {}
        for name, view in self._views.items():
            if not health.is_eligible(
                view=view, draining_addresses=self._draining
            ):
                continue
            region = view.server.place.region
            if region == self._place.region:
                group = self._local
            else:
                group = self._remote.setdefault(region, [])
            self._positions[name] = (len(self._eligible), group, len(group))
            self._eligible.append(view)
            group.append(view)
        self._local_slots = sum(
            selection.concurrency_limit(view) for view in self._local
        )
        self._has_cold = any(
            view.state is core.ServerState.COLD for view in self._eligible
        )
