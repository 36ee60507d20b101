"""The newest log entries, with the changes that undo them."""

import collections
import dataclasses

from wigeonrouter import settings
from wigeonrouter.schema import settings_pb2

# Peers and operators get older revisions only as part of a snapshot.
MAX_RETAINED_ENTRIES = 1024
# One entry may take 1 MB, and the control process may use 128 MB in total.
MAX_RETAINED_BYTES = 16 << 20


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _RetainedEntry:
    """An entry, the changes that undo it, and the size of both in bytes."""

    entry: settings_pb2.LogEntry
    undo: tuple
    byte_count: int


class RetainedLog:
    """A bounded log of consecutive entries up to the newest revision.

    Change ids are kept for longer than their entries and are part of
    snapshots, because an operator may repeat a change id after its entry was
    discarded.

    Args:
      max_entries: largest number of entries, and of change ids.
      max_bytes: largest size of the entries with their undo changes; the
        newest entry is kept even if it is larger.
    """

    def __init__(
        self, *, max_entries=MAX_RETAINED_ENTRIES, max_bytes=MAX_RETAINED_BYTES
    ):
        self._max_entries = max_entries
        self._max_bytes = max_bytes
        self._total_bytes = 0
        self._entries = collections.OrderedDict()
        self._applied = collections.OrderedDict()

    @property
    def entries(self):
        """Tuple of the entries, oldest first."""
        return tuple(retained.entry for retained in self._entries.values())

    @property
    def applied(self):
        """List of settings_pb2.AppliedChange, oldest first."""
        return [
            settings_pb2.AppliedChange(change_id=change_id, revision=revision)
            for change_id, revision in self._applied.items()
        ]

    def add(self, entry, undo):
        """Append the next entry and discard the oldest beyond the limits.

        Args:
          entry: settings_pb2.LogEntry.
          undo: iterable of settings_pb2.Change that undo the entry.
        """
        byte_count = entry.ByteSize() + sum(
            change.ByteSize() for change in undo
        )
        self._entries[entry.revision] = _RetainedEntry(
            entry=entry, undo=tuple(undo), byte_count=byte_count
        )
        self._total_bytes += byte_count
        while len(self._entries) > 1 and (
            len(self._entries) > self._max_entries
            or self._total_bytes > self._max_bytes
        ):
            _, oldest = self._entries.popitem(last=False)
            self._total_bytes -= oldest.byte_count
        self._record_change_id(entry.change_id, entry.revision)

    def reset(self, applied):
        """Discard all entries, after a snapshot has replaced the tree.

        Args:
          applied: iterable of settings_pb2.AppliedChange from the snapshot.
        """
        self._entries.clear()
        self._total_bytes = 0
        for change in applied:
            self._record_change_id(change.change_id, change.revision)

    def entries_after(self, revision, *, newest):
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
        retained = self._entries.get(revision)
        return retained.entry if retained else None

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
        """Return a copy of the tree at an older revision.

        Args:
          revision: the revision to restore.
          root: settings_pb2.Node, the tree at the newest revision.
          newest: the newest revision.
        Returns:
          settings_pb2.Node, or None if the revision is not reached yet or
          the entry after it is no longer retained.
        """
        if revision > newest or (
            revision < newest and revision + 1 not in self._entries
        ):
            return None
        restored = settings_pb2.Node()
        restored.CopyFrom(root)
        for number in range(newest, revision, -1):
            settings.apply_in_place(
                root=restored, changes=self._entries[number].undo
            )
        return restored

    def _record_change_id(self, change_id, revision):
        self._applied[change_id] = revision
        while len(self._applied) > self._max_entries:
            self._applied.popitem(last=False)
