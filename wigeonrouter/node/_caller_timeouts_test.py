"""Tests of which timeouts of callers a node writes to the store."""

import pytest

from wigeonrouter import placement
from wigeonrouter.node import _caller_timeouts

_LEARNED_S = 2.0


class _Estimate:
    """Estimate that has learned a timeout."""

    def __init__(self, *, stored):
        self.learned_timeout = _LEARNED_S

    def estimate_age(self, remaining):
        return _LEARNED_S - remaining


@pytest.mark.parametrize(
    ("stored", "written"),
    [({}, True), ({"read": 2.2}, False), ({"read": 1.5}, True)],
)
def test_timeout_is_written_only_if_it_has_changed_much(
    monkeypatch, stored, written
):
    """Guards against a write to the store for each request."""
    monkeypatch.setattr(placement, "CallerTimeoutEstimate", _Estimate)
    timeouts = _caller_timeouts.CallerTimeouts(stored=lambda: stored)
    assert timeouts.estimate_age("read", 0.5) == _LEARNED_S - 0.5
    assert timeouts.changed() == ({"read": _LEARNED_S} if written else {})


def test_timeout_that_is_not_known_yet_is_not_written():
    """Guards against a store that gets what nobody has learned."""
    timeouts = _caller_timeouts.CallerTimeouts(stored=dict)
    timeouts.estimate_age("read", 0.5)
    assert timeouts.changed() == {}
