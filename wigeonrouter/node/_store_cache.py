"""In-memory copy of the store's items and its messages between nodes."""

import zlib

from wigeonrouter import store
from wigeonrouter.schema import node_pb2

# Larger messages are compressed, because traffic between failure domains is
# billed.
_MIN_COMPRESSED_BYTES = 1_000
_COMPRESSION_LEVEL = 3


class StoreCache:
    """Holds the items of the store as of a position in its history.

    It is filled from the store on the hub and from Update messages on the
    followers.

    Args:
      apply: called with (items, complete) after each change, where
        `complete` tells whether these are all items of the store.
    """

    def __init__(self, *, apply):
        self._apply = apply
        self._items = {}
        self._position = store.Position()

    @property
    def position(self):
        """store.Position of the items."""
        return self._position

    @property
    def filled(self):
        """Whether anything was read from the store."""
        return self._position.revision > 0

    def replace_all(self, items, position):
        """Replace all items by a complete listing.

        A listing that is older than the cache is ignored.
        """
        if position.revision < self._position.revision:
            return
        self._items = {item.key: item for item in items}
        self._position = position
        self._apply(tuple(items), True)

    def apply_changes(self, items, position):
        """Apply changes, oldest first; the last change of a key wins.

        Changes up to the cache's revision are ignored: a new hub may have read
        less of the store than the previous one, and the removal of an item
        leaves nothing in the cache to compare with.
        """
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
        if position.revision > known_revision:
            self._position = position
        if fresh:
            self._apply(tuple(fresh.values()), False)

    def update_since(self, position):
        """Return the Update that brings a cache at a position up to date.

        It has the newer items and all keys, so that the receiver also drops
        removed keys.
        """
        newer = [
            item
            for item in self._items.values()
            if item.version > position.revision
        ]
        return encode_update(
            items=newer,
            keys=self._items,
            position=self._position,
            complete=True,
        )

    def apply_update(self, update):
        """Apply an Update message."""
        items, keys = decode_update(update)
        position = read_position(update)
        if not update.whole:
            self.apply_changes(items, position)
            return
        if position.revision < self._position.revision:
            return
        merged = {key: self._items[key] for key in keys if key in self._items}
        for item in items:
            merged[item.key] = item
        self.replace_all(merged.values(), position)


def read_position(message):
    """Return the store.Position that a message between nodes names."""
    return store.Position(era=message.era, revision=message.revision)


def encode_update(*, items, position, complete=False, keys=()):
    """Encode store items as an Update message.

    Args:
      items: store.Items; a removed one has no value.
      position: store.Position that they belong to.
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
        items=data,
        compressed=compressed,
        whole=complete,
        revision=position.revision,
        era=position.era,
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
