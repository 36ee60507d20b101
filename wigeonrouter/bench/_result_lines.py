"""Result lines of measurements: name, value, unit, bound and verdict."""

import click

# Bounds of the stated target, by the last part of a figure's name.
_TARGETS = {
    "cpu_per_node": 3.8,
    "cpu_max": 3.8,
    "memory_max": 128.0,
    "bytes_in_per_node": 26_000.0,
    "bytes_out_per_node": 26_000.0,
    "last_daemon_max": 7.0,
}


def target_of(name):
    """Return the bound of a figure, or None where no target is stated."""
    return _TARGETS.get(name.rpartition(".")[2])


def write_line(*, name, value, unit, bound=None, at_least=False):
    """Print one result.

    Args:
      name: what was measured.
      value: number.
      unit: text.
      bound: number of the stated target, or None.
      at_least: whether the value has to reach the bound instead of staying
        within it.
    """
    if bound is None:
        verdict, shown = "-", "-"
    else:
        met = value >= bound if at_least else value <= bound
        verdict, shown = "ok" if met else "short", f"{bound:g}"
    click.echo(f"{name:44} {value:14.6g} {unit:12} {shown:>8} {verdict}")
