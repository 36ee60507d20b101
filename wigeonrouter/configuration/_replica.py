"""One daemon's replica of the configuration.

The replica owns the tree and the newest log entries. It applies revision N+1
only after revision N, so that it never serves an older revision again.
"""

from gevent import lock

from wigeonrouter import settings
from wigeonrouter import store as store_api
from wigeonrouter.configuration import _retained
from wigeonrouter.schema import settings_pb2

# Number of services that are built between two pauses; takes about 4 ms of
# processor time.
SERVICES_PER_PAUSE = 16


class ForkError(store_api.StoreError):
    """Two different entries have the same revision.

    Acceptance by compare-and-swap rules this out, so the store contradicts
    itself or a peer, and neither entry can be trusted.
    """


class Replica:
    """The tree at one revision and the services that are built from it."""

    def __init__(self, *, retained=_retained.MAX_RETAINED_ENTRIES, pause=None):
        """Start with an empty tree.

        Args:
          retained: number of entries to keep.
          pause: function that lets other tasks run, called regularly while
            services are built. At the target size a change of the root's
            settings would otherwise block a daemon for half a second.
            Readers get the old revision and services until all are built.
        """
        self._pause = pause
        # Held while a change is applied, because other tasks run in pauses.
        self._lock = lock.RLock()
        self._revision = 0
        self._root = settings_pb2.Node()
        self._services = {}
        self._log = _retained.RetainedLog(max_entries=retained)
        self._listeners = []
        self._snapshot_revision = 0

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
        """Dict from path to core.EffectiveService.

        Each change replaces the dict. A service that the change does not
        affect keeps its object.
        """
        return self._services

    @property
    def snapshot_revision(self):
        """Revision of the newest snapshot known to be in the store."""
        return self._snapshot_revision

    def record_snapshot(self, revision):
        """Record that the store holds a snapshot of a revision."""
        self._snapshot_revision = max(self._snapshot_revision, revision)

    def subscribe(self, listener):
        """Call listener(replica) after each change."""
        self._listeners.append(listener)

    def apply_entries(self, entries):
        """Apply log entries in ascending order.

        Entries that were applied before are skipped. The first gap ends the
        call, because later entries may depend on the missing one.

        Args:
          entries: an iterable of settings_pb2.LogEntry.
        Returns:
          The list of entries that were applied.
        Raises:
          ForkError: an entry differs from the applied one of the same
            revision; it and the entries after it are not applied.
        """
        with self._lock:
            revision, applied = self._revision, []
            try:
                for entry in entries:
                    if entry.revision <= revision:
                        self._check_fork(entry)
                        continue
                    if entry.revision != revision + 1:
                        break
                    self._apply(entry)
                    revision = entry.revision
                    applied.append(entry)
            finally:
                if applied:
                    self._rebuild(
                        revision,
                        {
                            change.path
                            for entry in applied
                            for change in entry.changes
                        },
                    )
        return applied

    def load_snapshot(self, snapshot):
        """Replace the tree by that of a newer settings_pb2.Snapshot.

        Returns:
          Whether the snapshot was newer than the replica.
        """
        with self._lock:
            if snapshot.revision <= self._revision:
                return False
            self._root.CopyFrom(snapshot.root)
            self._log.reset(snapshot.applied)
            self._rebuild(snapshot.revision, {"/"})
        return True

    def snapshot(self):
        """Return the tree as a settings_pb2.Snapshot."""
        with self._lock:
            return settings_pb2.Snapshot(
                revision=self._revision,
                root=self._root,
                applied=self._log.applied,
            )

    def entries_after(self, revision):
        """Return the log entries after a revision.

        Returns:
          A tuple of settings_pb2.LogEntry, or None where the oldest of them
          is no longer retained.
        """
        return self._log.entries_after(revision, newest=self._revision)

    def history(self):
        """Return the retained entries, oldest first."""
        return self._log.entries

    def find_change(self, change_id):
        """Return the entry with a change id, or None.

        Only revision and change id are set where the entry itself is no
        longer retained.
        """
        return self._log.find_change(change_id)

    def node_at(self, *, path, revision):
        """Return a node as it was at an older revision, for a rollback.

        Returns:
          A pair (retained, node): whether the revision can still be
          restored, and a copy of the settings_pb2.Node, or None if the path
          did not exist.
        """
        with self._lock:
            tree = self._log.tree_at(
                revision, root=self._root, newest=self._revision
            )
        if tree is None:
            return False, None
        return True, settings.find_node(root=tree, path=path)

    def _apply(self, entry):
        undo = []
        for change in entry.changes:
            undo_change = settings.undo_change(root=self._root, change=change)
            if undo_change is not None:
                undo.insert(0, undo_change)
            settings.apply_in_place(root=self._root, changes=(change,))
        self._log.add(entry, undo)

    def _check_fork(self, entry):
        known_entry = self._log.find(entry.revision)
        if (
            known_entry is not None
            and known_entry.change_id != entry.change_id
        ):
            raise ForkError(
                f"revision {entry.revision} holds change "
                f"{known_entry.change_id} in this replica and "
                f"{entry.change_id} in a received entry"
            )

    def _rebuild(self, revision, paths):
        """Rebuild the services at and below changed paths for a revision.

        Settings are inherited from parent to child only, so no other service
        changes.
        """
        old_services = self._services
        # The root becomes "", which is a prefix of every path.
        paths = {
            settings.join_path(settings.split_path(path)).rstrip("/")
            for path in paths
        }
        changed_prefixes = tuple(paths)
        services = dict(old_services)
        for path in old_services:
            if path.startswith(changed_prefixes) and any(
                f"{path}/".startswith(f"{changed_prefix}/")
                for changed_prefix in changed_prefixes
            ):
                del services[path]
        built = 0
        for changed in paths:
            for path, _ in settings.walk_services(self._root, changed):
                if path in services:
                    continue
                service = settings.build_service(root=self._root, path=path)
                old_service = old_services.get(path)
                services[path] = (
                    old_service if old_service == service else service
                )
                built += 1
                if self._pause is not None and built % SERVICES_PER_PAUSE == 0:
                    self._pause()
        self._services = services
        self._revision = revision
        for listener in self._listeners:
            listener(self)
