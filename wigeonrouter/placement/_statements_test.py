"""Tests of what servers say of themselves, and of why they get no request."""

import pytest

from wigeonrouter import placement

_START = ("i-1", 1_000)
_RESTARTED = ("i-1", 2_000)
_RETENTION_S = 600.0


@pytest.fixture
def statements():
    """Return ServerStatements without any."""
    return placement.ServerStatements()


def test_leaving_holds_until_a_new_start(statements, now):
    """Guards against a server that is used again while it ends."""
    assert statements.record(_START, leaving=True, pause=None, now=now)
    assert not statements.record(_START, leaving=False, pause=None, now=now)
    assert statements.get(_START).leaving
    assert not statements.get(_RESTARTED).leaving


def test_pause_that_ends_last_counts(statements, now):
    """Guards against a short pause that overtakes a long one."""
    statements.record(_START, leaving=False, pause=3.0, now=now)
    assert not statements.record(_START, leaving=False, pause=1.0, now=now + 1)
    assert statements.get(_START).paused_until == now + 3
    statements.record(_START, leaving=False, pause=4.0, now=now + 1)
    assert statements.get(_START).paused_until == now + 5


def test_response_without_statements_says_nothing(statements, now):
    """Guards against memory for each server that only responds."""
    assert not statements.record(_START, leaving=False, pause=None, now=now)
    assert not statements.record(_START, leaving=False, pause=0.0, now=now)


def test_old_statements_are_forgotten(statements, now):
    """Guards against memory that grows with each server that ever left."""
    statements.record(_START, leaving=True, pause=None, now=now)
    statements.record(
        ("i-2", 1), leaving=True, pause=None, now=now + _RETENTION_S + 1
    )
    assert not statements.get(_START).leaving


@pytest.mark.parametrize(
    ("changes", "reason"),
    [
        ({}, None),
        ({"leaving": True, "paused_until": 1e9}, "leaving"),
        ({"paused_until": 1e9, "ejected_until": 1e9}, "paused"),
        ({"next_send_at": 1e9}, "limited"),
        ({"ejected_until": 1e9}, "ejected"),
    ],
)
def test_server_is_excluded_for_one_reason(make_view, now, changes, reason):
    """Guards against choices that know only some of the reasons."""
    exclusion = placement.find_exclusion(make_view("a", **changes), now)
    assert (exclusion and exclusion.value) == reason


def test_paused_server_is_not_used_even_if_no_other_is_left(
    make_view, make_request, now
):
    """Guards against treating a pause like an ejection."""
    paused = make_view("a", paused_until=now + 1.0)
    ejected = make_view("b", ejected_until=now + 1.0)
    pick = placement.choose(
        [paused, ejected],
        request=make_request(),
        service_time=0.1,
        mean_slowdown=1.0,
        now=now,
        utilization=0.0,
    )
    assert pick.view == ejected
    pick = placement.choose(
        [paused],
        request=make_request(),
        service_time=0.1,
        mean_slowdown=1.0,
        now=now,
        utilization=0.0,
    )
    assert pick.view is None


def test_other_node_is_told_what_a_server_has_said(statements, now):
    """Guards against statements that go round between nodes."""
    statements.record(_START, leaving=False, pause=3.0, now=now)
    (exported,) = statements.export({_START}, now + 1)
    other = placement.ServerStatements()
    assert other.record_peer("node-1", exported, now + 0.2)
    assert other.get(_START).paused_until == now + 3.2
    # The same statement, in later states of the node.
    assert not other.record_peer("node-1", exported, now + 1)
    assert not other.export({_START}, now + 1)


def test_only_statements_that_hold_are_exported(statements, now):
    """Guards against states of nodes that grow with each pause."""
    statements.record(_START, leaving=False, pause=3.0, now=now)
    statements.record(("i-2", 1), leaving=True, pause=None, now=now)
    assert not statements.export({_START}, now + 3.1)
    assert not statements.export(set(), now)
    (exported,) = statements.export({_START, ("i-2", 1)}, now + 3.1)
    assert exported.instance == "i-2" and exported.leaving
