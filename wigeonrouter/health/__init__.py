"""Health of backend servers: rules, the probe budget and the prober."""

from wigeonrouter.health import _budget as budget  # noqa: F401
from wigeonrouter.health import _prober
from wigeonrouter.health import _rules
from wigeonrouter.health import _signs

ProbeResult = _rules.ProbeResult
Prober = _prober.Prober
ServerSigns = _signs.ServerSigns

advance = _rules.advance
after_attempt = _rules.after_attempt
after_return = _rules.after_return
after_probe = _rules.after_probe
may_get_work = _rules.may_get_work
needs_probe = _rules.needs_probe
new_view = _rules.new_view
next_state = _rules.next_state
probe_server = _prober.probe_server
proved_views = _rules.proved_views
