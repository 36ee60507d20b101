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
def harness():
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
    tracker = health.DrainTracker(
        gossip=gossip,
        store=None,
        replica=replica,
        apply_draining=applied.append,
    )
    return types.SimpleNamespace(
        tracker=tracker, gossip=gossip, applied=applied
    )


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


def test_each_source_ends_only_its_own_drain(harness):
    harness.tracker.announce(_ADDRESS, True)
    harness.tracker.apply_listing(_listing("leaving"))
    harness.gossip.assert_fact(
        address=_ADDRESS, state="draining", source="operator"
    )
    harness.tracker.announce(_ADDRESS, False)
    assert harness.applied[-1] == {str(_ADDRESS)}
    harness.tracker.apply_listing(_listing("live"))
    assert harness.applied[-1] == {str(_ADDRESS)}
    harness.gossip.assert_fact(
        address=_ADDRESS, state="active", source="operator"
    )
    assert harness.applied[-1] == frozenset()


def test_unchanged_vm_list_publishes_no_facts(harness):
    harness.tracker.apply_listing(_listing("live"))
    assert harness.gossip.facts == ()
    harness.tracker.apply_listing(_listing("leaving"))
    count = len(harness.applied)
    harness.tracker.apply_listing(_listing("leaving"))
    assert len(harness.applied) == count
