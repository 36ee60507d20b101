"""Tests of the nodes that get the body of a request with home regions."""

import dataclasses
import time
import types

import pytest

from wigeonrouter import core
from wigeonrouter import placement
from wigeonrouter import topology
from wigeonrouter.node import _cluster_state
from wigeonrouter.node import _forwarder
from wigeonrouter.node import _remote_entries
from wigeonrouter.node import _sender
from wigeonrouter.node import conftest
from wigeonrouter.node import messages

_HOSTS = {
    "north": ("192.0.2.1", "192.0.2.2"),
    "south": ("192.0.2.11", "192.0.2.12", "192.0.2.13"),
    "east": ("192.0.2.21",),
}
_SETTINGS = types.SimpleNamespace(
    host="192.0.2.1",
    place=core.Place(region="north", failure_domain="north-a"),
    peer_ports=(7000, 7001),
    caller_address=core.Address(host="192.0.2.1", port=80),
)


@pytest.fixture
def make_cluster_state(route):
    """Return a function that makes a ClusterState with one route."""

    def make(home_regions):
        state = _cluster_state.ClusterState(
            events=conftest.SilentEvents(), on_change=lambda: None
        )
        configuration = topology.Configuration(
            version=1,
            routes=(dataclasses.replace(route, home_regions=home_regions),),
            services={},
            limits=topology.CallerLimits(),
            authentication=topology.Authentication.OPEN,
        )
        records = [
            topology.NodeWritten(region=region, host=host)
            for region, hosts in _HOSTS.items()
            for host in hosts
        ]
        records.append(
            topology.ConfigurationWritten(
                configuration=configuration, revision=1
            )
        )
        state.apply(
            topology.StoreContent(
                records=tuple(records), scope=topology.ContentScope.COMPLETE
            )
        )
        return state

    return make


@pytest.mark.parametrize(
    ("home_regions", "expected"),
    [
        (None, {"south", "east"}),
        ({"east"}, {"east"}),
        ({"north", "east"}, {"east"}),
        ({"north"}, set()),
        ((), set()),
    ],
)
def test_requests_are_passed_on_to_home_regions_only(
    make_cluster_state, route, home_regions, expected
):
    """Guards against a body that a cut-off node sends to another region.

    No node of the own region, which is the caller's, reaches a server.
    """
    sent_to = set()

    def send_to(address, **options):
        sent_to.add(address.host)
        return _sender.Attempt(
            outcome=placement.AttemptOutcome.UNREACHABLE, may_have_run=False
        )

    forwarder = _forwarder.Forwarder(
        settings=_SETTINGS,
        sender=types.SimpleNamespace(send_to=send_to),
        link_monitor=None,
        cluster_state=make_cluster_state(frozenset()),
        peers=lambda: (),
        request_log=types.SimpleNamespace(on_forwarded=lambda *args: None),
    )
    now = time.monotonic()
    context = types.SimpleNamespace(
        service="reads",
        request=None,
        request_id="r-1",
        route=route,
        pending=placement.PendingRequest(
            priority=1,
            idempotent=True,
            arrived=now,
            target_time=now + 1.0,
            deadline=now + 2.0,
            home_regions=(
                None if home_regions is None else frozenset(home_regions)
            ),
        ),
        hand_over=lambda *args: None,
        take_back=lambda **options: None,
    )
    assert forwarder.forward(context, lambda attempt: False) is None
    assert sent_to <= {host for region in expected for host in _HOSTS[region]}
    assert bool(sent_to) is bool(expected)


@pytest.mark.parametrize(
    ("home_regions", "caller_region", "expected"),
    [
        ((), "south", None),
        (("north",), "south", None),
        (("south",), "north", None),
        (("east",), "south", "south"),
        (("east",), "west", "east"),
        (("west",), "", "none"),
    ],
)
def test_callers_of_other_regions_get_entries_of_theirs_or_of_a_home(
    make_cluster_state, home_regions, caller_region, expected
):
    """Guards against a directory that sends bodies where they must not be."""
    entries = _remote_entries.choose(
        messages.EntryQuery(
            host="reads.example",
            place=core.Place(region=caller_region, failure_domain=""),
        ),
        settings=_SETTINGS,
        cluster_state=make_cluster_state(frozenset(home_regions)),
    )
    if expected is None:
        assert entries is None
        return
    hosts = {entry.host for entry in entries}
    assert hosts <= set(_HOSTS.get(expected, ()))
    assert bool(hosts) is (expected in _HOSTS)
