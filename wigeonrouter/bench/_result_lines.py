"""Result lines of benchmarks: name, value, unit, bound and verdict."""

import click

# Required bounds, by the last part of a result's name. The unit is that of
# the result line.
_BOUNDS = {
    "cpu_per_node": 3.8,
    "cpu_max": 3.8,
    "memory_max": 128.0,
    "bytes_in_per_node": 26_000.0,
    "bytes_out_per_node": 26_000.0,
    "last_daemon_max": 7.0,
}


def bound_of(name):
    """Return the upper bound required of a result, or None without one."""
    return _BOUNDS.get(name.rpartition(".")[2])


def write_line(*, name, value, unit, bound=None, at_least=False):
    """Print one result.

    Args:
      name: what was measured.
      value: number.
      unit: text.
      bound: required bound, or None.
      at_least: whether the bound is a lower bound instead of an upper one.
    """
    if bound is None:
        verdict, bound_text = "-", "-"
    else:
        is_met = value >= bound if at_least else value <= bound
        verdict, bound_text = "ok" if is_met else "short", f"{bound:g}"
    click.echo(f"{name:44} {value:14.6g} {unit:12} {bound_text:>8} {verdict}")
