"""The command that plays seeds and prints which promises were broken.

Exit codes: 0 if all were kept, 1 if one was broken.
"""

from gevent import monkey

monkey.patch_all()

import collections  # noqa: E402
import json  # noqa: E402
import pathlib  # noqa: E402
import sys  # noqa: E402

import click  # noqa: E402

from wigeonrouter.soak import _run  # noqa: E402

_SHOWN = 3
REGRESSIONS = pathlib.Path(__file__).parent / "regressions.json"


@click.command()
@click.option("--first", default=1, help="First seed.")
@click.option("--count", default=1, help="Number of seeds.")
@click.option("--nodes", default=_run.Size().nodes)
@click.option("--callers", default=_run.Size().callers)
@click.option("--seconds", default=_run.Size().seconds)
@click.option(
    "--regressions", is_flag=True, help="Play the seeds that once failed."
)
@click.option("--directory", required=True, help="For logs and settings.")
def main(first, count, nodes, callers, seconds, regressions, directory):
    """Play seeded runs of real node processes with troubles."""
    size = _run.Size(nodes=nodes, callers=callers, seconds=seconds)
    cases = [(seed, size) for seed in range(first, first + count)]
    if regressions:
        cases = [
            (case["seed"], _run.Size(**case["size"]))
            for case in json.loads(REGRESSIONS.read_text("utf-8"))
        ]
    broken = [
        seed
        for seed, case_size in cases
        if not _play(seed, case_size, directory)
    ]
    if broken:
        print(f"promises broken with seeds {broken}")
        sys.exit(1)


def _play(seed, size, directory):
    folder = pathlib.Path(directory) / f"seed-{seed}"
    folder.mkdir(parents=True, exist_ok=True)
    seen, violations = _run.play(seed, size, folder)
    answered = collections.Counter(
        r.reply.status if r.reply else r.end.value for r in seen.requests
    )
    print(
        f"seed {seed}: {len(seen.requests)} requests"
        f" {dict(answered.most_common())}, {len(violations)} violations",
        flush=True,
    )
    counts = collections.Counter(found.promise for found in violations)
    for promise, number in counts.items():
        print(f"  {promise}: {number}")
        same = [v for v in violations if v.promise == promise]
        for found in same[:_SHOWN]:
            print(f"    {found.detail}")
    (folder / "plan.txt").write_text(
        "\n".join(map(str, _run.make_plan(seed, size))) + "\n"
    )
    return not violations


if __name__ == "__main__":
    main()
