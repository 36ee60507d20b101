"""Writes and reads snapshots of the tree in the store.

Chunks stay below the store's value limit. The pointer moves only forwards,
so that two writers at once do no harm.
"""

import dataclasses

from wigeonrouter.schema import settings_pb2

POINTER_KEY = "config/snapshot"
SNAPSHOT_INTERVAL = 1000
CHUNK_BYTES = 900_000


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Pointer:
    """Newest snapshot and the version of the pointer's key."""

    revision: int
    chunks: int
    version: int


def read_pointer(store):
    """Return the Pointer; revision 0 stands for "no snapshot"."""
    item = store.get(POINTER_KEY)
    if item is None:
        return Pointer(revision=0, chunks=0, version=0)
    message = settings_pb2.SnapshotPointer.FromString(item.value)
    return Pointer(
        revision=message.revision, chunks=message.chunks, version=item.version
    )


def load(*, store, replica):
    """Load the newest snapshot into a replica.

    Returns:
      Whether the replica advanced.
    """
    pointer = read_pointer(store)
    if pointer.revision <= replica.revision:
        return False
    parts = []
    for index in range(pointer.chunks):
        item = store.get(_chunk_key(pointer.revision, index))
        if item is None:
            return False
        parts.append(item.value)
    return replica.load_snapshot(
        settings_pb2.Snapshot.FromString(b"".join(parts))
    )


def write_if_due(*, store, replica):
    """Write a snapshot where the newest is SNAPSHOT_INTERVAL behind.

    Returns:
      Whether this call moved the pointer.
    """
    pointer = read_pointer(store)
    if replica.revision - pointer.revision < SNAPSHOT_INTERVAL:
        return False
    snapshot = replica.snapshot()
    data = snapshot.SerializeToString()
    chunks = [
        data[start : start + CHUNK_BYTES]
        for start in range(0, len(data), CHUNK_BYTES)
    ]
    for index, chunk in enumerate(chunks):
        key = _chunk_key(snapshot.revision, index)
        store.compare_and_swap(key=key, expected_version=0, value=chunk)
    moved = store.compare_and_swap(
        key=POINTER_KEY,
        expected_version=pointer.version,
        value=settings_pb2.SnapshotPointer(
            revision=snapshot.revision, chunks=len(chunks)
        ).SerializeToString(),
    )
    if moved:
        _delete_chunks(store, pointer)
    return moved


def _delete_chunks(store, pointer):
    for index in range(pointer.chunks):
        item = store.get(_chunk_key(pointer.revision, index))
        if item is not None:
            store.compare_and_swap(
                key=item.key, expected_version=item.version, value=None
            )


def _chunk_key(revision, index):
    return f"config/snapshot/{revision}/{index}"
