"""Limits: fair queue, retry budget, admission."""

from wigeonrouter.limits import _queue
from wigeonrouter.limits import _retry_budget
from wigeonrouter.limits import _spill_over

FairQueue = _queue.FairQueue
RetryBudget = _retry_budget.RetryBudget

foreign_allowance = _spill_over.foreign_allowance
next_spilling = _spill_over.next_spilling
