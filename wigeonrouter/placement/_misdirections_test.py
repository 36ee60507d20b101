"""Tests of when a server is used again that another one answered for."""

import pytest

from wigeonrouter import placement

NOW = 1000.0
INTERVAL_S = placement.TRIAL_INTERVAL_S


@pytest.fixture
def misdirections():
    """Return Misdirections of a server that another one answered for."""
    result = placement.Misdirections()
    assert result.record_other("server-1", NOW)
    return result


def test_only_the_server_concerned_is_excluded(misdirections):
    """Guards against servers that are left out for another one's fault."""
    assert misdirections.is_excluded("server-1", NOW)
    assert not misdirections.is_excluded("server-2", NOW)


def test_server_that_answers_is_used_at_once(misdirections):
    """Guards against a server that is back and not used."""
    assert misdirections.record_own("server-1")
    assert not misdirections.is_excluded("server-1", NOW)
    assert not misdirections.record_own("server-1")


def test_server_that_cannot_be_told_is_tried_at_intervals(misdirections):
    """Guards against a server that no health check names and is lost.

    Each trial is one request, whose result is not waited for.
    """
    for trial in range(1, 4):
        now = NOW + trial * INTERVAL_S
        assert misdirections.is_excluded("server-1", now - 0.01)
        assert not misdirections.is_excluded("server-1", now)
        misdirections.record_trial("server-1", now)
        assert misdirections.is_excluded("server-1", now)


def test_server_that_another_one_answers_for_is_not_tried(misdirections):
    """Guards against requests to a stale entry that health checks show."""
    for check in range(1, 10):
        now = NOW + check * INTERVAL_S / 2
        assert not misdirections.record_other("server-1", now)
        assert misdirections.is_excluded("server-1", now + INTERVAL_S / 2)


def test_entry_that_changes_is_not_excluded(misdirections):
    """Guards against a new server that pays for the entry before it."""
    misdirections.retain(["server-2"])
    assert "server-1" not in misdirections
    misdirections.record_trial("server-1", NOW)
    assert not misdirections.is_excluded("server-1", NOW)
