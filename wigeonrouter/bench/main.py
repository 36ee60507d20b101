"""The command wigeonrouter-bench."""

import click

from wigeonrouter.bench import _latency


@click.group()
def main():
    """Measure wigeonrouter."""


main.add_command(_latency.latency)


if __name__ == "__main__":
    main()
