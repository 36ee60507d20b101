"""The backend views of one service, sorted by whether they may get work.

Each request changes one view twice. The table therefore replaces a view in
place as long as its eligibility stays the same, and sorts all views anew
only when a state, a server or the set of leaving servers has changed.
"""

import dataclasses

from wigeonrouter import core
from wigeonrouter import health
from wigeonrouter import selection


class ServerTable:
    """Owns the views of all configured servers of a service."""

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
        """Views of servers that may get work; readers must not modify it."""
        return self._eligible

    @property
    def local(self):
        """Eligible views of the own region."""
        return self._local

    @property
    def remote(self):
        """Dict from each other region to its eligible views."""
        return self._remote

    @property
    def has_cold(self):
        """Whether any eligible server is cold."""
        return self._has_cold

    @property
    def local_slots(self):
        """Number of requests that the local eligible servers may run."""
        return self._local_slots

    def find(self, name):
        """Return the view of a server, or None."""
        return self._views.get(name)

    def configure(self, *, servers, now):
        """Take over a tuple of core.BackendServer; known views are kept."""
        views = {}
        for server in servers:
            known = self._views.get(server.name)
            if known is None or known.server.address != server.address:
                known = health.new_view(
                    server=server, now=now, known_group=bool(self._views)
                )
            else:
                known = dataclasses.replace(known, server=server)
            views[server.name] = known
        self._views = views
        self._rebuild_groups()

    def set_draining(self, *, addresses, now):
        """Take over the addresses that are known to be leaving."""
        returned = self._draining - addresses
        self._draining = addresses
        for name, view in self._views.items():
            if str(view.server.address) in returned:
                self._views[name] = health.after_drain_end(view=view, now=now)
        self._rebuild_groups()

    def update(self, view):
        """Replace the view of a server."""
        name = view.server.name
        before = self._views[name]
        self._views[name] = view
        if before.state is not view.state:
            self._rebuild_groups()
            return
        position = self._positions.get(name)
        if position is None:
            return
        in_eligible, group, in_group = position
        self._eligible[in_eligible] = view
        group[in_group] = view
        if group is self._local and before.limit != view.limit:
            self._local_slots += selection.concurrency_limit(view)
            self._local_slots -= selection.concurrency_limit(before)

    def _rebuild_groups(self):
        self._positions = {}
        self._eligible, self._local, self._remote = [], [], {}
        for name, view in self._views.items():
            if not health.is_eligible(view=view, draining=self._draining):
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
