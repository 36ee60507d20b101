"""The configuration log: acceptance, snapshots and replicas."""

from wigeonrouter.configuration import _acceptance
from wigeonrouter.configuration import _checking
from wigeonrouter.configuration import _replica
from wigeonrouter.configuration import _snapshots

Conflict = _acceptance.Conflict
ForkError = _replica.ForkError
InvalidChange = _acceptance.InvalidChange
LogUnreadable = _acceptance.LogUnreadable
Proposal = _acceptance.Proposal
Replica = _replica.Replica
StoreDown = _acceptance.StoreDown
TooLarge = _acceptance.TooLarge
Undetermined = _acceptance.Undetermined

accept = _acceptance.accept
catch_up = _acceptance.catch_up
check_changes = _checking.check_changes
is_snapshot_due = _snapshots.is_due
log_key = _acceptance.log_key
write_snapshot_if_due = _snapshots.write_if_due
