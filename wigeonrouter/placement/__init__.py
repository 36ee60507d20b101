"""Decisions on how work is placed, waits and is turned away.

Pure functions over immutable records, and small classes that own counters.
None reads a clock or does any input or output. Each module names the load
pattern that it answers.
"""

from wigeonrouter.placement import _age
from wigeonrouter.placement import _budget
from wigeonrouter.placement import _choice
from wigeonrouter.placement import _estimate
from wigeonrouter.placement import _health
from wigeonrouter.placement import _records
from wigeonrouter.placement import _waiting

Ended = _health.Ended
Job = _records.Job
LoadReport = _records.LoadReport
Pick = _choice.Pick
RecentRate = _waiting.RecentRate
RetryBudget = _budget.RetryBudget
ServerView = _records.ServerView
Tier = _records.Tier
UsualWait = _age.UsualWait
WaitingLine = _waiting.WaitingLine
WorkTimes = _estimate.WorkTimes

after_answer = _health.after_answer
after_probe = _health.after_probe
after_silence = _health.after_silence
expected_load = _estimate.expected_load
expected_seconds = _estimate.expected_seconds
expected_slowness = _estimate.expected_slowness
expected_wait = _waiting.expected_wait
is_late = _waiting.is_late
is_full = _estimate.is_full
choose = _choice.choose
WAIT_S = _choice.WAIT_S
may_use = _health.may_use
normal_work = _estimate.normal_work
probe_candidates = _choice.probe_candidates
probe_count = _choice.probe_count
retry_after = _waiting.retry_after
spare_rate = _waiting.spare_rate
late_rate = _waiting.late_rate
late_wait = _waiting.late_wait
turn_late_away = _waiting.turn_late_away
turn_away = _waiting.turn_away
worth_of_waiting = _choice.worth_of_waiting
