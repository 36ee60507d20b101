"""Limits: fair queue, admission control, spill-over and retry budget."""

from wigeonrouter.limits import _admission
from wigeonrouter.limits import _concurrency
from wigeonrouter.limits import _queue
from wigeonrouter.limits import _retry_budget
from wigeonrouter.limits import _spill_over

FairQueue = _queue.FairQueue
QueueEntry = _queue.QueueEntry
HoldTime = _admission.HoldTime
RetryBudget = _retry_budget.RetryBudget

retry_allowance_after_rejection = _retry_budget.retry_allowance_after_rejection
downstream_retry_allowance = _retry_budget.downstream_retry_allowance
can_meet_deadline = _admission.can_meet_deadline
count_remote_slots = _spill_over.count_remote_slots
expected_wait = _admission.expected_wait
STOP_PRICE_RATIO = _spill_over.STOP_PRICE_RATIO
remote_request_limit = _spill_over.remote_request_limit
update_hold_time = _admission.update_hold_time
next_concurrency_limit = _concurrency.next_concurrency_limit
should_spill_over = _spill_over.should_spill_over
parse_retry_allowance = _retry_budget.parse_retry_allowance
