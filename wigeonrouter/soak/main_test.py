"""Tests of the soak command, with a short seeded run of node processes."""

import json
import subprocess
import sys

import pytest

from wigeonrouter.soak import _faults
from wigeonrouter.soak import _run
from wigeonrouter.soak import main

_TIMEOUT_S = 100


@pytest.mark.parametrize("seed", [101])
def test_invariants_hold_in_a_short_run(tmp_path, seed):
    """Guards against violations that only occur between real processes."""
    done = subprocess.run(
        [
            sys.executable,
            "-m",
            "wigeonrouter.soak.main",
            f"--first={seed}",
            "--nodes=4",
            "--callers=10",
            "--pooled-callers=40",
            "--seconds=5",
            f"--directory={tmp_path}",
        ],
        capture_output=True,
        text=True,
        timeout=_TIMEOUT_S,
    )
    assert done.returncode == 0, done.stdout + done.stderr


def test_seed_determines_the_plan():
    """Guards against a failed run that cannot be reproduced by its seed."""
    size = _run.Size()
    assert _run.make_plan(7, size) == _run.make_plan(7, size)
    assert _run.make_plan(7, size) != _run.make_plan(8, size)


def test_rolls_are_planned_apart_from_other_faults():
    """Guards against a seed whose other faults change with the rolls."""
    plan = _run.make_plan(7, _run.Size())
    with_rolls = _run.make_plan(7, _run.Size(pooled_callers=1))
    rolls = [planned for planned in with_rolls if planned not in plan]
    assert {planned.kind for planned in rolls} == {"roll_nodes"}
    assert [planned for planned in with_rolls if planned in plan] == [*plan]


def test_replacements_are_planned_apart_from_other_faults(monkeypatch):
    """Guards against a seed whose other faults change with replacements."""

    def others(plan):
        return [p for p in plan if p.kind != "replace_in_place"]

    size = _run.Size(pooled_callers=1)
    plan = _run.make_plan(7, size)
    assert "replace_in_place" in {planned.kind for planned in plan}
    monkeypatch.setattr(_run, "_REPLACEMENT_GAP_S", (0.1, 0.2))
    with_more = _run.make_plan(7, size)
    assert len(with_more) > len(plan)
    assert others(with_more) == others(plan)
    assert "replace_in_place" not in _faults.random_kinds()


def test_regressions_have_seed_cause_and_size():
    """Guards against regression seeds whose cause or size is missing."""
    for case in json.loads(main.REGRESSIONS.read_text("utf-8")):
        assert isinstance(case["seed"], int) and case["cause"]
        assert _run.Size(**case["size"]).nodes
