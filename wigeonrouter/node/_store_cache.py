"""In-memory copy of the store's items and its messages between nodes."""

import zlib

from wigeonrouter import store
from wigeonrouter.schema import node_pb2

# Larger messages are compressed, because traffic between failure domains is
# billed.
_MIN_COMPRESSED_BYTES = 1_000
_COMPRESSION_LEVEL = 3


class StoreCache:
    """Holds the items of the store as of a revision.

    It is filled from the store on the hub and from Update messages on the
    followers.

    Args:
      apply: called with (items, revision, complete) after each change, where
        `complete` tells whether these are all items of the store.
    """

    def __init__(self, *, apply):
        self._apply = apply
        self._items = {}
        self._revision = 0

    @property
    def revision(self):
        """Revision of the store, 0 until something was read."""
        return self._revision

    def replace_all(self, items, revision):
        """Replace all items by a complete listing.

        A listing that is older than the cache is ignored.
        """
        if revision < self._revision:
            return
        self._items = {item.key: item for item in items}
        self._revision = revision
        self._apply(tuple(items), revision, True)

    def apply_changes(self, items, revision):
        """Apply changes, oldest first; the last change of a key wins.

        Changes up to the cache's revision are ignored: a new hub may have read
        less of the store than the previous one, and the removal of an item
        leaves nothing in the cache to compare with.
        """
        known_revision = self._revision
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
        self._revision = max(self._revision, revision)
        if fresh:
            self._apply(tuple(fresh.values()), self._revision, False)

    def update_since(self, revision):
        """Return the Update that brings a cache at a revision up to date.

        It has the newer items and all keys, so that the receiver also drops
        removed keys.
        """
        newer = [
            item for item in self._items.values() if item.version > revision
        ]
        return encode_update(
            items=newer,
            keys=self._items,
            revision=self._revision,
            complete=True,
        )

    def apply_update(self, update):
        """Apply an Update message."""
        items, keys = decode_update(update)
        if not update.whole:
            self.apply_changes(items, update.revision)
            return
        if update.revision < self._revision:
            return
        merged = {key: self._items[key] for key in keys if key in self._items}
        for item in items:
            merged[item.key] = item
        self.replace_all(merged.values(), update.revision)


def encode_update(*, items, revision, complete=False, keys=()):
    """Encode store items as an Update message.

    Args:
      items: store.Items; a removed one has no value.
      revision: revision of the store that they belong to.
      complete: whether `keys` lists all keys of the store.
      keys: keys of the store.
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
        items=data, compressed=compressed, whole=complete, revision=revision
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
