"""Tests of what is remembered of registrations when a store is restored."""

import pytest

from wigeonrouter import topology
from wigeonrouter.topology import _directory_test

registration = _directory_test.registration
READY = topology.RegistrationState.READY
DRAINING = topology.RegistrationState.DRAINING


@pytest.fixture(params=[0, 1_700_000_000_000])
def started_ms(request):
    """Return the start that servers name, 0 if they name none."""
    return request.param


@pytest.fixture
def directory(started_ms):
    """Return a ServerDirectory with servers a to d."""
    directory = topology.ServerDirectory()
    for instance in "abcd":
        directory.put(
            registration(instance, started_ms=started_ms, sequence=4), 0.0
        )
    return directory


def _relist(directory, registrations, now, *, restored):
    instances = {entry.instance for entry in registrations}
    if restored:
        directory.on_store_restored(instances, now)
    else:
        directory.retain_only(instances, now)
    for entry in registrations:
        directory.put(entry, now, listed=True)


def test_server_that_left_is_not_taken_from_the_copy(directory, started_ms):
    """Guards against a server that comes back with its last registration."""
    directory.remove(["a"], 5.0)
    copy = [
        registration(instance, started_ms=started_ms, sequence=4)
        for instance in "abcd"
    ]
    _relist(directory, copy, 10.0, restored=True)
    assert set(directory.known) == set("bcd")


def test_drain_is_not_undone_by_the_copy(directory, started_ms):
    """Guards against new requests for a server whose drain was forgotten."""
    directory.put(
        registration("a", started_ms=started_ms, sequence=6, state=DRAINING),
        5.0,
    )
    copy = [
        registration(instance, started_ms=started_ms, sequence=4)
        for instance in "abcd"
    ]
    _relist(directory, copy, 10.0, restored=True)
    assert directory.known["a"].registration.state is DRAINING


def test_server_that_registers_again_after_the_restore_is_used(
    directory, started_ms
):
    """Guards against a live server that stays unused after a restore."""
    directory.remove(["a"], 5.0)
    _relist(directory, [], 10.0, restored=True)
    again = registration("a", started_ms=started_ms, sequence=5)
    assert directory.put(again, 11.0)
    assert directory.known["a"].registration.state is READY


def test_live_servers_that_the_store_forgot_are_kept_for_a_while(directory):
    """Guards against dropping servers that had registered lately.

    They are fewer than half of all, so they have not lapsed together.
    """
    kept = [directory.known[instance].registration for instance in "abc"]
    _relist(directory, kept, 10.0, restored=True)
    assert set(directory.known) == set("abcd")
    assert directory.expire(12.5)
    assert set(directory.known) == set("abc")


def test_doubts_end_with_a_listing_after_the_copy_has_lapsed(
    directory, started_ms
):
    """Guards against a server that nobody uses although it is registered.

    It started again with its instance before the restored store was listed,
    and its sequence started anew.
    """
    directory.remove(["a"], 5.0)
    copy = [
        registration(instance, started_ms=started_ms, sequence=4)
        for instance in "abcd"
    ]
    _relist(directory, copy, 10.0, restored=True)
    assert not directory.listing_due(15.0)
    assert directory.listing_due(21.0)
    _relist(directory, copy, 21.0, restored=False)
    assert set(directory.known) == set("abcd")
    assert not directory.listing_due(40.0)


def test_node_that_starts_learns_who_left_before_the_restore(
    directory, started_ms
):
    """Guards against a new node that uses what only the copy still lists."""
    directory.remove(["a"], 5.0)
    directory.put(
        registration("b", started_ms=started_ms, sequence=6, state=DRAINING),
        5.0,
    )
    assert directory.departures == ()
    copy = [
        registration(instance, started_ms=started_ms, sequence=4)
        for instance in "abcd"
    ]
    _relist(directory, copy, 10.0, restored=True)
    started = topology.ServerDirectory()
    _relist(started, copy, 10.1, restored=False)
    started.recall(directory.departures, 10.2)
    assert set(started.known) == set("cd")
    _relist(started, copy, 10.3, restored=False)
    assert set(started.known) == set("cd")


def test_server_that_starts_again_with_a_clock_behind_is_used():
    """Guards against a live server whose start seems to lie before the last.

    A write of its previous process that arrives late looks the same, but the
    store does not list it for long.
    """
    directory = topology.ServerDirectory()
    directory.put(registration("a", started_ms=9_000, sequence=7), 0.0)
    directory.remove(["a"], 5.0)
    again = registration("a", started_ms=2_000, sequence=1)
    assert not directory.put(again, 8.0)
    assert directory.listing_due(19.0)
    _relist(directory, [again], 19.0, restored=False)
    assert set(directory.known) == {"a"}


def test_late_write_of_a_server_that_left_stays_without_effect():
    """Guards against using a server again after a listing without it."""
    directory = topology.ServerDirectory()
    late = registration("a", started_ms=9_000, sequence=7)
    directory.put(late, 0.0)
    directory.remove(["a"], 5.0)
    older = registration("a", started_ms=9_000, sequence=6)
    assert not directory.put(older, 8.0)
    _relist(directory, [], 19.0, restored=False)
    assert not directory.known
