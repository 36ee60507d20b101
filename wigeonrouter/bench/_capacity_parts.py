"""Measures resource use of single components for docs/CAPACITY.md.

Every function takes one size and returns a dict of numbers. Each size is
measured in a separate process, so that memory that the allocator retains from
an earlier size is not counted.
"""

import functools
import random

from wigeonrouter import configuration
from wigeonrouter import core
from wigeonrouter import entries
from wigeonrouter import membership
from wigeonrouter import request_path
from wigeonrouter.bench import _measuring
from wigeonrouter.bench import _node_parts
from wigeonrouter.schema import peer_pb2
from wigeonrouter.schema import settings_pb2

# About the ratio of 15,000 backend servers to 1,700 services.
UPSTREAMS_PER_SERVICE = 9
_TEAMS = 40
_REGIONS = 8
_FAILURE_DOMAINS = 30
_CHANGES = 20


def measure_replica(services):
    """Measure the configuration replica of a daemon with some services."""
    root = build_tree(services)
    snapshot = settings_pb2.Snapshot(revision=1, root=root)
    data = snapshot.SerializeToString()
    del root, snapshot
    before = _measuring.resident_bytes()
    replica = configuration.Replica()
    handler = request_path.RequestHandler(
        place=_make_place(0),
        own_member=lambda: _make_member(0),
        claim_from_peer=None,
        observe=lambda record: None,
    )
    replica.subscribe(lambda source: handler.reconfigure(source.services))
    load_cpu_s = _measuring.cpu_seconds(
        lambda: replica.load_snapshot(settings_pb2.Snapshot.FromString(data))
    )
    added_bytes = _measuring.resident_bytes() - before
    changes = [
        settings_pb2.LogEntry(
            revision=number + 2,
            change_id=f"c{number}",
            changes=[_make_change(number, services)],
        )
        for number in range(_CHANGES)
    ]
    apply_cpu_s = _measuring.cpu_seconds(
        lambda: [replica.apply_entries((entry,)) for entry in changes]
    )
    return {
        "upstreams": services * UPSTREAMS_PER_SERVICE,
        "snapshot_bytes": len(data),
        "resident_bytes": added_bytes,
        "load_cpu_s": load_cpu_s,
        "change_cpu_s": apply_cpu_s / _CHANGES,
        "change_bytes": changes[0].ByteSize(),
    }


def measure_gossip(members):
    """Measure gossip exchanges between daemons with some members.

    The full member table is sent when a daemon joins or tables differ. Each
    daemon makes an exchange without updates once per second.
    """
    before = _measuring.resident_bytes()
    first, second = _make_gossip(members, 0), _make_gossip(members, 1)
    added_bytes = (_measuring.resident_bytes() - before) / 2
    empty = peer_pb2.GossipMessage(sender=_make_full_message(members).sender)
    # Each update is piggybacked on a limited number of messages; exchange
    # messages until none is left.
    while (idle_message := first.Exchange(empty, None)).members:
        pass
    full_message = first.Exchange(_make_full_message(members), None)
    return {
        "whole_bytes": full_message.ByteSize(),
        "whole_cpu_s": _measuring.cpu_seconds_each(
            lambda: second.Exchange(full_message, None)
        ),
        "idle_bytes": idle_message.ByteSize(),
        "idle_cpu_s": _measuring.cpu_seconds_each(
            lambda: second.Exchange(idle_message, None)
        ),
        "resident_bytes": added_bytes,
    }


def measure_entries(members):
    """Measure the choice of an entry response among some members."""
    member_tuple = tuple(_make_member(number) for number in range(members))
    service = core.EffectiveService(
        name="/team-1/service-1",
        match=core.MatchSettings(),
        routing=core.RoutingSettings(homes=2),
    )
    rng = random.Random(1)
    ranking_cache = entries.EntryRankingCache()
    query = {"service": service, "place": _make_place(1), "rng": rng}
    return {
        "choose_cpu_s": _measuring.cpu_seconds_each(
            lambda: entries.choose_entries(members=member_tuple, **query)
        ),
        # As in a daemon, each query has a new tuple of the same members.
        "choose_kept_cpu_s": _measuring.cpu_seconds_each(
            lambda: ranking_cache.choose(
                members=tuple(list(member_tuple)), **query
            )
        ),
    }


def build_tree(services):
    """Return a settings_pb2.Node whose services are spread over teams."""
    root = settings_pb2.Node()
    for number in range(services):
        team = root.children[f"team-{number % _TEAMS}"]
        fill_service(team.children[f"service-{number}"], number)
    return root


def fill_service(node, number):
    """Write the settings of a service and its backend servers to a node."""
    settings = node.settings
    settings.match.service_header = f"service-{number}"
    settings.kinds["read"].idempotent = True
    settings.kinds["read"].methods.append("GET")
    group = settings.groups["all"]
    for index in range(UPSTREAMS_PER_SERVICE):
        host = number * UPSTREAMS_PER_SERVICE + index
        place = _make_place(host)
        server = group.servers[f"vm-{host}"]
        server.address = f"10.{host >> 16}.{host >> 8 & 255}.{host & 255}:8080"
        server.region = place.region
        server.failure_domain = place.failure_domain
        server.slots = 2


def _make_change(number, services):
    path_number = number * 7 % services
    node = settings_pb2.Node()
    fill_service(node, path_number)
    node.settings.limits.max_queue = 100 + number
    return settings_pb2.Change(
        path=f"/team-{path_number % _TEAMS}/service-{path_number}", node=node
    )


def _make_gossip(members, own_number):
    gossip = membership.Gossip(
        own=_make_member(own_number),
        seeds=(),
        replica=configuration.Replica(),
        rng=random.Random(own_number),
        claim_handler=None,
    )
    gossip.Exchange(_make_full_message(members), None)
    return gossip


@functools.cache
def _make_full_message(members):
    records = []
    for number in range(members):
        member = _make_member(number)
        records.append(
            peer_pb2.MemberRecord(
                daemon_id=member.daemon_id,
                incarnation=member.incarnation,
                state=peer_pb2.ALIVE,
                region=member.place.region,
                failure_domain=member.place.failure_domain,
                caller_address=str(member.caller_address),
                admin_address=str(member.admin_address),
                peer_address=str(member.peer_address),
            )
        )
    return peer_pb2.GossipMessage(
        sender=records[2], members=records, full=True
    )


def _make_member(number):
    host = f"10.200.{number >> 8}.{number & 255}"
    return core.Member(
        daemon_id=f"entry-{number}",
        incarnation=1_796_367_332_663,
        state=core.MemberState.ALIVE,
        place=_make_place(number),
        caller_address=core.Address(host=host, port=8000),
        admin_address=core.Address(host=host, port=8001),
        peer_address=core.Address(host=host, port=8002),
    )


def _make_place(number):
    domain = number % _FAILURE_DOMAINS
    return core.Place(
        region=f"region-{domain % _REGIONS}",
        failure_domain=f"domain-{domain}",
    )


PARTS = {
    "replica": measure_replica,
    "gossip": measure_gossip,
    "entries": measure_entries,
    "node-configuration": _node_parts.measure_configuration,
    "node-servers": _node_parts.measure_servers,
    "node-choice": _node_parts.measure_choice,
    "node-queue": _node_parts.measure_queue,
    "node-roster": _node_parts.measure_roster,
}
