"""In-memory copy of the store's items and its messages between nodes."""

import dataclasses
import zlib

from wigeonrouter import store
from wigeonrouter import topology
from wigeonrouter.schema import node_pb2

# Larger messages are compressed, because traffic between failure domains is
# billed.
_MIN_COMPRESSED_BYTES = 1_000
_COMPRESSION_LEVEL = 3
# Era of a store that was never restored.
_FIRST_ERA = 1


class RestoreMissed(Exception):
    """Changes belong to an era of which the cache has not all items."""


class StoreCache:
    """Holds the items of the store as of a position in its history.

    It is filled from the store on the hub and from Update messages on the
    followers.

    Items of a stale listing may be from before a restore of the store, while
    the answer names the era that followed. Such a copy is not confirmed: its
    position is revision 0 of that era, so that nothing is taken to be known
    of the era, here or by a node that is told the position.

    Args:
      apply: called with (items, topology.ContentScope) after each change.
      export_memory: function that returns the StoreMemory message of what a
        restored store has lost, None if there is nothing.
      import_memory: called with the StoreMemory message of another node,
        before its items are applied.
    """

    def __init__(
        self,
        *,
        apply,
        export_memory=lambda: None,
        import_memory=lambda message: None,
    ):
        self._apply = apply
        self._export_memory = export_memory
        self._import_memory = import_memory
        self._items = {}
        self._position = store.Position()
        self._filled = False
        self._confirmed = True

    @property
    def position(self):
        """store.Position of the items, revision 0 if they are unconfirmed."""
        return self._position

    @property
    def filled(self):
        """Whether anything was read from the store."""
        return self._filled

    @property
    def confirmed(self):
        """Whether the items are those of the store at the position."""
        return self._confirmed

    def replace_all(self, items, position, *, stale=False):
        """Replace all items by a complete listing.

        A listing that is older than the cache is ignored.

        Args:
          items: store.Items.
          position: store.Position.
          stale: whether the listing may be seconds old.
        """
        confirmed = not stale or position.era <= _FIRST_ERA
        self._replace(items, position, confirmed=confirmed)

    def _replace(self, items, position, *, confirmed):
        """Replace all items, unless those of the cache are as good.

        Unconfirmed items never replace confirmed ones.
        """
        if not confirmed:
            position = dataclasses.replace(position, revision=0)
        outdated = position < self._position
        if outdated or (self._filled and self._confirmed and not confirmed):
            return
        restored = self._filled and position.era > self._position.era
        self._filled = self._filled or not confirmed or position.revision > 0
        self._confirmed = confirmed
        self._items = {item.key: item for item in items}
        self._position = position
        scope = topology.ContentScope.COMPLETE
        if restored:
            scope = topology.ContentScope.RESTORED
        self._apply(tuple(items), scope)

    def apply_changes(self, items, position):
        """Apply changes, oldest first; the last change of a key wins.

        Changes up to the cache's position are ignored: a new hub may have read
        less of the store than the previous one, and the removal of an item
        leaves nothing in the cache to compare with.

        Raises:
          RestoreMissed: the changes belong to a later era than the cache, or
            it may have the items of an earlier era.
        """
        if position.era < self._position.era:
            return
        if position.era > self._position.era or not self._confirmed:
            raise RestoreMissed()
        known_revision = self._position.revision
        fresh = {}
        for item in items:
            if item.version <= known_revision:
                continue
            cached = self._items.get(item.key)
            if cached is not None and cached.version >= item.version:
                continue
            if item.value is None:
                self._items.pop(item.key, None)
            else:
                self._items[item.key] = item
            fresh.pop(item.key, None)
            fresh[item.key] = item
        self._position = max(self._position, position)
        if fresh:
            self._apply(tuple(fresh.values()), topology.ContentScope.CHANGES)

    def update_since(self, position):
        """Return the Update that brings a cache at a position up to date.

        It has the newer items and all keys, so that the receiver also drops
        removed keys. It has all items if those of the receiver may be from
        before a restore of the store: unconfirmed ones have revision 0, and
        nodes of earlier builds state more than they know, at least as long as
        there is a memory of the restore.
        """
        memory = self._export_memory()
        comparable = position.era == self._position.era and memory is None
        newer = [
            item
            for item in self._items.values()
            if not comparable or item.version > position.revision
        ]
        return encode_update(
            items=newer,
            keys=self._items,
            position=self._position,
            complete=True,
            confirmed=self._confirmed,
            memory=memory,
        )

    def apply_update(self, update):
        """Apply an Update message.

        Returns:
          The numbers of items and of keys that it has.
        Raises:
          RestoreMissed: it has changes of a later era than the cache.
        """
        items, listed_keys = decode_update(update)
        counts = len(items), len(listed_keys)
        keys = frozenset(listed_keys)
        position = read_position(update)
        if not position.era:
            # A hub of an earlier build does not name it.
            position = dataclasses.replace(position, era=self._position.era)
        if not update.whole:
            self.apply_changes(items, position)
            return counts
        if position < self._position:
            return counts
        if update.HasField("memory"):
            self._import_memory(update.memory)
        merged = {}
        if position.era == self._position.era and self._confirmed:
            merged = {
                key: item for key, item in self._items.items() if key in keys
            }
        merged.update((item.key, item) for item in items)
        for item in self._items_newer_than(position):
            listed = merged.get(item.key)
            if listed is None or listed.version < item.version:
                merged[item.key] = item
        self._replace(
            merged.values(), position, confirmed=not update.unconfirmed
        )
        return counts

    def _items_newer_than(self, position):
        """Return the items that the store has changed after a position.

        The later pages of a listing have such items.
        """
        if position.era != self._position.era or not self._confirmed:
            return ()
        return tuple(
            item
            for item in self._items.values()
            if item.version > position.revision
        )


def read_position(message):
    """Return the store.Position that a message between nodes names."""
    return store.Position(era=message.era, revision=message.revision)


def encode_update(
    *, items, position, complete=False, confirmed=True, keys=(), memory=None
):
    """Encode store items as an Update message.

    Args:
      items: store.Items; a removed one has no value.
      position: store.Position that they belong to.
      complete: whether `keys` lists all keys of the store.
      confirmed: whether the items are surely of the position's era.
      keys: keys of the store.
      memory: StoreMemory message, None for none.
    """
    data = node_pb2.StoreItems(
        items=[
            node_pb2.StoreItem(
                key=item.key,
                value=item.value or b"",
                version=item.version,
                removed=item.value is None,
            )
            for item in items
        ],
        keys=list(keys),
    ).SerializeToString()
    compressed = len(data) > _MIN_COMPRESSED_BYTES
    if compressed:
        data = zlib.compress(data, _COMPRESSION_LEVEL)
    return node_pb2.Update(
        items=data,
        compressed=compressed,
        whole=complete,
        revision=position.revision,
        era=position.era,
        memory=memory,
        unconfirmed=not confirmed,
    )


def decode_update(update):
    """Decode an Update message into the pair (items, keys)."""
    data = zlib.decompress(update.items) if update.compressed else update.items
    parsed = node_pb2.StoreItems.FromString(data)
    items = [
        store.Item(
            key=item.key,
            value=None if item.removed else item.value,
            version=item.version,
        )
        for item in parsed.items
    ]
    return items, list(parsed.keys)
