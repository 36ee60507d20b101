"""Load balancing decisions: server selection, queueing and load shedding.

Pure functions over immutable records, and small classes that own counters.
None reads a clock or does input or output. Each module docstring names the
load pattern that the module handles.
"""

from wigeonrouter.placement import _admission
from wigeonrouter.placement import _budget
from wigeonrouter.placement import _caller_timeout
from wigeonrouter.placement import _choice
from wigeonrouter.placement import _connection_limits
from wigeonrouter.placement import _crashes
from wigeonrouter.placement import _estimate
from wigeonrouter.placement import _exclusion
from wigeonrouter.placement import _full_servers
from wigeonrouter.placement import _health
from wigeonrouter.placement import _home_regions
from wigeonrouter.placement import _misdirections
from wigeonrouter.placement import _rate_limits
from wigeonrouter.placement import _records
from wigeonrouter.placement import _request_queue
from wigeonrouter.placement import _retry_spread
from wigeonrouter.placement import _server_links
from wigeonrouter.placement import _slow_start
from wigeonrouter.placement import _spill_over
from wigeonrouter.placement import _statements
from wigeonrouter.placement import _stopping

AttemptOutcome = _health.AttemptOutcome
CrashHistory = _crashes.CrashHistory
Standing = _crashes.Standing
StopSchedule = _stopping.StopSchedule
PendingRequest = _records.PendingRequest
LoadReport = _records.LoadReport
Pick = _choice.Pick
SlidingWindowRate = _admission.SlidingWindowRate
TrialSchedule = _admission.TrialSchedule
RateLimits = _rate_limits.RateLimits
RetryBudget = _budget.RetryBudget
Exclusion = _exclusion.Exclusion
ServerLinks = _server_links.ServerLinks
SpillOver = _spill_over.SpillOver
ServerStatements = _statements.ServerStatements
ServerView = _records.ServerView
SlowStartRule = _slow_start.SlowStartRule
SlowStarts = _slow_start.SlowStarts
Locality = _records.Locality
Misdirections = _misdirections.Misdirections
CallerTimeoutEstimate = _caller_timeout.CallerTimeoutEstimate
QueuePreview = _request_queue.QueuePreview
RequestQueue = _request_queue.RequestQueue
RetrySpread = _retry_spread.RetrySpread
ServiceTimes = _estimate.ServiceTimes

best_utility = _spill_over.best_utility
after_attempt = _health.after_attempt
after_cut = _health.after_cut
after_full_loss = _full_servers.after_full_loss
after_probe = _health.after_probe
after_no_response = _health.after_no_response
expected_load = _estimate.expected_load
expected_latency = _estimate.expected_latency
expected_slowdown = _estimate.expected_slowdown
expected_wait = _admission.expected_wait
is_late = _request_queue.is_late
late_from = _request_queue.late_from
latest_start = _stopping.latest_start
make_slow_start_rule = _slow_start.make_slow_start_rule
NO_SLOW_START = _slow_start.NO_SLOW_START
NO_STOP = _stopping.NO_STOP
plan_stop = _stopping.plan_stop
is_nearly_full = _estimate.is_nearly_full
choose = _choice.choose
connection_limits = _connection_limits.connection_limits
CRASH_RETENTION_S = _crashes.CRASH_RETENTION_S
EXPECTED_SLOT_WAIT_S = _choice.EXPECTED_SLOT_WAIT_S
find_exclusion = _exclusion.find_exclusion
allows_region = _home_regions.allows
as_closest = _home_regions.as_closest
entry_regions = _home_regions.entry_regions
find_allowed = _home_regions.find_allowed
merge_home_regions = _home_regions.merge
unavoidable_round_trip = _home_regions.unavoidable_round_trip
without_round_trip = _home_regions.without_round_trip
is_available = _health.is_available
is_full_loss = _full_servers.is_full_loss
load_limit = _full_servers.load_limit
saturated_report = _full_servers.saturated_report
without_unknown_load = _full_servers.without_unknown_load
sample_views = _choice.sample_views
TRIAL_INTERVAL_S = _misdirections.TRIAL_INTERVAL_S
undisturbed_service_time = _estimate.undisturbed_service_time
next_check_time = _admission.next_check_time
probe_candidates = _choice.probe_candidates
probe_count = _choice.probe_count
MAX_RETRY_AFTER_S = _admission.MAX_RETRY_AFTER_S
MIN_RETRY_AFTER_S = _admission.MIN_RETRY_AFTER_S
retry_after = _admission.retry_after
spare_throughput = _admission.spare_throughput
late_dispatch_rate = _admission.late_dispatch_rate
expected_late_wait = _admission.expected_late_wait
should_reject_late = _admission.should_reject_late
will_miss_target = _admission.will_miss_target
should_reject = _admission.should_reject
usable_slots = _estimate.usable_slots
utility_of_waiting = _choice.utility_of_waiting
