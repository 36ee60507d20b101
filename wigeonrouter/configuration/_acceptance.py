"""Acceptance of changes as entries of a log in the store.

The log is a ring buffer: revision N is written to slot N modulo LOG_SLOTS, by
compare-and-swap against the version of the slot's previous entry. Exactly one
writer wins each revision, and a writer cannot overwrite a newer entry after a
pause of any length, because the slot's version has changed since its read.
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
# Below LOG_SLOTS, so that a reader that loads the newest snapshot still finds
# all entries after it in the log.
MAX_REVISIONS_SINCE_SNAPSHOT = 3000
MAX_ENTRY_BYTES = 1_000_000
# Bound on the compare-and-swap attempts of one change.
_MAX_ATTEMPTS = 64
# Longest protobuf encoding of the time of an entry.
_MAX_TIME_FIELD_BYTES = 11


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Proposal:
    """A change requested by an operator.

    Attributes:
      change_id: unique text; it makes a repeated proposal idempotent.
      author: who requested the change.
      base_revision: revision that the change is based on; later changes of
        overlapping paths conflict with it.
      changes: tuple of settings_pb2.Change.
      comment: text for the history.
    """

    change_id: str
    author: str
    base_revision: int
    changes: tuple
    comment: str = ""


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Conflict:
    """A change of an overlapping path was accepted after the base revision.

    The path is "/" where the log no longer reaches back to the base revision.
    """

    base_revision: int
    current_revision: int
    path: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class StoreDown:
    """The store is not usable; nothing was written."""

    detail: str


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Undetermined:
    """The result of the write is unknown.

    Repeating the change id determines it.
    """

    change_id: str
    revision: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class TooLarge:
    """The log entry exceeds the size limit of one store value, in bytes."""

    size: int
    limit: int


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class InvalidChange:
    """The resulting tree is invalid.

    Attributes:
      errors: tuple of settings.DocumentError.
    """

    errors: tuple


class LogUnreadable(store_api.StoreError):
    """The log in the store is corrupt or incomplete."""


def log_key(revision):
    """Return the store key of the slot of a revision."""
    return f"config/log/{revision % LOG_SLOTS:04d}"


def accept(*, store, replica, proposal, now_ms, policies=None, pause=None):
    """Append a proposal to the log as the next revision.

    Args:
      store: a Store.
      replica: a Replica; it is brought up to date first.
      proposal: a Proposal.
      now_ms: time of the entry, milliseconds since the epoch.
      policies: names of the known policies, or None to accept any.
      pause: function that lets other tasks run, called during validation.
    Returns:
      Success(settings_pb2.LogEntry), or Failure of Conflict, InvalidChange,
      StoreDown, Undetermined or TooLarge.
    """
    # Revision of an own write whose reply was lost. The write may be delayed,
    # so its result stays undetermined until an entry of that revision is read
    # back; a delayed compare-and-swap then fails on the slot's version.
    undetermined_revision = None
    for _ in range(_MAX_ATTEMPTS):
        try:
            slot_item = catch_up(store=store, replica=replica)
            log_full = _is_log_full(store, replica)
        except store_api.StoreError as error:
            return _failure(proposal, undetermined_revision, str(error))
        accepted = replica.find_change(proposal.change_id)
        if accepted is not None:
            return result.Success(accepted)
        if (
            undetermined_revision is not None
            and replica.revision >= undetermined_revision
        ):
            undetermined_revision = None
        if log_full:
            return _failure(
                proposal,
                undetermined_revision,
                "the log is full until a snapshot is written",
            )
        checked_revision = replica.revision
        rejection = _find_rejection(replica, proposal, policies, pause)
        if replica.revision != checked_revision:
            # Entries from peers were applied during a pause of the validation.
            continue
        if rejection is not None:
            return result.Failure(rejection)
        entry = _build_entry(replica, proposal, now_ms)
        try:
            swapped = store.compare_and_swap(
                key=log_key(entry.revision),
                expected_version=slot_item.version if slot_item else 0,
                value=entry.SerializeToString(),
            )
        except store_api.StoreUnavailable as error:
            return _failure(proposal, undetermined_revision, str(error))
        except store_api.StoreReplyLost:
            undetermined_revision = entry.revision
            continue
        if swapped:
            replica.apply_entries((entry,))
            return result.Success(entry)
    return _failure(
        proposal, undetermined_revision, "too many concurrent changes"
    )


def catch_up(*, store, replica):
    """Apply all revisions in the store that the replica lacks.

    Returns:
      The Item in the slot of the next revision, or None for an empty slot.
    Raises:
      StoreError: the store could not be read, or its log is unreadable.
    """
    if replica.revision == 0:
        _snapshots.load(store=store, replica=replica)
    while True:
        revision = replica.revision + 1
        item = store.get(log_key(revision))
        if replica.revision + 1 != revision:
            # Entries from peers were applied during the read, so the next
            # revision is in another slot.
            continue
        if item is None:
            return None
        entry = _decode_entry(item)
        if entry.revision <= replica.revision:
            return item
        if entry.revision == revision:
            replica.apply_entries((entry,))
        elif not _snapshots.load(store=store, replica=replica):
            if replica.revision + 1 == revision:
                raise LogUnreadable(
                    "no snapshot covers the overwritten entries of the log"
                )


def _decode_entry(item):
    try:
        return settings_pb2.LogEntry.FromString(item.value)
    except protobuf_message.DecodeError as error:
        raise LogUnreadable(f"{item.key} does not hold a log entry") from error


def _is_log_full(store, replica):
    """Return whether too many revisions are not covered by a snapshot."""
    if (
        replica.revision - replica.snapshot_revision
        < MAX_REVISIONS_SINCE_SNAPSHOT
    ):
        return False
    replica.record_snapshot(_snapshots.read_pointer(store).revision)
    return (
        replica.revision - replica.snapshot_revision
        >= MAX_REVISIONS_SINCE_SNAPSHOT
    )


def _failure(proposal, undetermined_revision, detail):
    if undetermined_revision is not None:
        return result.Failure(
            Undetermined(
                change_id=proposal.change_id, revision=undetermined_revision
            )
        )
    return result.Failure(StoreDown(detail=detail))


def _find_rejection(replica, proposal, policies, pause):
    conflict = _find_conflict(replica, proposal)
    if conflict is not None:
        return conflict
    size = (
        _build_entry(replica, proposal, 0).ByteSize() + _MAX_TIME_FIELD_BYTES
    )
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


def _build_entry(replica, proposal, now_ms):
    return settings_pb2.LogEntry(
        revision=replica.revision + 1,
        change_id=proposal.change_id,
        author=proposal.author,
        time_ms=now_ms,
        base_revision=proposal.base_revision,
        comment=proposal.comment,
        changes=proposal.changes,
    )
