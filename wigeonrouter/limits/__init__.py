"""Limits: fair queue, admission, spill-over, retry budget."""

from wigeonrouter.limits import _admission
from wigeonrouter.limits import _concurrency
from wigeonrouter.limits import _queue
from wigeonrouter.limits import _retry_budget
from wigeonrouter.limits import _spill_over

FairQueue = _queue.FairQueue
Handle = _queue.Handle
HoldTime = _admission.HoldTime
RetryBudget = _retry_budget.RetryBudget

allowance_after = _retry_budget.allowance_after
allowance_below = _retry_budget.allowance_below
can_finish = _admission.can_finish
count_foreign_slots = _spill_over.count_foreign_slots
expected_wait = _admission.expected_wait
foreign_allowance = _spill_over.foreign_allowance
learn_hold_time = _admission.learn_hold_time
next_limit = _concurrency.next_limit
next_spilling = _spill_over.next_spilling
parse_allowance = _retry_budget.parse_allowance
