"""The newest log entries, and what is needed to take them back."""

import collections
import dataclasses

from wigeonrouter import settings
from wigeonrouter.schema import settings_pb2

# Peers and operators get older revisions as a snapshot only.
RETAINED_ENTRIES = 1024
# One entry may hold 1 MB, and control may use 128 MB in all.
RETAINED_BYTES = 16 << 20


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Retained:
    entry: settings_pb2.LogEntry
    undo: tuple
    size: int


class RetainedLog:
    """Holds consecutive entries up to the newest revision.

    The ids of changes outlive their entries and come with snapshots: an
    operator may repeat a change id after the entry was forgotten.
    """

    def __init__(self, *, limit=RETAINED_ENTRIES, max_bytes=RETAINED_BYTES):
        self._limit = limit
        self._max_bytes = max_bytes
        self._size = 0
        self._entries = collections.OrderedDict()
        self._applied = collections.OrderedDict()

    @property
    def entries(self):
        """Tuple of the entries, oldest first."""
        return tuple(kept.entry for kept in self._entries.values())

    @property
    def applied(self):
        """List of settings_pb2.AppliedChange, oldest first."""
        return [
            settings_pb2.AppliedChange(change_id=change_id, revision=revision)
            for change_id, revision in self._applied.items()
        ]

    def add(self, entry, undo):
        """Add the next entry with the changes that take it back."""
        size = entry.ByteSize() + sum(change.ByteSize() for change in undo)
        self._entries[entry.revision] = _Retained(
            entry=entry, undo=tuple(undo), size=size
        )
        self._size += size
        while len(self._entries) > 1 and (
            len(self._entries) > self._limit or self._size > self._max_bytes
        ):
            _, oldest = self._entries.popitem(last=False)
            self._size -= oldest.size
        self._note(entry.change_id, entry.revision)

    def reset(self, applied):
        """Forget all entries, since a snapshot replaced the tree.

        Args:
          applied: iterable of settings_pb2.AppliedChange from the snapshot.
        """
        self._entries.clear()
        self._size = 0
        for change in applied:
            self._note(change.change_id, change.revision)

    def after(self, revision, *, newest):
        """Return the entries after a revision, or None; see Replica."""
        if revision >= newest:
            return ()
        if revision + 1 not in self._entries:
            return None
        return tuple(
            self._entries[number].entry
            for number in range(revision + 1, newest + 1)
        )

    def find(self, revision):
        """Return the retained entry of a revision, or None."""
        kept = self._entries.get(revision)
        return kept.entry if kept else None

    def find_change(self, change_id):
        """Return the entry of a change id, or None.

        Only revision and change id are set where the entry itself is no
        longer retained.
        """
        revision = self._applied.get(change_id)
        if revision is None:
            return None
        return self.find(revision) or settings_pb2.LogEntry(
            revision=revision, change_id=change_id
        )

    def tree_at(self, revision, *, root, newest):
        """Return a copy of the tree as of a retained revision, or None."""
        if revision > newest or (
            revision < newest and revision + 1 not in self._entries
        ):
            return None
        tree = settings_pb2.Node()
        tree.CopyFrom(root)
        for number in range(newest, revision, -1):
            settings.apply_in_place(
                root=tree, changes=self._entries[number].undo
            )
        return tree

    def _note(self, change_id, revision):
        self._applied[change_id] = revision
        while len(self._applied) > self._limit:
            self._applied.popitem(last=False)
