"""Guards against daemons that do not learn that a server is leaving."""

import types

import pytest

from wigeonrouter import core
from wigeonrouter import health
from wigeonrouter import store

_ADDRESS = core.Address(host="127.0.0.1", port=1001)


class _Gossip:
    """Keeps facts like membership.Gossip, for one daemon."""

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
def signs():
    """DrainTracker with one configured server, and what it applied."""
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


def test_any_one_source_suffices_and_none_undoes_another(signs):
    signs.made.announce(_ADDRESS, True)
    signs.made.apply_listing(_listing("leaving"))
    signs.gossip.assert_fact(
        address=_ADDRESS, state="draining", source="operator"
    )
    signs.made.announce(_ADDRESS, False)
    assert signs.applied[-1] == {str(_ADDRESS)}
    signs.made.apply_listing(_listing("live"))
    assert signs.applied[-1] == {str(_ADDRESS)}
    signs.gossip.assert_fact(
        address=_ADDRESS, state="active", source="operator"
    )
    assert signs.applied[-1] == frozenset()


def test_a_list_that_says_nothing_new_states_nothing(signs):
    signs.made.apply_listing(_listing("live"))
    assert signs.gossip.facts == ()
    signs.made.apply_listing(_listing("leaving"))
    count = len(signs.applied)
    signs.made.apply_listing(_listing("leaving"))
    assert len(signs.applied) == count
