"""Daemons without request path in one process, for tests and benchmarks."""

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
class InProcessDaemon:
    """Replica, gossip and replication of one daemon."""

    replica: configuration.Replica
    gossip: membership.Gossip
    replication: membership.Replication
    server: membership.PeerServer
    store: store_api.Store
    # Ids of the daemons whose calls this daemon drops.
    dropped: set

    @property
    def daemon_id(self):
        return self.gossip.table.own.daemon_id

    def stop(self):
        self.replication.stop()
        self.gossip.stop()
        self.server.stop(grace=0)
        self.store.close()


class InProcessDaemons:
    """Starts daemons and stops them."""

    def __init__(self, store_port):
        self._store_port = store_port
        # Each gRPC server occupies a thread of gevent's pool. With the
        # default of ten threads, all calls in the process time out. A real
        # daemon has only one server.
        gevent.get_hub().threadpool.maxsize = _MAX_THREADS
        self._daemons = []

    def start(self, *, region="north", domain="a", seeds=(), ready=True):
        """Start a daemon and wait until it is ready.

        Args:
          region: its region.
          domain: suffix of its failure domain, after the region.
          seeds: peer addresses.
          ready: whether to wait.
        Returns:
          InProcessDaemon.
        """
        index = len(self._daemons)
        (port,) = _ports.free_ports(1)
        address = core.Address(host="127.0.0.1", port=port)
        own_member = core.Member(
            daemon_id=f"node-{index}",
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
        rng = random.Random(index)
        gossip = membership.Gossip(
            own=own_member,
            seeds=seeds,
            replica=replica,
            rng=rng,
            claim_handler=lambda request: None,
        )
        dropped = set()
        daemon = InProcessDaemon(
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
        self._daemons.append(daemon)
        daemon.server.start()
        gossip.start()
        daemon.replication.start()
        if ready:
            wait_for(lambda: daemon.replication.ready)
        return daemon

    def start_fleet(self, places):
        """Start one daemon for each (region, failure domain).

        Args:
          places: pairs of arguments of start().
        Returns:
          A list of InProcessDaemon that all see each other as alive.
        """
        daemons = []
        for region, domain in places:
            seeds = (
                [daemons[0].gossip.table.own.peer_address] if daemons else []
            )
            daemons.append(
                self.start(region=region, domain=domain, seeds=seeds)
            )
        wait_for(
            lambda: all(
                len(daemon.gossip.table.alive) == len(daemons)
                for daemon in daemons
            )
        )
        return daemons

    def stop(self):
        for daemon in self._daemons:
            daemon.stop()


def wait_for(condition, *, seconds=30.0):
    """Wait until a function returns true; fail after some seconds.

    The timeout only limits how long a failing test runs.
    """
    deadline = time.monotonic() + seconds
    while not condition():
        assert time.monotonic() < deadline, "condition was not met"
        gevent.sleep(0.02)
