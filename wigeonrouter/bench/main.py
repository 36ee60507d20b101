"""The command wigeonrouter-bench."""

import os

# This process starts child processes. gRPC's fork handlers would run its
# polling thread in the child, which aborts before exec because file
# descriptors are closed.
os.environ["GRPC_ENABLE_FORK_SUPPORT"] = "0"

from gevent import monkey  # noqa: E402

monkey.patch_all()

import grpc.experimental.gevent as grpc_gevent  # noqa: E402

grpc_gevent.init_gevent()

import click  # noqa: E402

from wigeonrouter.bench import _capacity  # noqa: E402
from wigeonrouter.bench import _control  # noqa: E402
from wigeonrouter.bench import _latency  # noqa: E402
from wigeonrouter.bench import _policy_main  # noqa: E402
from wigeonrouter.bench import _policy_targets  # noqa: E402


@click.group()
def main():
    """Run benchmarks and simulations of wigeonrouter."""


@main.command(name="all")
@click.pass_context
def run_all(context):
    """Run all benchmarks with few repetitions; takes minutes."""
    context.invoke(_latency.latency)
    context.invoke(_control.control)
    context.invoke(_capacity.capacity)
    _policy_targets.report_targets()


main.add_command(_control.control)
main.add_command(_capacity.capacity)
main.add_command(_capacity.capacity_part)
main.add_command(_latency.latency)
main.add_command(_policy_main.policy_command)
main.add_command(_policy_main.scenarios_command)
main.add_command(_policy_main.plot_command)


if __name__ == "__main__":
    main()
