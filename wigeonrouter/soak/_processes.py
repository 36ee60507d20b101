"""Reads from /proc what a process does with a signal."""

import pathlib

from wigeonrouter import bench


def cpu_before_handling(pid, number):
    """Return the processor time of a process that does not handle a signal.

    Args:
      pid: process id.
      number: signal number.
    Returns:
      Seconds; None if the process handles or ignores the signal, or if it
      has ended.
    """
    try:
        used = bench.process_cpu_seconds(pid)
        status = pathlib.Path(f"/proc/{pid}/status").read_text(
            "utf-8", "replace"
        )
    except OSError:
        return None
    masks = dict(
        line.split(":", 1) for line in status.splitlines() if ":" in line
    )
    handled = int(masks["SigIgn"], 16) | int(masks["SigCgt"], 16)
    if handled >> (number - 1) & 1:
        return None
    return used
