"""All invariants of a soak run; importing this module registers them."""

from wigeonrouter.soak import _check_registry
from wigeonrouter.soak import _checks
from wigeonrouter.soak import _cold_checks
from wigeonrouter.soak import _evacuation_checks
from wigeonrouter.soak import _load_checks
from wigeonrouter.soak import _stop_checks
from wigeonrouter.soak import _tenant_checks

CONFIG_APPLY_BOUND_S = _checks.CONFIG_APPLY_BOUND_S
DRAIN_BOUND_S = _checks.DRAIN_BOUND_S
EVACUATION_BOUND_S = _evacuation_checks.EVACUATION_BOUND_S
INTERPRETER_START_CPU_S = _checks.INTERPRETER_START_CPU_S
QUOTA_OVERAGE = _tenant_checks.QUOTA_OVERAGE
QUOTA_SLACK_COUNT = _tenant_checks.QUOTA_SLACK_COUNT
QUOTA_WINDOW_S = _tenant_checks.QUOTA_WINDOW_S
RECOVERY_TIME_S = _checks.RECOVERY_TIME_S
RETRY_RATIO = _load_checks.RETRY_RATIO
RETRY_WINDOW_S = _load_checks.RETRY_WINDOW_S
SLOW_START_OVERAGE = _cold_checks.SLOW_START_OVERAGE
SLOW_START_SLACK_COUNT = _cold_checks.SLOW_START_SLACK_COUNT
STOP_GRACE_PERIOD_S = _stop_checks.STOP_GRACE_PERIOD_S

find_violations = _check_registry.find_violations
