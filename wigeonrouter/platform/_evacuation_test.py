"""Tests of evacuations that the store lists and that hubs pass on."""

import dataclasses
import time

import gevent
from gevent import server as gevent_server
import pytest

from wigeonrouter import core
from wigeonrouter import http1
from wigeonrouter import store
from wigeonrouter import topology
from wigeonrouter.node import _cluster_state
from wigeonrouter.node import _sender
from wigeonrouter.node import _store_cache
from wigeonrouter.node import conftest
from wigeonrouter.platform import _feed
from wigeonrouter.platform import _http

WAIT_S = 5.0
DOMAIN = "north-a"
ITEM = store.Item(key=f"op/evacuate/{DOMAIN}", value=b"{}", version=7)
SERVER = topology.Registration(
    instance="server-0",
    service="reads",
    address=core.Address(host="192.0.2.1", port=80),
    place=core.Place(region="north", failure_domain=DOMAIN),
    slots=2,
    state=topology.RegistrationState.READY,
)


@pytest.fixture
def cluster_state():
    """Return a ClusterState without content."""
    return _cluster_state.ClusterState(
        events=conftest.SilentEvents(), on_change=lambda: None
    )


@pytest.fixture
def make_cache(cluster_state):
    """Return a function that makes a StoreCache.

    Args:
      applies: whether the ClusterState gets its items.
    """
    feed = _feed.StoreFeed(client=None, regions={DOMAIN: "north"})

    def make(*, applies):
        def apply(items, scope):
            if applies:
                cluster_state.apply(feed.decode(items, scope=scope))

        return _store_cache.StoreCache(apply=apply)

    return make


def test_evacuation_passes_through_a_hub_that_does_not_know_it(
    make_cache, cluster_state
):
    """Guards against evacuations that a hub of an earlier build drops.

    It caches and passes on all items, and lists them to a node that joins.
    """
    hub, follower = make_cache(applies=False), make_cache(applies=True)
    hub.replace_all([ITEM], store.Position(era=1, revision=7))
    follower.apply_update(hub.update_since(follower.position))
    assert cluster_state.evacuated == {DOMAIN}
    removal = dataclasses.replace(ITEM, value=None, version=9)
    follower.apply_update(
        _store_cache.encode_update(
            items=[removal], position=store.Position(era=1, revision=9)
        )
    )
    assert not cluster_state.evacuated


@pytest.mark.parametrize("era", [1, 2], ids=["relisted", "restored"])
@pytest.mark.parametrize("items", [(), (ITEM,)], ids=["without", "with"])
def test_listing_replaces_the_evacuations(
    make_cache, cluster_state, era, items
):
    """Guards against an evacuation that outlasts the operator's change.

    The node missed it while it had no hub, or the store was restored.
    """
    cache = make_cache(applies=True)
    cache.replace_all([ITEM], store.Position(era=1, revision=7))
    cache.replace_all(list(items), store.Position(era=era, revision=8))
    cluster_state.directory.put(SERVER, 0.0)
    assert bool(cluster_state.evacuated) is bool(items)
    (server,) = cluster_state.servers
    assert server.evacuated is bool(items)
    assert (server.returned_at is None) is bool(items)


def test_request_is_not_sent_once_its_server_is_evacuated():
    """Guards against a grant whose evacuation arrives before it is sent.

    The connection is made first, so the server sees it, but no request.
    """
    received = []

    def serve(sock, _):
        received.append(sock.recv(100))

    listener = gevent_server.StreamServer(("127.0.0.1", 0), serve)
    listener.start()
    registration = dataclasses.replace(
        SERVER,
        address=core.Address(host="127.0.0.1", port=listener.server_port),
    )
    request = http1.HttpRequest(
        method=b"GET",
        target=b"/",
        headers=((b"host", b"reads.example"),),
        body=b"",
        keep_alive=True,
        reservation=http1.BufferBudget(limit=1000).reserve(),
    )
    attempt = _sender.Sender(
        pool=http1.ConnectionPool(max_idle=1.0), codec=_http.HttpCodec()
    ).send(
        request=request,
        request_id="r-1",
        registration=registration,
        idempotent=False,
        response_deadline=time.monotonic() + WAIT_S,
        may_send=lambda: False,
    )
    with gevent.Timeout(WAIT_S):
        while not received:
            gevent.sleep(0.01)
    listener.stop()
    assert attempt.withdrawn and not attempt.may_have_run
    assert received == [b""]
