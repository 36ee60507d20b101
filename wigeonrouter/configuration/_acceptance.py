"""Accepts changes by creating log entries in the store.

Revision N is written to slot N modulo LOG_SLOTS by compare-and-swap against
the version of the slot's previous occupant. Exactly one writer wins each
revision, and a writer that was paused for any time cannot overwrite a newer
entry, because the version it read has gone.
"""

import dataclasses

from google.protobuf import message as protobuf_message
from returns import result

from wigeonrouter import settings
from wigeonrouter import store as store_api
from wigeonrouter.configuration import _checking
from wigeonrouter.configuration import _snapshots
from wigeonrouter.schema import settings_pb2

LOG_SLOTS = 4096
# Readers that lag by more than a snapshot must still find the log's tail.
MAX_UNSNAPSHOTTED = 3000
MAX_ENTRY_BYTES = 1_000_000
_MAX_RACES = 64
# Longest encoding of the entry's time.
_TIME_BYTES = 11


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Proposal:
    """A change that an operator asks for.

    Attributes:
      change_id: unique text; repeating it never applies the change twice.
      base_revision: revision that the operator looked at.
      changes: tuple of settings_pb2.Change.
    """

    change_id: str
    author: str
    base_revision: int
    changes: tuple
    comment: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Conflict:
    """Another change of an overlapping path came first."""

    base_revision: int
    current_revision: int
    path: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StoreDown:
    """The store cannot be used; nothing was written."""

    detail: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Undetermined:
    """The write may or may not have taken effect."""

    change_id: str
    revision: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TooLarge:
    """The change does not fit into one value of the store."""

    size: int
    limit: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class InvalidChange:
    """The tree that the change leads to is not accepted.

    Attributes:
      errors: tuple of settings.DocumentError.
    """

    errors: tuple


class LogUnreadable(store_api.StoreError):
    """The store holds something that is no log entry."""


def log_key(revision):
    """Return the store key of a revision."""
    return f"config/log/{revision % LOG_SLOTS:04d}"


def accept(*, store, replica, proposal, now_ms, policies=None, pause=None):
    """Write a proposal as the next revision.

    Args:
      store: a Store.
      replica: a Replica; it is brought up to date.
      proposal: a Proposal.
      now_ms: time of the entry, milliseconds since the epoch.
      policies: names of the known policies, or None to accept any.
      pause: function to call while a large change is checked.
    Returns:
      Success(settings_pb2.LogEntry), or Failure of Conflict, InvalidChange,
      StoreDown, Undetermined or TooLarge.
    """
    # Revision of an own write whose reply was lost. It stays in doubt until
    # a newer version of the slot is seen, since it may be delayed.
    doubtful = None
    for _ in range(_MAX_RACES):
        try:
            occupant = catch_up(store=store, replica=replica)
            full = _is_log_full(store, replica)
        except store_api.StoreError as error:
            return _failed(proposal, doubtful, str(error))
        accepted = replica.find_change(proposal.change_id)
        if accepted is not None:
            return result.Success(accepted)
        if doubtful is not None and replica.revision >= doubtful:
            doubtful = None
        if full:
            return _failed(proposal, doubtful, "the log needs a snapshot")
        checked = replica.revision
        refusal = _find_refusal(replica, proposal, policies, pause)
        if replica.revision != checked:
            # Peers delivered revisions while the check paused.
            continue
        if refusal is not None:
            return result.Failure(refusal)
        entry = _entry(replica, proposal, now_ms)
        try:
            swapped = store.compare_and_swap(
                key=log_key(entry.revision),
                expected_version=occupant.version if occupant else 0,
                value=entry.SerializeToString(),
            )
        except store_api.StoreUnavailable as error:
            return _failed(proposal, doubtful, str(error))
        except store_api.StoreReplyLost:
            doubtful = entry.revision
            continue
        if swapped:
            replica.apply_entries((entry,))
            return result.Success(entry)
    return _failed(proposal, doubtful, "too many concurrent changes")


def catch_up(*, store, replica):
    """Read every revision that the store has and the replica lacks.

    Returns:
      The Item in the slot of the next revision, or None where it is empty.
    Raises:
      StoreError: the store could not be read.
    """
    if replica.revision == 0:
        _snapshots.load(store=store, replica=replica)
    while True:
        revision = replica.revision + 1
        item = store.get(log_key(revision))
        if replica.revision + 1 != revision:
            # Peers delivered revisions meanwhile; this is another slot.
            continue
        if item is None:
            return None
        entry = _parse(item)
        if entry.revision <= replica.revision:
            return item
        if entry.revision == revision:
            replica.apply_entries((entry,))
        elif not _snapshots.load(store=store, replica=replica):
            if replica.revision + 1 == revision:
                raise LogUnreadable("the log has no older snapshot")


def _parse(item):
    try:
        return settings_pb2.LogEntry.FromString(item.value)
    except protobuf_message.DecodeError as error:
        raise LogUnreadable(f"{item.key} holds no log entry") from error


def _is_log_full(store, replica):
    """Return whether the next entry could overwrite what is not saved."""
    if replica.revision - replica.snapshot_revision < MAX_UNSNAPSHOTTED:
        return False
    replica.note_snapshot(_snapshots.read_pointer(store).revision)
    return replica.revision - replica.snapshot_revision >= MAX_UNSNAPSHOTTED


def _failed(proposal, doubtful, detail):
    if doubtful is not None:
        return result.Failure(
            Undetermined(change_id=proposal.change_id, revision=doubtful)
        )
    return result.Failure(StoreDown(detail=detail))


def _find_refusal(replica, proposal, policies, pause):
    conflict = _find_conflict(replica, proposal)
    if conflict is not None:
        return conflict
    size = _entry(replica, proposal, 0).ByteSize() + _TIME_BYTES
    if size > MAX_ENTRY_BYTES:
        return TooLarge(size=size, limit=MAX_ENTRY_BYTES)
    errors = _checking.check_changes(
        replica=replica,
        changes=proposal.changes,
        policies=policies,
        pause=pause,
    )
    return InvalidChange(errors=errors) if errors else None


def _find_conflict(replica, proposal):
    entries = replica.entries_after(proposal.base_revision)
    if entries is None:
        return Conflict(
            base_revision=proposal.base_revision,
            current_revision=replica.revision,
            path="/",
        )
    for entry in entries:
        for earlier in entry.changes:
            for change in proposal.changes:
                if settings.paths_overlap(earlier.path, change.path):
                    return Conflict(
                        base_revision=proposal.base_revision,
                        current_revision=entry.revision,
                        path=earlier.path,
                    )
    return None


def _entry(replica, proposal, now_ms):
    return settings_pb2.LogEntry(
        revision=replica.revision + 1,
        change_id=proposal.change_id,
        author=proposal.author,
        time_ms=now_ms,
        base_revision=proposal.base_revision,
        comment=proposal.comment,
        changes=proposal.changes,
    )
