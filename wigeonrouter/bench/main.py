"""The command wigeonrouter-bench."""

import click


@click.group()
def main():
    """Measure wigeonrouter."""


if __name__ == "__main__":
    main()
