"""The command wigeonrouter-bench."""

import click

from wigeonrouter.bench import _capacity


@click.group()
def main():
    """Measure wigeonrouter."""


main.add_command(_capacity.capacity)
main.add_command(_capacity.capacity_part)


if __name__ == "__main__":
    main()
