"""Compares the default policy with its stated aims, a line for each."""

from wigeonrouter import core
from wigeonrouter.bench import _policy_load
from wigeonrouter.bench import _policy_main
from wigeonrouter.bench import _policy_report
from wigeonrouter.bench import _result_lines

_SERVICES = (
    ("carril-azul", "availability"),
    ("chaiyaphruek", "listing"),
)
P99_RATIO = 1.3
OVERLOAD_RATIO = 0.95
_SECONDS = 3.0
_BURST = 2.0
_SEEDS = (11, 12)
_DEFAULT_POLICY = core.RoutingSettings().policy


def report_aims():
    """Run the cells that the aims need and print a line for each aim."""
    for deployment, service in _SERVICES:
        name = f"{deployment}.{service}"
        best = _run(deployment, service, "central", 0.85)
        own = _run(deployment, service, _DEFAULT_POLICY, 0.85)
        _result_lines.write_line(
            name=f"{name}.p99_to_central_at_85",
            value=own.p99 / best.p99,
            unit="1",
            bound=P99_RATIO,
        )
        full = _run(deployment, service, _DEFAULT_POLICY, 1.0)
        double = _run(deployment, service, _DEFAULT_POLICY, 2.0)
        _result_lines.write_line(
            name=f"{name}.finished_at_200_to_100",
            value=double.finished / full.finished,
            unit="1",
            bound=OVERLOAD_RATIO,
            at_least=True,
        )


def _run(deployment, service, policy, load):
    return _policy_report.summarise(
        _policy_main.run_cell(
            deployment=_policy_load.DEPLOYMENTS[deployment],
            service=service,
            policy=policy,
            shape=_policy_load.LoadShape(
                load=load, duration=_SECONDS, burst=_BURST
            ),
            seeds=_SEEDS,
            steering="region",
            overrides={},
        )
    )
