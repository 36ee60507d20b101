"""Wires the parts of one daemon together and owns their life cycle."""

import random
import time

import gevent
from gevent import pywsgi
from gevent import socket

from wigeonrouter import administration
from wigeonrouter import configuration
from wigeonrouter import core
from wigeonrouter import health
from wigeonrouter import membership
from wigeonrouter import observability
from wigeonrouter import request_path
from wigeonrouter import selection
from wigeonrouter import store as store_api
from wigeonrouter.schema import peer_pb2

_HOUSEKEEPING_INTERVAL_S = 1.0
_DRAIN_POLL_S = 0.05


class _AdminHandler(pywsgi.WSGIHandler):
    """Turns off Nagle's algorithm, which delays small answers by 40 ms."""

    def handle(self):
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().handle()


class Daemon:
    """One wigeonrouterd process."""

    def __init__(self, *, settings, rng=None):
        self._settings = settings
        self._rng = rng or random.Random()
        self._replica = configuration.Replica()
        self._metrics = observability.Metrics()
        self._store = store_api.open_store(
            name=settings.store_adapter,
            address=settings.store_address,
            timeout=settings.store_timeout,
        )
        started_ms = int(time.time() * 1000)
        own = core.Member(
            daemon_id=settings.daemon_id,
            incarnation=started_ms,
            instance=started_ms,
            state=core.MemberState.ALIVE,
            place=settings.place,
            caller_address=settings.caller_address,
            admin_address=settings.admin_address,
            peer_address=settings.peer_address,
        )
        self._gossip = membership.Gossip(
            own=own,
            seeds=settings.seeds,
            replica=self._replica,
            rng=self._rng,
            claims=self._answer_claim,
        )
        self._replication = membership.Replication(
            store=self._store,
            replica=self._replica,
            gossip=self._gossip,
            seeds=settings.seeds,
            rng=self._rng,
            policies=selection.policy_names(),
        )
        self._peer_server = membership.PeerServer(
            address=settings.peer_address, servicer=self._gossip
        )
        self._handler = request_path.RequestHandler(
            place=settings.place,
            own_member=lambda: self._gossip.table.own,
            claim_from_peer=self._claim_from_peer,
            observe=self._metrics.observe,
            announce=lambda *sign: self._signs.announce(*sign),
            rng=self._rng,
        )
        self._signs = health.ServerSigns(
            gossip=self._gossip,
            store=self._store,
            replica=self._replica,
            apply_draining=self._handler.set_draining,
        )
        self._prober = health.Prober(
            place=settings.place,
            daemon_id=settings.daemon_id,
            live_members=lambda: self.table.alive,
            dispatchers=lambda: self._handler.dispatchers,
        )
        self._callers = request_path.CallerServer(
            address=settings.caller_address,
            handler=self._handler,
        )
        self._admin = pywsgi.WSGIServer(
            (settings.admin_address.host, settings.admin_address.port),
            administration.build_app(daemon=self),
            handler_class=_AdminHandler,
            log=None,
        )
        self._replica.subscribe(
            lambda replica: self._handler.reconfigure(replica.services)
        )
        self._tasks = []

    @property
    def settings(self):
        """settings.DaemonSettings."""
        return self._settings

    @property
    def replica(self):
        """configuration.Replica."""
        return self._replica

    @property
    def table(self):
        """membership.MemberTable."""
        return self._gossip.table

    @property
    def gossip(self):
        """membership.Gossip."""
        return self._gossip

    @property
    def metrics(self):
        """observability.Metrics."""
        return self._metrics

    @property
    def rng(self):
        """random.Random of this daemon."""
        return self._rng

    @property
    def ready(self):
        """Whether the newest configuration that can be found is in force."""
        return self._replication.ready

    def start(self):
        """Start all servers and tasks."""
        self._peer_server.start()
        self._admin.start()
        self._callers.start()
        self._gossip.start()
        self._replication.start()
        self._tasks = [
            gevent.spawn(self._housekeep),
            gevent.spawn(self._prober.run),
            gevent.spawn(self._signs.run),
        ]

    def stop(self):
        """Stop gracefully: no request is cut.

        Callers may keep an entry answer for its lifetime, so the daemon
        serves at least as long after it has left the answers.
        """
        self._gossip.leave()
        self._callers.drain()
        gevent.sleep(self._settings.entry_ttl)
        while self._callers.requests_in_progress:
            gevent.sleep(_DRAIN_POLL_S)
        self._callers.stop()
        gevent.killall(self._tasks)
        self._replication.stop()
        self._gossip.stop()
        self._admin.stop(timeout=1)
        self._peer_server.stop(grace=1)
        self._store.close()

    def accept(self, proposal):
        """Accept a change and spread it; see Replication.accept."""
        return self._replication.accept(proposal)

    def drain_server(self, *, address, draining, author):
        """Start or end the drain of a backend server; needs no store.

        Args:
          address: core.Address.
          draining: whether the server leaves or comes back.
          author: name of the operator's token.
        """
        self._gossip.assert_fact(
            address=address,
            state="draining" if draining else "active",
            source="operator",
        )

    def _housekeep(self):
        while True:
            gevent.sleep(_HOUSEKEEPING_INTERVAL_S)
            self._handler.close_idle_connections()

    def _claim_from_peer(self, parsed, request_id):
        member = self.table.find(parsed.daemon_id)
        if member is None:
            return None
        return self._gossip.claim(member=member, request_id=request_id)

    def _answer_claim(self, request):
        known = self._handler.ids.answer_claim(
            request.request_id, request.claimant
        )
        return peer_pb2.ClaimReply(seen=known is not None, outcome=known or "")
