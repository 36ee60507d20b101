"""Measures processor time and memory of processes."""

import os
import time

_BATCHES = 5
_BATCH_CALLS = 50
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
_CLOCK_TICK_S = 1 / os.sysconf("SC_CLK_TCK")


def resident_bytes(pid="self"):
    """Return the resident memory of a process in bytes."""
    with open(f"/proc/{pid}/statm", encoding="ascii") as file:
        return int(file.read().split()[1]) * _PAGE_BYTES


def process_cpu_seconds(pid):
    """Return the processor time of a process in seconds.

    Raises:
      OSError: the process has ended.
    """
    with open(f"/proc/{pid}/stat", encoding="utf-8", errors="replace") as file:
        fields = file.read().rpartition(")")[2].split()
    # User and system time are fields 14 and 15 of the whole line.
    return (int(fields[11]) + int(fields[12])) * _CLOCK_TICK_S


def cpu_seconds(function):
    """Return the processor time of one call in seconds."""
    started = time.process_time()
    function()
    return time.process_time() - started


def cpu_seconds_each(function):
    """Return the mean processor time of a call in the fastest batch, in s."""
    batches = []
    for _ in range(_BATCHES):
        started = time.process_time()
        for _ in range(_BATCH_CALLS):
            function()
        batches.append((time.process_time() - started) / _BATCH_CALLS)
    return min(batches)
