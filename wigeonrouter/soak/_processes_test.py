"""Tests of what is read about the signal handling of a process."""

import signal
import subprocess
import sys

import pytest

from wigeonrouter.soak import _processes


@pytest.fixture
def start():
    """Return a function that starts a program which waits for input."""
    running = []

    def run(prelude):
        process = subprocess.Popen(
            [
                sys.executable,
                "-c",
                "import signal, sys\n"
                # The tests may have been started with the signal ignored.
                "signal.signal(signal.SIGHUP, signal.SIG_DFL)\n"
                f"{prelude}\n"
                "print('ready', flush=True)\nsys.stdin.read()",
            ],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
        )
        running.append(process)
        process.stdout.readline()
        return process

    yield run
    for process in running:
        process.communicate()


def test_process_without_a_handler_is_recognised(start):
    """Guards against a violation for a signal that no program could handle."""
    process = start("")
    used = _processes.cpu_before_handling(process.pid, signal.SIGHUP)
    assert 0 <= used < 5


@pytest.mark.parametrize("handler", ["signal.SIG_IGN", "lambda *_: None"])
def test_handled_signal_is_recognised(start, handler):
    """Guards against excusing a process that a signal should not end."""
    process = start(f"signal.signal(signal.SIGHUP, {handler})")
    assert _processes.cpu_before_handling(process.pid, signal.SIGHUP) is None


def test_process_that_has_ended_is_no_error():
    """Guards against an error in the test while a process ends."""
    process = subprocess.Popen([sys.executable, "-c", ""])
    process.wait()
    assert _processes.cpu_before_handling(process.pid, signal.SIGHUP) is None
