"""Reads from /proc what a process does with a signal."""

import os
import pathlib

_CLOCK_TICK_S = 1 / os.sysconf("SC_CLK_TCK")
# Fields of /proc/PID/stat after the command: user and system time in ticks.
_USER_TIME_FIELD = 11
_SYSTEM_TIME_FIELD = 12


def cpu_before_handling(pid, number):
    """Return the processor time of a process that does not handle a signal.

    Args:
      pid: process id.
      number: signal number.
    Returns:
      Seconds; None if the process handles or ignores the signal, or if it
      has ended.
    """
    directory = pathlib.Path("/proc") / str(pid)
    try:
        status = (directory / "status").read_text("ascii", "replace")
        stat = (directory / "stat").read_text("ascii", "replace")
    except OSError:
        return None
    masks = dict(
        line.split(":", 1) for line in status.splitlines() if ":" in line
    )
    handled = int(masks["SigIgn"], 16) | int(masks["SigCgt"], 16)
    if handled >> (number - 1) & 1:
        return None
    fields = stat.rpartition(")")[2].split()
    ticks = int(fields[_USER_TIME_FIELD]) + int(fields[_SYSTEM_TIME_FIELD])
    return ticks * _CLOCK_TICK_S
