"""Tests of readiness, acknowledgements and seeds.

Guards against daemons that become ready with an outdated configuration.
"""

import random
import types

import gevent
import pytest

from wigeonrouter import configuration
from wigeonrouter import core
from wigeonrouter import membership
from wigeonrouter import store as store_api
from wigeonrouter.bench import _in_process_daemons
from wigeonrouter.membership import _dissemination
from wigeonrouter.membership import _replication
from wigeonrouter.membership import _table_test
from wigeonrouter.schema import settings_pb2


class _UnavailableStore:
    def get(self, key):
        raise store_api.StoreUnavailable("down")

    def list_vms(self, *, known_version):
        raise store_api.StoreUnavailable("down")


def _gossip(stated_revisions, joined):
    own = _table_test.member(0)
    return types.SimpleNamespace(
        table=membership.MemberTable(own=own),
        rounds=1,
        joined=joined,
        query_revisions=lambda: stated_revisions,
        set_ready=lambda: None,
        subscribe_pause=lambda listener: None,
    )


@pytest.mark.parametrize(
    ("stated_revisions", "joined", "held_revision", "ready"),
    [
        ({}, True, 0, False),
        ({"d1": (0, True)}, True, 0, True),
        ({"d1": (0, False)}, True, 0, False),
        ({"d1": (2, True), "d2": (1, True)}, True, 1, False),
        ({"d1": (2, True), "d2": (1, True)}, True, 2, True),
        # A peer that is not ready may hold an acknowledged change.
        ({"d1": (2, False), "d2": (1, True)}, True, 1, False),
        ({"d1": (1, True)}, False, 1, False),
    ],
)
def test_peers_decide_readiness_without_the_store(
    stated_revisions, joined, held_revision, ready
):
    replica = configuration.Replica()
    replica.apply_entries(
        [
            settings_pb2.LogEntry(revision=n + 1, change_id=str(n))
            for n in range(held_revision)
        ]
    )
    replication = membership.Replication(
        store=_UnavailableStore(),
        replica=replica,
        gossip=_gossip(stated_revisions, joined),
        seeds=(),
        rng=random.Random(1),
    )
    task = gevent.spawn(replication._become_ready)
    if ready:
        _in_process_daemons.wait_for(lambda: replication.ready)
    else:
        gevent.sleep(3 * _replication.READINESS_RETRY_S)
        assert not replication.ready
    task.kill()


@pytest.mark.parametrize(
    ("domains", "order"),
    [
        # One peer of each other failure domain first, the own region first.
        (["r0-b", "r0-b", "r1-a", "r0-c"], ["r0-b", "r0-c", "r1-a", "r0-b"]),
        (["r0-a", "r0-b", "r1-a"], ["r0-b", "r1-a"]),
        # The own failure domain only where there are too few other peers.
        (["r0-a", "r0-a"], ["r0-a", "r0-a"]),
        (["r0-b", "r0-a"], ["r0-b", "r0-a"]),
        ([], []),
    ],
)
def test_acknowledgements_come_from_other_failure_domains(domains, order):
    own = _table_test.member(0)
    peers = [
        _member_in(number, name)
        for number, name in enumerate(domains, start=1)
    ]
    addresses = _dissemination.acknowledgement_order(own=own, peers=peers)
    assert [m.place.failure_domain for m in addresses] == order


def _member_in(number, domain):
    return _table_test.member(
        number, place=core.Place(region=domain[:2], failure_domain=domain)
    )


def test_only_entry_vms_with_readable_addresses_become_seeds():
    def vm(address, role="entry", state="live"):
        return store_api.Vm(
            name="vm",
            role=role,
            address=address,
            region="r",
            failure_domain="r-a",
            state=state,
        )

    addresses = _replication.entry_addresses(
        [
            vm("10.0.0.1"),
            vm("10.0.0.2:9"),
            vm("10.0.0.3:x"),
            vm("10.0.0.4", role="backend"),
            vm("10.0.0.5", state="leaving"),
        ],
        port=7,
    )
    assert list(map(str, addresses)) == ["10.0.0.1:7", "10.0.0.2:9"]
