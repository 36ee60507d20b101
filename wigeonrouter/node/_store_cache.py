"""Copy of what lies in the store, whoever read it."""

import zlib

from wigeonrouter import store
from wigeonrouter.schema import node_pb2

# Larger messages are compressed; bytes between failure domains are paid.
_MIN_COMPRESSED_BYTES = 1_000
_COMPRESSION_LEVEL = 3


class StoreCache:
    """Owns the items of the store up to a revision.

    Args:
      apply: called with (items, revision, whole) after each step.
    """

    def __init__(self, *, apply):
        self._apply = apply
        self._items = {}
        self._revision = 0

    @property
    def revision(self):
        """Revision of the store, 0 before anything was read."""
        return self._revision

    def replace_all(self, items, revision):
        """Take over a complete listing."""
        if revision < self._revision:
            return
        self._items = {item.key: item for item in items}
        self._revision = revision
        self._apply(tuple(items), revision, True)

    def apply_changes(self, items, revision):
        """Take over changes, oldest first; the last one of a key counts."""
        fresh = {}
        for item in items:
            known = self._items.get(item.key)
            if known is not None and known.version >= item.version:
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
        """Return the Update that brings a copy of a revision up to date."""
        newer = [
            item for item in self._items.values() if item.version > revision
        ]
        return encode_update(
            items=newer,
            keys=self._items,
            revision=self._revision,
            whole=True,
        )

    def apply_update(self, update):
        """Take over an Update message."""
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


def encode_update(*, items, revision, whole=False, keys=()):
    """Return the Update message of store items."""
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
        items=data, compressed=compressed, whole=whole, revision=revision
    )


def decode_update(update):
    """Return the pair (items, keys) of an Update message."""
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
