"""Measures processor time and memory of this process."""

import time

_BATCHES = 5
_BATCH_CALLS = 50
_PAGE_BYTES = 4096


def resident_bytes():
    """Return the resident memory of this process in bytes."""
    with open("/proc/self/statm", encoding="ascii") as file:
        return int(file.read().split()[1]) * _PAGE_BYTES


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
