"""Guards against drains of a server that daemons do not see."""

import types

import pytest

from wigeonrouter import core
from wigeonrouter import health
from wigeonrouter import store

_ADDRESS = core.Address(host="127.0.0.1", port=1001)


class _Gossip:
    """Fake of membership.Gossip that stores the facts of one daemon."""

    def __init__(self):
        self.known = {}
        self.listeners = []

    @property
    def facts(self):
        return tuple(self.known.values())

    def subscribe_facts(self, listener):
        self.listeners.append(listener)

    def assert_fact(self, *, address, state, source):
        self.known[str(address), source] = types.SimpleNamespace(
            address=str(address), state=state, source=source
        )
        for listener in self.listeners:
            listener(self.facts)


@pytest.fixture
def tracker():
    """DrainTracker with one server, its gossip and the sets it applied."""
    gossip = _Gossip()
    applied = []
    service = core.EffectiveService(
        name="/s",
        match=core.MatchSettings(),
        servers=(
            core.BackendServer(
                name="s",
                address=_ADDRESS,
                place=core.Place(region="r", failure_domain="r-a"),
            ),
        ),
    )
    replica = types.SimpleNamespace(
        services={"/s": service},
        subscribe=lambda listener: listener(replica),
    )
    made = health.DrainTracker(
        gossip=gossip,
        store=None,
        replica=replica,
        apply_draining=applied.append,
    )
    return types.SimpleNamespace(made=made, gossip=gossip, applied=applied)


def _listing(state):
    vm = store.Vm(
        name="vm",
        role="backend",
        address="127.0.0.1",
        region="r",
        failure_domain="r-a",
        state=state,
    )
    return store.VmListing(version=1, vms=(vm,))


def test_each_source_ends_only_its_own_drain(tracker):
    tracker.made.announce(_ADDRESS, True)
    tracker.made.apply_listing(_listing("leaving"))
    tracker.gossip.assert_fact(
        address=_ADDRESS, state="draining", source="operator"
    )
    tracker.made.announce(_ADDRESS, False)
    assert tracker.applied[-1] == {str(_ADDRESS)}
    tracker.made.apply_listing(_listing("live"))
    assert tracker.applied[-1] == {str(_ADDRESS)}
    tracker.gossip.assert_fact(
        address=_ADDRESS, state="active", source="operator"
    )
    assert tracker.applied[-1] == frozenset()


def test_unchanged_vm_list_publishes_no_facts(tracker):
    tracker.made.apply_listing(_listing("live"))
    assert tracker.gossip.facts == ()
    tracker.made.apply_listing(_listing("leaving"))
    count = len(tracker.applied)
    tracker.made.apply_listing(_listing("leaving"))
    assert len(tracker.applied) == count
