"""Tests that replay requests which crash servers, and crashes of others."""

import pytest

from wigeonrouter import placement

DIGEST = "d" * 32
OTHER = "e" * 32
BLOCKED = placement.Standing.BLOCKED
SUSPECTED = placement.Standing.SUSPECTED
CLEAR = placement.Standing.CLEAR


@pytest.fixture
def history():
    """Return an empty CrashHistory."""
    return placement.CrashHistory()


def test_request_is_blocked_after_the_third_server_ended(history):
    """Guards against a request that ends one server after the other."""
    standings = []
    for number in range(3):
        assert history.try_begin(DIGEST)
        history.record_crash(DIGEST, f"i-{number}", float(number))
        history.end(DIGEST)
        standings.append(history.standing(DIGEST))
    assert standings == [CLEAR, SUSPECTED, BLOCKED]
    assert not history.try_begin(DIGEST)
    assert history.standing(OTHER) is CLEAR


def test_suspected_request_runs_at_one_server_at_a_time(history):
    """Guards against many servers that end before the first one is noticed.

    Many callers send the request at the same time.
    """
    for number in range(2):
        history.record_crash(DIGEST, f"i-{number}", 1.0)
    assert history.try_begin(DIGEST)
    assert not history.try_begin(DIGEST)
    history.end(DIGEST)
    assert history.try_begin(DIGEST)


def test_requests_from_before_the_suspicion_count_as_running(history):
    """Guards against a second trial once an earlier request has ended."""
    assert history.try_begin(DIGEST)
    assert history.try_begin(DIGEST)
    for number in range(2):
        history.record_crash(DIGEST, f"i-{number}", 1.0)
    history.end(DIGEST)
    assert not history.try_begin(DIGEST)
    history.end(DIGEST)
    assert history.try_begin(DIGEST)


def test_success_clears_a_request(history):
    """Guards against blocking a request that was there by chance."""
    crashes = {
        history.record_crash(DIGEST, f"i-{number}", 1.0) for number in range(3)
    }
    assert set(history.record_success(DIGEST, 1.2)) == crashes
    assert history.standing(DIGEST) is CLEAR


def test_hot_request_is_not_blamed_when_five_servers_end(history):
    """Guards against blocking a request that all callers send.

    It runs at each of the servers when they end for another reason, and
    succeeds at the others all the time.
    """
    history.record_success(DIGEST, 10.0)
    for number in range(5):
        history.record_crash(DIGEST, f"i-{number}", 10.1)
    assert history.standing(DIGEST) is CLEAR


def test_request_that_once_succeeded_is_blocked_when_it_crashes(history):
    """Guards against a request that crashes only the newest version."""
    history.record_success(DIGEST, 10.0)
    for number in range(3):
        history.record_crash(DIGEST, f"i-{number}", 13.0 + number)
    assert history.standing(DIGEST) is BLOCKED


def test_one_end_that_several_requests_or_nodes_see_counts_once(history):
    """Guards against blocking a request after a single server ended."""
    assert history.record_crash(DIGEST, "i-1", 5.0)
    assert not history.record_crash(DIGEST, "i-1", 5.2)
    other_node = placement.CrashHistory()
    history.add(other_node.record_crash(DIGEST, "i-1", 99.0), 5.3)
    assert len(history.crashes) == 1


def test_server_that_ends_again_with_its_instance_counts_again(history):
    """Guards against a service with a single server that ends forever."""
    for number in range(3):
        history.record_crash(DIGEST, "i-1", 4.0 * number)
    assert history.standing(DIGEST) is BLOCKED


def test_blocked_request_is_tried_again_when_its_crashes_are_old(history):
    """Guards against requests that stay blocked after a repair."""
    for number in range(3):
        history.record_crash(DIGEST, f"i-{number}", 100.0 * number)
    assert history.block_ends_after(DIGEST, 250.0) == 350.0
    history.expire(600.0)
    assert history.standing(DIGEST) is SUSPECTED
    history.expire(801.0)
    assert history.crashes == set()


def test_memory_is_bounded_for_any_number_of_requests(history):
    """Guards against a caller who fills the memory with new requests."""
    for number in range(20_000):
        history.record_crash(f"{number:032x}", "i-1", float(number))
        history.record_success(f"{number + (1 << 64):032x}", float(number))
    assert len(history.crashes) <= 1_024
