"""Tests of the signals that a node process gets while it starts."""

import os
import signal
import subprocess
import sys
import time

import pytest

_TIMEOUT_S = 30.0


def _open_for_writing(path):
    """Open a FIFO as soon as the process reads it."""
    deadline = time.monotonic() + _TIMEOUT_S
    while True:
        try:
            return os.open(path, os.O_WRONLY | os.O_NONBLOCK)
        except OSError:
            assert time.monotonic() < deadline, "the process did not read"
            time.sleep(0.01)


@pytest.fixture
def starting_process(tmp_path):
    """Run a node process that waits for its settings, and return it."""
    path = tmp_path / "settings"
    os.mkfifo(path)
    process = subprocess.Popen(
        [sys.executable, "-m", "wigeonrouter.platform.main"],
        env={**os.environ, "WIGEONROUTER_SETTINGS": str(path)},
    )
    writer = _open_for_writing(path)
    yield process
    os.close(writer)
    process.kill()
    process.wait(_TIMEOUT_S)


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT])
def test_node_that_is_stopped_while_it_starts_exits_with_0(
    starting_process, number
):
    """Guards against a planned stop that looks like a crash."""
    starting_process.send_signal(number)
    assert starting_process.wait(_TIMEOUT_S) == 0


def test_node_goes_on_starting_after_a_hang_up(starting_process):
    """Guards against a change of settings that ends the process."""
    starting_process.send_signal(signal.SIGHUP)
    with pytest.raises(subprocess.TimeoutExpired):
        starting_process.wait(0.3)
