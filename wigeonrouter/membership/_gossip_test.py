"""Tests of gossip between daemons over gRPC.

Guards against updates, facts and configuration revisions that get lost.
"""

import time

import grpc
import pytest

from wigeonrouter import configuration
from wigeonrouter import core
from wigeonrouter.bench import _in_process_daemons
from wigeonrouter.membership import _codec
from wigeonrouter.membership import conftest
from wigeonrouter.schema import peer_pb2
from wigeonrouter.schema import peer_pb2_grpc
from wigeonrouter.schema import settings_pb2
from wigeonrouter.schema import store_pb2

_FLEET = (
    ("north", "a"),
    ("north", "b"),
    ("south", "a"),
    ("south", "b"),
)


def _proposal(change_id, base=0):
    settings = settings_pb2.Settings()
    settings.match.service_header = change_id
    return configuration.Proposal(
        change_id=change_id,
        author="operator",
        base_revision=base,
        changes=(
            settings_pb2.Change(path=f"/{change_id}", settings=settings),
        ),
    )


def _states(node):
    return {m.daemon_id: m.state for m in node.gossip.table.members}


def test_a_change_is_acknowledged_in_other_domains_and_reaches_all_peers(
    nodes,
):
    fleet = nodes.start_fleet(_FLEET)
    entry, acknowledged = fleet[0].replication.accept(_proposal("a")).unwrap()
    assert len(acknowledged) >= 2
    domains = {fleet[0].gossip.table.find(name).place for name in acknowledged}
    assert len(domains) >= 2
    assert fleet[0].gossip.table.own.place not in domains
    _in_process_daemons.wait_for(
        lambda: all(n.replica.revision == entry.revision for n in fleet)
    )


def test_a_change_reaches_all_peers_if_the_store_fails_after_the_write(
    nodes, store_standin
):
    fleet = nodes.start_fleet(_FLEET)
    fleet[0].replication.accept(_proposal("a")).unwrap()
    store_standin.inject(store_pb2.FaultCall(down=True))
    _in_process_daemons.wait_for(
        lambda: all(n.replica.revision == 1 for n in fleet)
    )
    rejected = fleet[1].replication.accept(_proposal("b"))
    assert isinstance(rejected.failure(), configuration.StoreDown)
    joiner = nodes.start(seeds=[fleet[3].gossip.table.own.peer_address])
    assert joiner.replica.revision == 1


def test_a_change_is_fetched_after_lost_pushes(nodes, store_standin):
    fleet = nodes.start_fleet(_FLEET)
    store_standin.inject(store_pb2.FaultCall(down=True))
    fleet[0].replica.apply_entries(
        [
            settings_pb2.LogEntry(
                revision=1, change_id="a", changes=_proposal("a").changes
            )
        ]
    )
    _in_process_daemons.wait_for(
        lambda: all(n.replica.revision == 1 for n in fleet)
    )


def test_a_new_daemon_without_store_and_peers_is_not_ready(
    nodes, store_standin
):
    store_standin.inject(store_pb2.FaultCall(down=True))
    first = nodes.start(ready=False)
    second = nodes.start(
        seeds=[first.gossip.table.own.peer_address], ready=False
    )
    _in_process_daemons.wait_for(lambda: second.gossip.joined)
    _in_process_daemons.wait_for(lambda: first.gossip.rounds > 2)
    assert not first.replication.ready
    assert not second.replication.ready
    store_standin.inject(store_pb2.FaultCall())
    _in_process_daemons.wait_for(lambda: second.replication.ready)


def test_only_one_daemon_of_a_region_watches_the_store(nodes, store_standin):
    """The store meters each pending watch, and its rate limits are low."""
    fleet = nodes.start_fleet([("north", "a")] * 4)
    watching = [
        n for n in fleet if n.gossip.table.owns_in_region("config-watcher")
    ]
    assert len(watching) == 1
    # The watch delivers an entry whose writer failed before it was pushed.
    entry = settings_pb2.LogEntry(
        revision=1, change_id="a", changes=_proposal("a").changes
    )
    assert fleet[0].store.compare_and_swap(
        key=configuration.log_key(1),
        expected_version=0,
        value=entry.SerializeToString(),
    )
    _in_process_daemons.wait_for(
        lambda: all(n.replica.revision == 1 for n in fleet)
    )


def test_regions_that_lost_contact_rejoin_with_the_higher_revision(
    nodes, store_standin
):
    fleet = nodes.start_fleet(_FLEET)
    north, south = fleet[:2], fleet[2:]
    conftest.partition(north, south)
    dead = core.MemberState.DEAD
    _in_process_daemons.wait_for(
        lambda: all(
            _states(node)[other.daemon_id] is dead
            for side, others in ((north, south), (south, north))
            for node in side
            for other in others
        )
    )
    north[0].replication.accept(_proposal("a")).unwrap()
    north[0].gossip.assert_fact(
        address="127.0.0.1:9", state="draining", source="operator"
    )
    store_standin.inject(store_pb2.FaultCall(down=True))
    conftest.heal(fleet)
    _in_process_daemons.wait_for(
        lambda: all(len(n.gossip.table.alive) == 4 for n in fleet)
    )
    _in_process_daemons.wait_for(
        lambda: all(n.replica.revision == 1 for n in fleet)
    )
    _in_process_daemons.wait_for(lambda: all(n.gossip.facts for n in fleet))


def test_a_leaving_daemon_is_announced_to_all_peers(nodes):
    fleet = nodes.start_fleet(_FLEET)
    fleet[0].gossip.leave()
    for node in fleet[1:]:
        assert _states(node)["node-0"] is core.MemberState.LEAVING


def test_a_pause_is_detected_by_a_clock_jump(nodes):
    """Listeners rely on the notification, for instance to delay probes."""
    first, second = nodes.start_fleet([("north", "a")] * 2)
    received = []
    first.gossip.subscribe_pause(received.append)
    first.gossip.table.suspect("node-1", now=time.monotonic())
    first.gossip._clock = lambda: time.monotonic() + 60.0
    _in_process_daemons.wait_for(lambda: received)
    assert 50.0 < received[0] < 70.0
    assert first.gossip.counts["pauses"] == 1
    assert _states(first)["node-1"] is not core.MemberState.DEAD
    _in_process_daemons.wait_for(lambda: len(first.gossip.table.alive) == 2)


def test_facts_replicate_without_the_store_and_the_newest_wins(
    nodes, store_standin
):
    fleet = nodes.start_fleet(_FLEET)
    store_standin.inject(store_pb2.FaultCall(down=True))
    received = []
    fleet[3].gossip.subscribe_facts(received.append)
    address = "127.0.0.1:9"
    fleet[0].gossip.assert_fact(
        address=address, state="draining", source="operator"
    )
    fleet[0].gossip.assert_fact(
        address=address, state="ready", source="operator"
    )
    fleet[0].gossip.assert_fact(
        address=address, state="draining", source="vm-list"
    )
    expected = {("operator", "ready"), ("vm-list", "draining")}
    _in_process_daemons.wait_for(
        lambda: all(
            {(f.source, f.state) for f in n.gossip.facts} == expected
            for n in fleet
        )
    )
    assert {(f.source, f.state) for f in received[-1]} == expected


def test_a_joining_daemon_gets_all_facts(nodes):
    """Covers more facts than one repair message holds, none pending."""
    first = nodes.start()
    for number in range(1, 1001):
        first.gossip.assert_fact(
            address=f"127.0.0.1:{number}", state="draining", source="operator"
        )
    while not first.gossip._facts.all_updates_sent:
        first.gossip._facts.take_updates(max_sends=1)
    joiner = nodes.start(seeds=[first.gossip.table.own.peer_address])
    assert sorted(f.address for f in joiner.gossip.facts) == sorted(
        f.address for f in first.gossip.facts
    )


def test_a_lost_fact_is_repaired_by_digest_comparison(nodes):
    first, second = nodes.start_fleet([("north", "a")] * 2)
    first.gossip._facts.assert_fact(
        address="127.0.0.1:9",
        state="draining",
        source="operator",
        now_ms=first.gossip._exchanges.now_ms(),
    )
    first.gossip._facts.take_updates(max_sends=1)
    _in_process_daemons.wait_for(lambda: second.gossip.facts)


_VALID_MEMBER = core.Member(
    daemon_id="other",
    incarnation=1,
    state=core.MemberState.ALIVE,
    place=core.Place(region="north", failure_domain="north-a"),
    caller_address=core.parse_address("127.0.0.1:1"),
    admin_address=core.parse_address("127.0.0.1:2"),
    peer_address=core.parse_address("127.0.0.1:3"),
)


def _gossip_message(*, sender=None, member=None, fact=None, **more):
    message = peer_pb2.GossipMessage(
        sender=_codec.member_to_message(_VALID_MEMBER), **more
    )
    message.members.add().CopyFrom(_codec.member_to_message(_VALID_MEMBER))
    message.facts.add(
        address="127.0.0.1:9", state="draining", version=1, source="operator"
    )
    for record, changes in (
        (message.sender, sender),
        (message.members[0], member),
        (message.facts[0], fact),
    ):
        for name, value in (changes or {}).items():
            setattr(record, name, value)
    return message


def _push_message(*entries):
    return peer_pb2.PushRequest(
        sender=_codec.member_to_message(_VALID_MEMBER),
        entries=[settings_pb2.LogEntry(**entry) for entry in entries],
    )


_VALID_ENTRY = {"revision": 1, "change_id": "a"}


@pytest.mark.parametrize(
    ("method", "message"),
    [
        ("Exchange", peer_pb2.GossipMessage()),
        ("Exchange", _gossip_message(sender={"daemon_id": "Bad id"})),
        ("Exchange", _gossip_message(sender={"state": 3})),
        ("Exchange", _gossip_message(member={"state": 9})),
        ("Exchange", _gossip_message(member={"region": ""})),
        ("Exchange", _gossip_message(member={"incarnation": 2**63})),
        ("Exchange", _gossip_message(member={"peer_address": "x:1"})),
        ("Exchange", _gossip_message(member={"peer_address": "1.2.3.4"})),
        ("Exchange", _gossip_message(member={"peer_address": "1.2.3.4:0"})),
        ("Exchange", _gossip_message(member={"peer_address": "1.2.3.999:1"})),
        ("Exchange", _gossip_message(fact={"address": "host"})),
        ("Exchange", _gossip_message(fact={"state": "X Y"})),
        ("Exchange", _gossip_message(fact={"version": 2**62})),
        ("Exchange", _gossip_message(fact={"version": 0})),
        ("Exchange", _gossip_message(facts_parts=[1, 2])),
        ("Exchange", _gossip_message(revision=2**63)),
        ("Push", _push_message()),
        ("Push", _push_message({"revision": 0, "change_id": "a"})),
        ("Push", _push_message({"revision": 1})),
        (
            "Push",
            _push_message(_VALID_ENTRY, {"revision": 3, "change_id": "b"}),
        ),
        (
            "Push",
            _push_message({**_VALID_ENTRY, "changes": [{"path": "a"}]}),
        ),
        ("ProbeFor", peer_pb2.ProbeForRequest(target_address="x")),
    ],
)
def test_a_malformed_message_is_rejected_and_changes_nothing(
    nodes, method, message
):
    node = nodes.start()
    members, facts = node.gossip.table.members, node.gossip.facts
    channel = grpc.insecure_channel(
        str(node.gossip.table.own.peer_address),
        options=(("grpc.enable_http_proxy", 0),),
    )
    stub = peer_pb2_grpc.PeerStub(channel)
    with pytest.raises(grpc.RpcError) as error:
        getattr(stub, method)(message, timeout=5)
    channel.close()
    assert error.value.code() is grpc.StatusCode.INVALID_ARGUMENT
    assert node.gossip.counts["malformed"] == 1
    assert node.gossip.table.members == members
    assert node.gossip.facts == facts
    assert node.replica.revision == 0
