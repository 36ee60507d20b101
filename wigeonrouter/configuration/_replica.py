"""One daemon's copy of the configuration.

The replica owns the tree and the newest log entries. It takes revision N+1
only after N, so what it serves never reverts.
"""

import collections

from wigeonrouter import settings
from wigeonrouter.schema import settings_pb2

# Peers and operators get older revisions as a snapshot only.
RETAINED_ENTRIES = 1024


class Replica:
    """Holds the tree at one revision and the services built from it."""

    def __init__(self, *, retained=RETAINED_ENTRIES):
        self._revision = 0
        self._root = settings_pb2.Node()
        self._services = {}
        self._entries = collections.OrderedDict()
        self._retained = retained
        self._listeners = []

    @property
    def revision(self):
        """Newest applied revision, 0 for an empty tree."""
        return self._revision

    @property
    def root(self):
        """The tree; readers must not modify it."""
        return self._root

    @property
    def services(self):
        """Dict from path to core.EffectiveService."""
        return self._services

    def subscribe(self, listener):
        """Call listener(replica) after each change."""
        self._listeners.append(listener)

    def apply_entries(self, entries):
        """Apply log entries in ascending order.

        Entries that are already applied are skipped; the first gap ends the
        run, since a later entry may depend on the missing one.

        Args:
          entries: an iterable of settings_pb2.LogEntry.
        Returns:
          The list of entries that were applied.
        """
        applied = []
        for entry in entries:
            if entry.revision <= self._revision:
                continue
            if entry.revision != self._revision + 1:
                break
            settings.apply_in_place(root=self._root, changes=entry.changes)
            self._revision = entry.revision
            self._remember(entry)
            applied.append(entry)
        if applied:
            self._rebuild(
                [change.path for entry in applied for change in entry.changes]
            )
        return applied

    def load_snapshot(self, snapshot):
        """Replace the tree by a newer one.

        Returns:
          Whether the snapshot was newer than the replica.
        """
        if snapshot.revision <= self._revision:
            return False
        self._root.CopyFrom(snapshot.root)
        self._revision = snapshot.revision
        self._entries.clear()
        self._services = {}
        self._rebuild(["/"])
        return True

    def snapshot(self):
        """Return the tree as a settings_pb2.Snapshot."""
        return settings_pb2.Snapshot(revision=self._revision, root=self._root)

    def entries_after(self, revision):
        """Return the entries after a revision.

        Returns:
          A tuple of settings_pb2.LogEntry, or None where the oldest of them
          is no longer retained.
        """
        if revision >= self._revision:
            return ()
        if revision + 1 not in self._entries:
            return None
        return tuple(
            self._entries[number]
            for number in range(revision + 1, self._revision + 1)
        )

    def history(self):
        """Return the retained entries, oldest first."""
        return tuple(self._entries.values())

    def find_change(self, change_id):
        """Return the retained entry with a change id, or None."""
        for entry in reversed(self._entries.values()):
            if entry.change_id == change_id:
                return entry
        return None

    def _remember(self, entry):
        self._entries[entry.revision] = entry
        while len(self._entries) > self._retained:
            self._entries.popitem(last=False)

    def _rebuild(self, paths):
        services = {
            path: service
            for path, service in self._services.items()
            if not any(settings.paths_overlap(path, p) for p in paths)
        }
        for path, _ in settings.walk_services(self._root):
            if path not in services:
                services[path] = settings.build_service(
                    root=self._root, path=path
                )
        self._services = services
        for listener in self._listeners:
            listener(self)
