"""The command wigeonrouter-bench."""

import click

from wigeonrouter.bench import _capacity
from wigeonrouter.bench import _latency
from wigeonrouter.bench import _policy_main


@click.group()
def main():
    """Measure wigeonrouter."""


main.add_command(_capacity.capacity)
main.add_command(_capacity.capacity_part)
main.add_command(_latency.latency)
main.add_command(_policy_main.policy_command)
main.add_command(_policy_main.scenarios_command)
main.add_command(_policy_main.plot_command)


if __name__ == "__main__":
    main()
