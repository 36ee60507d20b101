"""Earlier trees, for comparing revisions and for rolling back.

Log entries hold new values only, so an earlier tree is rebuilt from an older
one. That base moves along as entries grow older than the retention.
"""

import collections

from wigeonrouter import settings
from wigeonrouter.configuration import _replica
from wigeonrouter.schema import settings_pb2


class RevisionHistory:
    """Owns the tree before the oldest retained entry, and the entries."""

    def __init__(self, *, replica, retained=_replica.RETAINED_ENTRIES):
        self._replica = replica
        self._retained = retained
        self._base = settings_pb2.Node()
        self._base_revision = 0
        self._entries = collections.deque()
        self._restart()
        replica.subscribe(self._follow)

    @property
    def oldest_revision(self):
        """Oldest revision whose tree can be rebuilt."""
        return self._base_revision

    def tree_at(self, revision):
        """Return the tree at a revision.

        Returns:
          A settings_pb2.Node that the caller owns, or None where the
          revision is not retained or does not exist yet.
        """
        if not self._base_revision <= revision <= self._newest:
            return None
        root = settings_pb2.Node()
        root.CopyFrom(self._base)
        for entry in self._entries:
            if entry.revision > revision:
                break
            settings.apply_in_place(root=root, changes=entry.changes)
        return root

    @property
    def _newest(self):
        return self._base_revision + len(self._entries)

    def _follow(self, replica):
        entries = replica.entries_after(self._newest)
        if entries is None or self._newest > replica.revision:
            self._restart()
            return
        self._entries.extend(entries)
        while len(self._entries) > self._retained:
            oldest = self._entries.popleft()
            settings.apply_in_place(root=self._base, changes=oldest.changes)
            self._base_revision = oldest.revision

    def _restart(self):
        self._base.CopyFrom(self._replica.root)
        self._base_revision = self._replica.revision
        self._entries.clear()
