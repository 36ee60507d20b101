"""Snapshots of the configuration tree in the store.

A snapshot is split into chunks, each below the store's value size limit. A
pointer names the newest snapshot. It is updated by compare-and-swap and only
moves forward, so that concurrent writers are safe.
"""

import dataclasses
import uuid

from google.protobuf import message as protobuf_message
import xxhash

from wigeonrouter.schema import settings_pb2

POINTER_KEY = "config/snapshot"
# Number of revisions between snapshots.
SNAPSHOT_INTERVAL_REVISIONS = 1000
CHUNK_BYTES = 900_000
_CHUNK_PREFIX = "config/snapshot/"
# Retries, because a newer snapshot may replace the one that is being read.
_LOAD_ATTEMPTS = 3


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Pointer:
    """The newest snapshot in the store.

    Attributes:
      revision: revision of the snapshot, 0 for no snapshot.
      chunks: number of chunks.
      tag: random text that separates the chunks of concurrent writers.
      digest: 64-bit hash of the serialized snapshot.
      version: store version of the pointer's key, for compare-and-swap.
    """

    revision: int = 0
    chunks: int = 0
    tag: str = ""
    digest: int = 0
    version: int = 0

    def chunk_key(self, index):
        """Return the store key of a chunk."""
        return f"{_CHUNK_PREFIX}{self.revision}.{self.tag}/{index}"


def read_pointer(store):
    """Read the Pointer from the store; revision 0 means no snapshot."""
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
    Raises:
      StoreError: the store could not be read.
    """
    for _ in range(_LOAD_ATTEMPTS):
        pointer = read_pointer(store)
        replica.record_snapshot(pointer.revision)
        if pointer.revision <= replica.revision:
            return False
        snapshot = _read_chunks(store, pointer)
        if snapshot is not None:
            return replica.load_snapshot(snapshot)
    return False


def is_due(replica):
    """Return whether the known snapshot is too old; the store is not read."""
    return (
        replica.revision - replica.snapshot_revision
        >= SNAPSHOT_INTERVAL_REVISIONS
    )


def write_if_due(*, store, replica):
    """Write a snapshot if the newest is SNAPSHOT_INTERVAL_REVISIONS behind.

    Returns:
      Whether this call moved the pointer.
    Raises:
      StoreError: a call to the store failed; the pointer may have moved.
    """
    old_pointer = read_pointer(store)
    replica.record_snapshot(old_pointer.revision)
    if not is_due(replica):
        return False
    snapshot = replica.snapshot()
    serialized = snapshot.SerializeToString()
    chunks = [
        serialized[start : start + CHUNK_BYTES]
        for start in range(0, len(serialized), CHUNK_BYTES)
    ]
    new_pointer = Pointer(
        revision=snapshot.revision,
        chunks=len(chunks),
        tag=uuid.uuid4().hex[:12],
        digest=xxhash.xxh3_64_intdigest(serialized),
    )
    for index, chunk in enumerate(chunks):
        store.compare_and_swap(
            key=new_pointer.chunk_key(index), expected_version=0, value=chunk
        )
    moved = store.compare_and_swap(
        key=POINTER_KEY,
        expected_version=old_pointer.version,
        value=settings_pb2.SnapshotPointer(
            revision=new_pointer.revision,
            chunks=new_pointer.chunks,
            tag=new_pointer.tag,
            digest=new_pointer.digest,
        ).SerializeToString(),
    )
    if moved:
        replica.record_snapshot(new_pointer.revision)
    _delete_unused(store)
    return moved


def _read_chunks(store, pointer):
    """Return the settings_pb2.Snapshot, or None if incomplete or corrupt."""
    values = []
    for index in range(pointer.chunks):
        item = store.get(pointer.chunk_key(index))
        if item is None:
            return None
        values.append(item.value)
    serialized = b"".join(values)
    if xxhash.xxh3_64_intdigest(serialized) != pointer.digest:
        return None
    try:
        return settings_pb2.Snapshot.FromString(serialized)
    except protobuf_message.DecodeError:
        return None


def _delete_unused(store):
    """Delete chunks of older snapshots and of writers that lost the race.

    Chunks of a newer snapshot stay, since its writer may not have moved the
    pointer yet.
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
