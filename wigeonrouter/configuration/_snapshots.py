"""Writes and reads snapshots of the tree in the store.

Chunks stay below the store's value limit. The pointer moves only forwards,
so that two writers at once do no harm.
"""

import dataclasses
import uuid

from google.protobuf import message as protobuf_message
import xxhash

from wigeonrouter.schema import settings_pb2

POINTER_KEY = "config/snapshot"
SNAPSHOT_INTERVAL = 1000
CHUNK_BYTES = 900_000
_CHUNK_PREFIX = "config/snapshot/"
# A newer snapshot may replace the one that is being read.
_LOAD_ATTEMPTS = 3


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Pointer:
    """Newest snapshot and the version of the pointer's key."""

    revision: int = 0
    chunks: int = 0
    tag: str = ""
    digest: int = 0
    version: int = 0

    def chunk_key(self, index):
        """Return the store key of a chunk."""
        return f"{_CHUNK_PREFIX}{self.revision}.{self.tag}/{index}"


def read_pointer(store):
    """Return the Pointer; revision 0 stands for "no snapshot"."""
    item = store.get(POINTER_KEY)
    if item is None:
        return Pointer()
    message = settings_pb2.SnapshotPointer.FromString(item.value)
    return Pointer(
        revision=message.revision,
        chunks=message.chunks,
        tag=message.tag,
        digest=message.digest,
        version=item.version,
    )


def load(*, store, replica):
    """Load the newest snapshot into a replica.

    Returns:
      Whether the replica advanced.
    """
    for _ in range(_LOAD_ATTEMPTS):
        pointer = read_pointer(store)
        replica.note_snapshot(pointer.revision)
        if pointer.revision <= replica.revision:
            return False
        snapshot = _read(store, pointer)
        if snapshot is not None:
            return replica.load_snapshot(snapshot)
    return False


def is_due(replica):
    """Return whether a snapshot should be written as far as is known."""
    return replica.revision - replica.snapshot_revision >= SNAPSHOT_INTERVAL


def write_if_due(*, store, replica):
    """Write a snapshot where the newest is SNAPSHOT_INTERVAL behind.

    Returns:
      Whether this call moved the pointer.
    Raises:
      StoreError: a call failed; the pointer may have moved.
    """
    old = read_pointer(store)
    replica.note_snapshot(old.revision)
    if not is_due(replica):
        return False
    snapshot = replica.snapshot()
    data = snapshot.SerializeToString()
    chunks = [
        data[start : start + CHUNK_BYTES]
        for start in range(0, len(data), CHUNK_BYTES)
    ]
    new = Pointer(
        revision=snapshot.revision,
        chunks=len(chunks),
        tag=uuid.uuid4().hex[:12],
        digest=xxhash.xxh3_64_intdigest(data),
    )
    for index, chunk in enumerate(chunks):
        store.compare_and_swap(
            key=new.chunk_key(index), expected_version=0, value=chunk
        )
    moved = store.compare_and_swap(
        key=POINTER_KEY,
        expected_version=old.version,
        value=settings_pb2.SnapshotPointer(
            revision=new.revision,
            chunks=new.chunks,
            tag=new.tag,
            digest=new.digest,
        ).SerializeToString(),
    )
    if moved:
        replica.note_snapshot(new.revision)
    _delete_unused(store)
    return moved


def _read(store, pointer):
    parts = []
    for index in range(pointer.chunks):
        item = store.get(pointer.chunk_key(index))
        if item is None:
            return None
        parts.append(item.value)
    data = b"".join(parts)
    if xxhash.xxh3_64_intdigest(data) != pointer.digest:
        return None
    try:
        return settings_pb2.Snapshot.FromString(data)
    except protobuf_message.DecodeError:
        return None


def _delete_unused(store):
    """Delete the chunks of older snapshots and of writers that lost.

    A writer of a newer snapshot may still be at work, so its chunks stay.
    """
    pointer = read_pointer(store)
    for item in store.list(_CHUNK_PREFIX):
        name = item.key.removeprefix(_CHUNK_PREFIX).partition("/")[0]
        revision, _, tag = name.partition(".")
        if int(revision) < pointer.revision or (
            int(revision) == pointer.revision and tag != pointer.tag
        ):
            store.compare_and_swap(
                key=item.key, expected_version=item.version, value=None
            )
