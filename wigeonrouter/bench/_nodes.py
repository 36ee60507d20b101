"""Daemons in one process, without request path, for tests and measurements."""

import dataclasses
import random
import time

import gevent

from wigeonrouter import configuration
from wigeonrouter import core
from wigeonrouter import membership
from wigeonrouter import store as store_api
from wigeonrouter.bench import _ports

_MAX_THREADS = 256


@dataclasses.dataclass(kw_only=True)
class Node:
    """One daemon's replica, gossip and replication."""

    replica: configuration.Replica
    gossip: membership.Gossip
    replication: membership.Replication
    server: membership.PeerServer
    store: store_api.Store
    # Ids of the daemons whose calls are dropped.
    dropped: set

    @property
    def daemon_id(self):
        return self.gossip.table.own.daemon_id

    def stop(self):
        self.replication.stop()
        self.gossip.stop()
        self.server.stop(grace=0)
        self.store.close()


class Nodes:
    """Starts nodes and ends them."""

    def __init__(self, store_port):
        self._store_port = store_port
        # Each gRPC server occupies a thread of gevent's pool. With ten, all
        # calls in the process time out; a daemon has only one server.
        gevent.get_hub().threadpool.maxsize = _MAX_THREADS
        self._nodes = []

    def start(self, *, region="north", domain="a", seeds=(), ready=True):
        """Start a node and wait until it is ready."""
        number = len(self._nodes)
        (port,) = _ports.free_ports(1)
        address = core.Address(host="127.0.0.1", port=port)
        own = core.Member(
            daemon_id=f"node-{number}",
            incarnation=int(time.time() * 1000),
            state=core.MemberState.ALIVE,
            place=core.Place(
                region=region, failure_domain=f"{region}-{domain}"
            ),
            caller_address=address,
            admin_address=address,
            peer_address=address,
        )
        store = store_api.open_store(
            name="tcp",
            address=core.Address(host="127.0.0.1", port=self._store_port),
            timeout=0.3,
        )
        replica = configuration.Replica()
        rng = random.Random(number)
        gossip = membership.Gossip(
            own=own,
            seeds=seeds,
            replica=replica,
            rng=rng,
            claim_handler=lambda request: None,
        )
        dropped = set()
        node = Node(
            replica=replica,
            gossip=gossip,
            replication=membership.Replication(
                store=store,
                replica=replica,
                gossip=gossip,
                seeds=seeds,
                rng=rng,
            ),
            server=membership.PeerServer(
                address=address, servicer=gossip, dropped=dropped
            ),
            store=store,
            dropped=dropped,
        )
        self._nodes.append(node)
        node.server.start()
        gossip.start()
        node.replication.start()
        if ready:
            wait_for(lambda: node.replication.ready)
        return node

    def start_fleet(self, places):
        """Start one node at each (region, failure domain)."""
        nodes = []
        for region, domain in places:
            seeds = [nodes[0].gossip.table.own.peer_address] if nodes else []
            nodes.append(self.start(region=region, domain=domain, seeds=seeds))
        wait_for(
            lambda: all(
                len(node.gossip.table.alive) == len(nodes) for node in nodes
            )
        )
        return nodes

    def stop(self):
        for node in self._nodes:
            node.stop()


def wait_for(condition, *, seconds=30.0):
    """Wait for a condition.

    The time only bounds a failing test; no verdict depends on it.
    """
    ends = time.monotonic() + seconds
    while not condition():
        assert time.monotonic() < ends, "condition was not met"
        gevent.sleep(0.02)
