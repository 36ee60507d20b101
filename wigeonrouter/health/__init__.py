"""Health checking of backend servers: ejection, draining and probes."""

from wigeonrouter.health import _budget as budget  # noqa: F401
from wigeonrouter.health import _drain_tracker
from wigeonrouter.health import _prober
from wigeonrouter.health import _rules

ProbeResult = _rules.ProbeResult
Prober = _prober.Prober
DrainTracker = _drain_tracker.DrainTracker

advance = _rules.advance
after_attempt = _rules.after_attempt
after_drain_end = _rules.after_drain_end
after_probe = _rules.after_probe
is_eligible = _rules.is_eligible
needs_probe = _rules.needs_probe
new_view = _rules.new_view
next_state = _rules.next_state
probe_server = _prober.probe_server
non_idempotent_candidates = _rules.non_idempotent_candidates
