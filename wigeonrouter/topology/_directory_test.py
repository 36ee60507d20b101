"""Tests of the directory of backend servers."""

import dataclasses

import pytest

from wigeonrouter import core
from wigeonrouter import topology

DRAINING = topology.RegistrationState.DRAINING


def registration(instance, **changes):
    return dataclasses.replace(
        topology.Registration(
            instance=instance,
            service="alpha",
            address=core.Address(host="10.0.0.1", port=80),
            place=core.Place(region="r1", failure_domain="za"),
            slots=2,
            state=topology.RegistrationState.READY,
        ),
        **changes,
    )


@pytest.fixture
def directory():
    """Return a ServerDirectory with servers a to d."""
    directory = topology.ServerDirectory()
    for instance in "abcd":
        directory.put(registration(instance), 0.0)
    return directory


def test_removed_server_is_dropped_at_once(directory):
    """Guards against requests for a server that left without draining."""
    directory.remove(["a"], 1.0)
    assert set(directory.known) == set("bcd")


def test_servers_that_lapsed_in_an_outage_may_register_again(directory):
    """Guards against losing all servers when the store is unavailable."""
    directory.on_store_outage()
    directory.on_store_contact(10.0)
    directory.retain_only([], 10.0)
    assert set(directory.known) == set("abcd")
    directory.put(registration("a", sequence=9), 11.0)
    assert directory.expire(12.5)
    assert set(directory.known) == {"a"}


def test_single_server_removed_during_an_outage_is_dropped(directory):
    """Guards against keeping a server that left during an outage.

    A node was cut off from the store for 12 s, while one server left and the
    others stayed.
    """
    directory.on_store_outage()
    directory.on_store_contact(10.0)
    directory.retain_only("bcd", 10.0)
    assert set(directory.known) == set("bcd")


def test_draining_server_is_not_kept_when_it_lapses(directory):
    """Guards against requests for a server that was already draining."""
    directory.put(registration("a", state=DRAINING), 1.0)
    directory.on_store_outage()
    directory.on_store_contact(10.0)
    directory.remove("abcd", 10.0)
    assert set(directory.known) == set("bcd")


def test_older_registration_of_an_instance_is_ignored(directory):
    """Guards against a delayed registration that ends a drain."""
    directory.put(
        registration("a", started_ms=5, sequence=7, state=DRAINING), 1.0
    )
    assert not directory.put(registration("a", started_ms=5, sequence=6), 2.0)
    assert directory.known["a"].registration.state is DRAINING
    directory.remove(["a"], 3.0)
    assert not directory.put(registration("a", started_ms=5, sequence=6), 4.0)
    assert directory.put(registration("a", started_ms=6, sequence=1), 5.0)


def test_delayed_registration_of_a_server_that_left_is_ignored(directory):
    """Guards against using a server again whose old write arrives late."""
    directory.put(registration("a", started_ms=5, sequence=9), 1.0)
    directory.remove(["a"], 2.0)
    directory.expire(3.0)
    assert not directory.put(
        registration("a", started_ms=4, sequence=99), 300.0
    )
    assert "a" not in directory.known


def test_servers_that_left_long_ago_are_forgotten(directory):
    """Guards against memory that grows with every server that ever was.

    Thousands of servers are replaced each day, each with a new instance.
    """
    for number in range(1000):
        instance = f"i-{number}"
        directory.put(registration(instance, started_ms=1), float(number))
        directory.remove([instance], number + 0.5)
        directory.expire(number + 0.5)
    assert directory.remembered <= 4 + 700
    directory.expire(10_000.0)
    assert directory.remembered == 4
