"""Tests of the signals that a node process gets while it starts."""

import os
import signal
import subprocess
import sys
import time

import pytest

from wigeonrouter.platform import testing

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


def test_node_that_is_told_to_stop_again_and_again_exits_with_0(
    tmp_path, make_settings
):
    """Guards against a stop that looks like a crash at its very end.

    The second SIGTERM arrives while the interpreter exits.
    """
    path = tmp_path / "settings"
    path.write_text(
        testing.render_settings(make_settings(), bounds={"grace": "1s"})
    )
    process = subprocess.Popen(
        [sys.executable, "-m", "wigeonrouter.platform.main"],
        env={**os.environ, "WIGEONROUTER_SETTINGS": str(path)},
        stdout=subprocess.PIPE,
    )
    line = process.stdout.readline()
    while b'"started"' not in line:
        line = process.stdout.readline()
    deadline = time.monotonic() + _TIMEOUT_S
    while process.poll() is None:
        assert time.monotonic() < deadline, "the process did not stop"
        process.send_signal(signal.SIGTERM)
        time.sleep(0.002)
    process.stdout.close()
    assert process.returncode == 0
