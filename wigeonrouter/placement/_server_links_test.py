"""Tests of the decision whether a node is cut off from all servers."""

import pytest

from wigeonrouter import placement


@pytest.fixture
def links():
    """Return the ServerLinks of a node that has lost two servers."""
    links = placement.ServerLinks()
    for instance in ("i-1", "i-2"):
        links.record_no_response(instance)
    return links


def _check(links, *results):
    """Record checks of four servers; return whether they changed it."""
    return [
        links.record_check(accepted=accepted, attempted=4)
        for accepted in results
    ]


def test_one_silent_server_is_no_suspicion():
    """Guards against checks, which cost connections, for each failure."""
    links = placement.ServerLinks()
    for _ in range(5):
        links.record_no_response("i-1")
    assert not links.is_suspected(10)
    assert links.is_suspected(1)


def test_response_ends_a_suspicion(links):
    """Guards against counting failures of single servers over time."""
    assert links.is_suspected(10)
    links.record_response()
    links.record_no_response("i-3")
    assert not links.is_suspected(10)


def test_node_is_cut_if_no_server_accepts_a_connection(links):
    """Guards against a node that goes on to try one server after another."""
    assert _check(links, 0, 0) == [False, True]
    assert links.cut


def test_node_is_not_cut_while_some_server_accepts(links):
    """Guards against blaming the node for servers that have ended."""
    assert not any(_check(links, 0, 1, 0, 1, 0))
    assert not links.cut


def test_response_between_checks_counts(links):
    """Guards against a cut that lasted half a second and is over."""
    _check(links, 0)
    links.record_response()
    assert _check(links, 0) == [False]


def test_cut_ends_when_most_servers_accept_again(links):
    """Guards against callers that come back to paths which flap."""
    _check(links, 0, 0)
    links.record_response()
    assert links.cut
    assert _check(links, 1, 3, 0, 4, 2) == [False] * 4 + [True]
    assert not links.cut
    assert not links.is_suspected(10)
