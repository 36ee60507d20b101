"""Measures resource use of a node by number of routes, servers and peers.

Every function takes one size and returns a dict of numbers.
"""

import json
import random

import gevent

from wigeonrouter import core
from wigeonrouter import placement
from wigeonrouter import store
from wigeonrouter import topology
from wigeonrouter.bench import _measuring
from wigeonrouter.node import _cluster_state
from wigeonrouter.node import _hub
from wigeonrouter.node import _roster
from wigeonrouter.node import _store_cache
from wigeonrouter.platform import testing
from wigeonrouter.schema import node_pb2

_ROUTES_PER_SERVICE = 2
_SERVICE_TIME_S = 0.16
_REGION_BY_FAILURE_DOMAIN = {
    f"domain-{number}": f"region-{number % 8}" for number in range(30)
}


class _DiscardedEvents:
    """Event sink that discards all events."""

    def event(self, name, /, **fields):
        """Discard an event."""

    def notice(self, name, /, **fields):
        """Discard an event."""


def measure_configuration(services):
    """Measure how a node applies the configuration of some services."""
    value = json.dumps(
        testing.render_configuration(_make_configuration(services))
    ).encode()
    item = store.Item(
        key=testing.CONFIGURATION_KEY, value=value, version=services
    )
    update = _store_cache.encode_update(
        items=[item], position=store.Position(revision=services)
    )
    feed = testing.make_feed(_REGION_BY_FAILURE_DOMAIN)
    cluster_state = _cluster_state.ClusterState(
        events=_DiscardedEvents(), on_change=lambda: None
    )

    def apply_version():
        items, _ = _store_cache.decode_update(update)
        cluster_state.apply(
            feed.decode(items, scope=topology.ContentScope.CHANGES)
        )

    before = _measuring.resident_bytes()
    apply_cpu_s = _measuring.cpu_seconds(apply_version)
    return {
        "routes": services * _ROUTES_PER_SERVICE,
        "document_bytes": len(value),
        "update_bytes": update.ByteSize(),
        "take_cpu_s": apply_cpu_s,
        "resident_bytes": _measuring.resident_bytes() - before,
    }


def measure_servers(servers):
    """Measure how a node loads the registrations of some servers."""
    items = [_registration_item(number) for number in range(servers)]
    update = _store_cache.encode_update(
        items=items, position=store.Position(revision=servers), complete=True
    )
    single_update = _store_cache.encode_update(
        items=items[:1], position=store.Position(revision=servers + 1)
    )
    feed = testing.make_feed(_REGION_BY_FAILURE_DOMAIN)
    cluster_state = _cluster_state.ClusterState(
        events=_DiscardedEvents(), on_change=lambda: None
    )
    store_cache = _store_cache.StoreCache(
        apply=lambda items, scope: cluster_state.apply(
            feed.decode(items, scope=scope)
        )
    )
    before = _measuring.resident_bytes()
    load = _measuring.cpu_seconds(lambda: store_cache.apply_update(update))
    return {
        "update_bytes": update.ByteSize(),
        "one_change_bytes": single_update.ByteSize(),
        "load_cpu_s": load,
        "resident_bytes": _measuring.resident_bytes() - before,
    }


def measure_choice(servers):
    """Measure one selection among servers of a service in the own region."""
    rng = random.Random(1)
    server_views = [
        _make_server_view(number, rng) for number in range(servers)
    ]
    pending_request = _make_pending_request(0)

    def choose():
        options = {
            "request": pending_request,
            "service_time": _SERVICE_TIME_S,
            "mean_slowdown": 1.75,
            "now": 0.0,
        }
        sampled = placement.sample_views(
            server_views, request=pending_request, now=0.0, rng=rng
        )
        placement.probe_candidates(sampled, max_servers=4, **options)
        placement.choose(sampled, utilization=0.5, **options)

    return {"cpu_s": _measuring.cpu_seconds_each(choose)}


def measure_queue(queued):
    """Measure adding and removing one request of a queue of some length."""
    queue = placement.RequestQueue()
    for number in range(queued):
        queue.add(number, _make_pending_request(number), _SERVICE_TIME_S)

    def pass_through():
        pending_request = _make_pending_request(0)
        queue.count_ahead(pending_request, _SERVICE_TIME_S, 0.0)
        queue.add("new", pending_request, _SERVICE_TIME_S)
        queue.head(0.0)
        queue.count_late(0.0)
        queue.remove("new")

    return {"cpu_s": _measuring.cpu_seconds_each(pass_through)}


def measure_roster(nodes):
    """Measure the roster that a hub sends to some followers."""
    states = [_make_node_state(number) for number in range(nodes)]
    hub = _hub.Hub(
        store_cache=None,
        own_state=lambda: states[0],
        on_roster=lambda roster: None,
        expected_members=states,
    )
    before = hub.roster()
    after = before | {states[1].host: _make_node_state(1, ready=False)}
    change = _roster.find_change(before, after)
    gevent.sleep(0)
    return {
        "roster_bytes": _roster.to_message(before).ByteSize(),
        "change_bytes": change.ByteSize(),
        "state_bytes": node_pb2.PeerMessage(state=states[0]).ByteSize(),
        "change_cpu_s": _measuring.cpu_seconds_each(
            lambda: _roster.find_change(hub.roster(), after)
        ),
        "apply_cpu_s": _measuring.cpu_seconds_each(
            lambda: _roster.apply_change(before, change)
        ),
    }


def _make_configuration(services):
    names = [f"service-{number}" for number in range(services)]
    return topology.Configuration(
        version=services,
        routes=tuple(
            _make_route(name, number)
            for name in names
            for number in range(_ROUTES_PER_SERVICE)
        ),
        services={
            name: topology.ServiceSettings(
                name=name, health_path="/health", max_connections=250
            )
            for name in names
        },
        limits=topology.CallerLimits(),
        authentication=topology.Authentication.OPEN,
    )


def _make_route(service, number):
    return topology.Route(
        name=f"route-{service}-{number}",
        host=f"{service}.example",
        prefix=f"/part-{number}/",
        shares=(topology.TrafficShare(service=service, weight=1),),
        idempotent=True,
        timeout=2.0,
        target_latency=0.4,
        priority=1,
        max_attempts=3,
    )


def _registration_item(number):
    instance = f"i-{number:010x}"
    document = testing.render_registration(
        topology.Registration(
            instance=instance,
            service=f"service-{number // 9}",
            address=core.Address(
                host=f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}",
                port=8080,
            ),
            place=core.Place(
                region="", failure_domain=f"domain-{number % 30}"
            ),
            slots=2,
            state=topology.RegistrationState.READY,
            started_ms=1_790_000_000_000 + number,
            sequence=number,
        )
    )
    return store.Item(
        key=testing.server_key(instance),
        value=json.dumps(document).encode(),
        version=number + 1,
    )


def _make_pending_request(number):
    """Return a PendingRequest; every second one is late at time 0."""
    target_time = 0.4 if number % 2 else -0.4
    return placement.PendingRequest(
        priority=number % 4,
        idempotent=True,
        arrived=0.0,
        target_time=target_time + 0.001 * number,
        deadline=2.0 + 0.001 * number,
    )


def _make_server_view(number, rng):
    return placement.ServerView(
        instance=f"i-{number}",
        locality=placement.Locality.REGION,
        slots=2,
        report=placement.LoadReport(
            running=rng.randrange(2),
            queued=0,
            slots=2,
            slowdown=rng.choice((1.0, 1.0, 1.0, 4.0)),
            received=-rng.uniform(0, 0.5),
            own_in_flight=0,
        ),
    )


def _make_node_state(number, *, ready=True):
    return node_pb2.NodeState(
        host=f"10.1.{number >> 8}.{number & 255}",
        caller_address=f"10.1.{number >> 8}.{number & 255}:8548",
        failure_domain=f"domain-{number % 4}",
        ready=ready,
        capacity_millicores=860,
    )
