"""Accepts changes by creating log entries in the store.

Revision N is written to slot N modulo LOG_SLOTS by compare-and-swap against
the version of the slot's previous occupant. Exactly one writer wins each
revision, and a writer that was paused for any time cannot overwrite a newer
entry, because the version it read has gone.
"""

import dataclasses

from returns import result

from wigeonrouter import settings
from wigeonrouter import store as store_api
from wigeonrouter.configuration import _snapshots
from wigeonrouter.schema import settings_pb2

LOG_SLOTS = 4096
# Readers that lag by more than a snapshot must still find the log's tail.
MAX_UNSNAPSHOTTED = 3000
MAX_ENTRY_BYTES = 1_000_000
_MAX_RACES = 64


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


def log_key(revision):
    """Return the store key of a revision."""
    return f"config/log/{revision % LOG_SLOTS:04d}"


def accept(*, store, replica, proposal, now_ms):
    """Write a proposal as the next revision.

    Args:
      store: a Store.
      replica: a Replica; it is brought up to date.
      proposal: a Proposal.
      now_ms: time of the entry, milliseconds since the epoch.
    Returns:
      Success(settings_pb2.LogEntry), or Failure of Conflict, StoreDown,
      Undetermined or TooLarge.
    """
    for _ in range(_MAX_RACES):
        try:
            occupant = catch_up(store=store, replica=replica)
        except store_api.StoreError as error:
            return result.Failure(StoreDown(detail=str(error)))
        accepted = replica.find_change(proposal.change_id)
        if accepted is not None:
            return result.Success(accepted)
        conflict = _find_conflict(replica, proposal)
        if conflict is not None:
            return result.Failure(conflict)
        entry = _entry(replica, proposal, now_ms)
        value = entry.SerializeToString()
        if len(value) > MAX_ENTRY_BYTES:
            return result.Failure(
                TooLarge(size=len(value), limit=MAX_ENTRY_BYTES)
            )
        try:
            swapped = store.compare_and_swap(
                key=log_key(entry.revision),
                expected_version=occupant.version if occupant else 0,
                value=value,
            )
        except store_api.StoreUnavailable as error:
            return result.Failure(StoreDown(detail=str(error)))
        except store_api.StoreReplyLost:
            found = _read_back(store, replica, proposal)
            if found is None:
                return result.Failure(
                    Undetermined(
                        change_id=proposal.change_id, revision=entry.revision
                    )
                )
            continue
        if swapped:
            replica.apply_entries((entry,))
            return result.Success(entry)
    return result.Failure(StoreDown(detail="too many concurrent changes"))


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
        item = store.get(log_key(replica.revision + 1))
        if item is None:
            return None
        entry = settings_pb2.LogEntry.FromString(item.value)
        if entry.revision <= replica.revision:
            return item
        if entry.revision == replica.revision + 1:
            replica.apply_entries((entry,))
        elif not _snapshots.load(store=store, replica=replica):
            raise store_api.StoreUnavailable("the log has no older snapshot")


def _read_back(store, replica, proposal):
    """Find out after a lost reply who wrote the next revision.

    Returns:
      True where the store answered, None where it did not.
    """
    try:
        catch_up(store=store, replica=replica)
    except store_api.StoreError:
        return None
    return True


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
