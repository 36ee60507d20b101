"""Limits: fair queue, retry budget, admission."""

from wigeonrouter.limits import _queue
from wigeonrouter.limits import _retry_budget

FairQueue = _queue.FairQueue
RetryBudget = _retry_budget.RetryBudget
