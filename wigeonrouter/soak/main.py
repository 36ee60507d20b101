"""Command that runs seeded soak tests and prints invariant violations.

Exit codes: 0 if all invariants held, 1 if one was violated.
"""

from gevent import monkey

monkey.patch_all()

import collections  # noqa: E402
import json  # noqa: E402
import pathlib  # noqa: E402
import sys  # noqa: E402

import click  # noqa: E402

from wigeonrouter.soak import _run  # noqa: E402

_MAX_SHOWN_VIOLATIONS = 3
REGRESSIONS = pathlib.Path(__file__).parent / "regressions.json"


@click.command()
@click.option("--first", default=1, help="First seed.")
@click.option("--count", default=1, help="Number of seeds.")
@click.option("--nodes", default=_run.Size().nodes)
@click.option("--callers", default=_run.Size().callers)
@click.option("--seconds", default=_run.Size().seconds)
@click.option(
    "--pooled-callers",
    default=60,
    help="Number of callers that keep a connection open.",
)
@click.option(
    "--regressions",
    is_flag=True,
    help="Run the seeds that failed in the past.",
)
@click.option(
    "--directory", required=True, help="Directory for logs and settings."
)
def main(
    first,
    count,
    nodes,
    callers,
    seconds,
    pooled_callers,
    regressions,
    directory,
):
    """Run seeded soak tests of real node processes under injected faults."""
    size = _run.Size(
        nodes=nodes,
        callers=callers,
        seconds=seconds,
        restores=True,
        tenants=True,
        evacuations=True,
        cold_servers=True,
        pooled_callers=pooled_callers,
    )
    cases = [(seed, size) for seed in range(first, first + count)]
    if regressions:
        cases = [
            (case["seed"], _run.Size(**case["size"]))
            for case in json.loads(REGRESSIONS.read_text("utf-8"))
        ]
    failed_seeds = [
        seed
        for seed, case_size in cases
        if not _run_seed(seed, case_size, directory)
    ]
    if failed_seeds:
        print(f"invariants violated with seeds {failed_seeds}")
        sys.exit(1)


def _run_seed(seed, size, directory):
    folder = pathlib.Path(directory) / f"seed-{seed}"
    folder.mkdir(parents=True, exist_ok=True)
    observations, violations = _run.run_seed(seed, size, folder)
    outcomes = collections.Counter(
        r.reply.status if r.reply else r.end.value
        for r in observations.requests
    )
    print(
        f"seed {seed}: {len(observations.requests)} requests"
        f" {dict(outcomes.most_common())},"
        f" surplus responses {dict(observations.surplus_responses)},"
        f" {len(violations)} violations",
        flush=True,
    )
    counts = collections.Counter(
        violation.invariant for violation in violations
    )
    for invariant, number in counts.items():
        print(f"  {invariant}: {number}")
        violations_of_invariant = [
            v for v in violations if v.invariant == invariant
        ]
        for violation in violations_of_invariant[:_MAX_SHOWN_VIOLATIONS]:
            print(f"    {violation.detail}")
    (folder / "plan.txt").write_text(
        "\n".join(map(str, _run.make_plan(seed, size))) + "\n"
    )
    return not violations


if __name__ == "__main__":
    main()
