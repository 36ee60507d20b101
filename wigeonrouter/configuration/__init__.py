"""The configuration log: acceptance, snapshots and each daemon's replica."""

from wigeonrouter.configuration import _acceptance
from wigeonrouter.configuration import _history
from wigeonrouter.configuration import _replica
from wigeonrouter.configuration import _snapshots

Conflict = _acceptance.Conflict
Proposal = _acceptance.Proposal
Replica = _replica.Replica
RevisionHistory = _history.RevisionHistory
StoreDown = _acceptance.StoreDown
TooLarge = _acceptance.TooLarge
Undetermined = _acceptance.Undetermined

accept = _acceptance.accept
catch_up = _acceptance.catch_up
log_key = _acceptance.log_key
write_snapshot_if_due = _snapshots.write_if_due
