"""Compares the default policy with its performance targets."""

from wigeonrouter import core
from wigeonrouter.bench import _policy_load
from wigeonrouter.bench import _policy_main
from wigeonrouter.bench import _policy_report
from wigeonrouter.bench import _result_lines

_SERVICES = (
    ("carril-azul", "availability"),
    ("chaiyaphruek", "listing"),
)
# Largest p99 latency at a load factor of 0.85, relative to the central queue.
MAX_P99_RATIO = 1.3
# Smallest throughput of requests finished in time at a load factor of 2.0,
# relative to that at 1.0.
MIN_OVERLOAD_THROUGHPUT_RATIO = 0.95
_DURATION_S = 3.0
_BURST_FACTOR = 2.0
_SEEDS = (11, 12)
_DEFAULT_POLICY = core.RoutingSettings().policy


def report_targets():
    """Run the simulations for each target; print one result line each."""
    for deployment, service in _SERVICES:
        name = f"{deployment}.{service}"
        central = _measure(deployment, service, "central", 0.85)
        default = _measure(deployment, service, _DEFAULT_POLICY, 0.85)
        _result_lines.write_line(
            name=f"{name}.p99_to_central_at_85",
            value=default.p99 / central.p99,
            unit="1",
            bound=MAX_P99_RATIO,
        )
        saturated = _measure(deployment, service, _DEFAULT_POLICY, 1.0)
        overloaded = _measure(deployment, service, _DEFAULT_POLICY, 2.0)
        _result_lines.write_line(
            name=f"{name}.finished_at_200_to_100",
            value=overloaded.finished / saturated.finished,
            unit="1",
            bound=MIN_OVERLOAD_THROUGHPUT_RATIO,
            at_least=True,
        )


def _measure(deployment, service, policy, load):
    return _policy_report.summarise(
        _policy_main.run_cell(
            deployment=_policy_load.DEPLOYMENTS[deployment],
            service=service,
            policy=policy,
            shape=_policy_load.LoadShape(
                load=load, duration=_DURATION_S, burst_factor=_BURST_FACTOR
            ),
            seeds=_SEEDS,
            steering="region",
            overrides={},
        )
    )
