"""Commands that compare selection policies in a discrete-event simulation.

A cell of the experiment is one combination of deployment, service, policy
and load shape. It is run once for each seed.
"""

import dataclasses
import json

import click

from wigeonrouter import selection
from wigeonrouter.bench import _policy_central_queue
from wigeonrouter.bench import _policy_load
from wigeonrouter.bench import _policy_plot
from wigeonrouter.bench import _policy_report
from wigeonrouter.bench import _policy_run
from wigeonrouter.bench import _policy_scenarios

_LOADS = (0.5, 0.7, 0.85, 0.95, 1.0, 1.2, 2.0)
_SEEDS = (11, 12, 13)


def run_cell(
    *, deployment, service, policy, shape, seeds=_SEEDS, **run_settings
):
    """Run one cell of the experiment.

    All policies get the same requests for the same seed.

    Args:
      deployment: _policy_load.Deployment.
      service: name of one of its services.
      policy: name of a policy, or "central" for the upper bound.
      shape: _policy_load.LoadShape.
      seeds: integers.
      run_settings: further fields of _policy_run.RunSettings.
    Returns:
      A list of _policy_run.RunResult, one for each seed.
    """
    count, idempotent = next(
        (count, idempotent)
        for name, count, idempotent in deployment.services
        if name == service
    )
    servers = _policy_load.make_servers(count)
    results = []
    for seed in seeds:
        arrivals = _policy_load.make_arrivals(
            servers=servers, shape=shape, seed=seed
        )
        if policy == "central":
            result = _policy_central_queue.run_central_queue(
                deployment=deployment, servers=servers, arrivals=arrivals
            )
        else:
            settings = _policy_run.RunSettings(
                deployment=deployment,
                server_count=count,
                idempotent=idempotent,
                policy=policy,
                **run_settings,
            )
            result = _policy_run.Simulation(
                settings=settings,
                servers=servers,
                arrivals=arrivals,
                seed=seed,
            ).run()
        results.append(result)
    return results


@click.command("policy")
@click.option("--deployment", default="carril-azul", show_default=True)
@click.option("--service", default="availability", show_default=True)
@click.option("--policy", "policies", multiple=True)
@click.option("--load", "loads", type=float, multiple=True)
@click.option("--seed", "seeds", type=int, multiple=True)
@click.option("--steering", default="region", show_default=True)
@click.option("--seconds", default=5.0, show_default=True)
@click.option("--burst", default=2.0, show_default=True)
@click.option("--price", type=float, help="routing setting price_region_ms")
@click.option("--output", type=click.Path(), help="JSON file for policy-plot")
def policy_command(
    deployment,
    service,
    policies,
    loads,
    seeds,
    steering,
    seconds,
    burst,
    price,
    output,
):
    """Compare selection policies in a discrete-event simulation."""
    rows, cells = [], []
    for load in loads or _LOADS:
        shape = _policy_load.LoadShape(
            load=load, duration=seconds, burst_factor=burst
        )
        for policy in policies or ("central", *selection.policy_names()):
            results = run_cell(
                deployment=_policy_load.DEPLOYMENTS[deployment],
                service=service,
                policy=policy,
                shape=shape,
                seeds=seeds or _SEEDS,
                steering=steering,
                overrides={} if price is None else {"price_region_ms": price},
            )
            figures = _policy_report.summarise(results)
            rows.append((f"{load:.0%} {policy}", figures))
            cells.append(
                {"load": load, "policy": policy, **dataclasses.asdict(figures)}
            )
    click.echo(_policy_report.markdown_table(rows))
    if output:
        with open(output, "w", encoding="utf-8") as file:
            json.dump(cells, file)


@click.command("policy-scenarios")
@click.option("--deployment", default="carril-azul", show_default=True)
@click.option("--service", default="availability", show_default=True)
@click.option("--policy", "policies", multiple=True, default=("free_slot",))
@click.option(
    "--only", default="", help="text that the scenario names contain"
)
def scenarios_command(deployment, service, policies, only):
    """Simulate noisy tenants, overload, faults and uneven regional load."""
    rows = []
    for name, scenario in _policy_scenarios.SCENARIOS.items():
        if only not in name:
            continue
        for policy in policies:
            results = run_cell(
                deployment=_policy_load.DEPLOYMENTS[deployment],
                service=service,
                policy=policy,
                shape=scenario.shape,
                faults=scenario.faults,
            )
            figures = _policy_report.summarise(
                results,
                start=scenario.start,
                end=scenario.end,
                tenant=scenario.tenant,
                region=scenario.region,
            )
            rows.append((f"{name} / {policy}", figures))
    click.echo(_policy_report.markdown_table(rows))


@click.command("policy-plot")
@click.argument("data", nargs=-1, type=click.Path(exists=True))
@click.option("--field", default="p99", show_default=True)
@click.option("--label", default="p99, ms", show_default=True)
@click.option("--image", required=True, type=click.Path())
def plot_command(data, field, label, image):
    """Plot a figure against the load, from JSON files written by policy."""
    cells = []
    for path in data:
        with open(path, encoding="utf-8") as file:
            cells += json.load(file)
    _policy_plot.plot_cells(cells=cells, field=field, label=label, path=image)
