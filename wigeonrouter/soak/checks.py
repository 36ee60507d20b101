"""All invariants of a soak run; importing this module registers them."""

from wigeonrouter.soak import _check_registry
from wigeonrouter.soak import _checks
from wigeonrouter.soak import _load_checks
from wigeonrouter.soak import _stop_checks

CONFIG_APPLY_BOUND_S = _checks.CONFIG_APPLY_BOUND_S
DRAIN_BOUND_S = _checks.DRAIN_BOUND_S
INTERPRETER_START_CPU_S = _checks.INTERPRETER_START_CPU_S
RECOVERY_TIME_S = _checks.RECOVERY_TIME_S
RETRY_RATIO = _load_checks.RETRY_RATIO
RETRY_WINDOW_S = _load_checks.RETRY_WINDOW_S
STOP_GRACE_PERIOD_S = _stop_checks.STOP_GRACE_PERIOD_S

find_violations = _check_registry.find_violations
