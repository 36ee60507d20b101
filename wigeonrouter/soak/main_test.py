"""A short seeded soak of real node processes."""

import json
import subprocess
import sys

import pytest

from wigeonrouter.soak import _run
from wigeonrouter.soak import main

_TIMEOUT_S = 100


@pytest.mark.parametrize("seed", [101])
def test_promises_hold_in_a_short_run(tmp_path, seed):
    """Guards against a broken promise between real processes."""
    done = subprocess.run(
        [
            sys.executable,
            "-m",
            "wigeonrouter.soak.main",
            f"--first={seed}",
            "--nodes=4",
            "--callers=10",
            "--seconds=5",
            f"--directory={tmp_path}",
        ],
        capture_output=True,
        text=True,
        timeout=_TIMEOUT_S,
    )
    assert done.returncode == 0, done.stdout + done.stderr


def test_plan_follows_from_its_seed():
    """Guards against a failed run that cannot be played again."""
    size = _run.Size()
    assert _run.make_plan(7, size) == _run.make_plan(7, size)
    assert _run.make_plan(7, size) != _run.make_plan(8, size)


def test_regressions_name_seed_and_cause():
    """Guards against a list of seeds that says nothing."""
    for case in json.loads(main.REGRESSIONS.read_text("utf-8")):
        assert isinstance(case["seed"], int) and case["cause"]
        assert _run.Size(**case["size"]).nodes
