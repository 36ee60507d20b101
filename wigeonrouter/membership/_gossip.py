"""The gossip task: exchanges members, facts and revisions with peers."""

import time

import gevent
from gevent import event
import grpc
from returns import pipeline

from wigeonrouter.membership import _client
from wigeonrouter.membership import _codec
from wigeonrouter.membership import _exchanges
from wigeonrouter.membership import _facts
from wigeonrouter.membership import _schedule
from wigeonrouter.membership import _spread
from wigeonrouter.membership import _table
from wigeonrouter.schema import peer_pb2
from wigeonrouter.schema import peer_pb2_grpc

EXCHANGE_INTERVAL_S = 1.0
# The exchange task is never late by this much unless the process was paused.
PAUSE_S = 2.0
# Whole tables are exchanged at most this often with a peer whose table
# differs although nothing is left to be sent.
FULL_INTERVAL_S = 30.0
REPAIR_INTERVAL_S = 5.0
JOIN_REPAIR_ROUNDS = 300
# Exchanges that hurry, because of news, are at least this far apart.
HURRY_INTERVAL_S = 0.5
ANNOUNCE_PEERS = 16
ANNOUNCE_TIMEOUT_S = 1.0


class Gossip(peer_pb2_grpc.PeerServicer):
    """Owns the member table, the facts and the peer channels."""

    def __init__(
        self,
        *,
        own,
        seeds,
        replica,
        rng,
        claim_handler,
        tls=None,
        clock=time.monotonic,
        wall_clock=time.time,
    ):
        self._table = _table.MemberTable(own=own)
        self._facts = _facts.FactTable()
        self._schedule = _schedule.Schedule(table=self._table, rng=rng)
        self._client = _client.PeerClient(daemon_id=own.daemon_id, tls=tls)
        self._spread = _spread.ConfigSpread(
            table=self._table,
            schedule=self._schedule,
            client=self._client,
            replica=replica,
        )
        self._news = event.Event()
        self._exchanges = _exchanges.Exchanges(
            table=self._table,
            facts=self._facts,
            client=self._client,
            spread=self._spread,
            replica=replica,
            rng=rng,
            clock=clock,
            wall_clock=wall_clock,
            on_news=self._news.set,
        )
        self._seeds = tuple(seeds)
        self._replica = replica
        self._rng = rng
        self._claim_handler = claim_handler
        self._clock = clock
        # A replaced daemon has lost the ids that it claimed.
        self._claimant = f"{own.daemon_id}~{own.instance}"
        self._pause_listeners = []
        self._rounds = 0
        self._last_full = self._last_repair = self._last_seed = 0.0
        self._tasks = []

    @property
    def table(self):
        """The MemberTable."""
        return self._table

    @property
    def facts(self):
        """Tuple of all known ServerFact."""
        return self._facts.facts

    @property
    def joined(self):
        """Whether a peer's whole member table was received."""
        return self._exchanges.joined

    @property
    def rounds(self):
        """Number of times that exchange_once ran."""
        return self._rounds

    @property
    def counts(self):
        """Counter of calls, failures, malformed messages and bytes."""
        return self._client.counts

    def assert_fact(self, *, address, state, source):
        """State a fact about a backend server and spread it at once.

        Args:
          address: IP number and port of the server.
          state: for instance ``draining``.
          source: who says so, for instance ``operator``; a later statement
            of the same source replaces this one.
        Returns:
          The ServerFact.
        """
        fact = self._facts.assert_fact(
            address=str(address),
            state=state,
            source=source,
            now_ms=self._exchanges.now_ms(),
        )
        self._exchanges.notify_facts([fact])
        return fact

    def subscribe_facts(self, listener):
        """Call listener(facts) after changes, with the tuple of all facts."""
        self._exchanges.subscribe_facts(listener)

    def subscribe_pause(self, listener):
        """Call listener(seconds) after this process did not run so long."""
        self._pause_listeners.append(listener)

    def set_ready(self):
        """Let new daemons rely on the revision that this one names."""
        self._exchanges.set_ready()

    def set_seeds(self, seeds):
        """Replace the peer addresses that are tried besides the members."""
        self._seeds = tuple(seeds)

    def renew_channels(self):
        """Connect to peers anew, with the newest certificates."""
        self._client.renew_channels()

    def start(self):
        """Start exchanging."""
        self._spread.start()
        self._tasks = [gevent.spawn(self._run), gevent.spawn(self._hurry)]

    def stop(self):
        """Stop exchanging."""
        gevent.killall(self._tasks)
        self._spread.stop()
        self._client.close()

    def become_ready(self):
        """Tell peers that callers may be sent to this daemon.

        Returns:
          A pair: number of peers that took the message, number asked.
        """
        self._table.become_ready()
        return self._announce()

    def leave(self):
        """Tell peers that this daemon is leaving.

        Returns:
          A pair: number of peers that took the message, number asked.
        """
        self._table.leave()
        return self._announce()

    def push(self, entries):
        """Push entries; see ConfigSpread.push_acknowledged."""
        return self._spread.push_acknowledged(entries)

    def spread(self, entries):
        """Push entries that came from the store in the background."""
        self._spread.spread(entries)

    def claim(self, *, member, request_id):
        """Ask a member for a request id; see peer_pb2.ClaimReply.

        Returns:
          The reply, or None where the member did not answer.
        """
        request = peer_pb2.ClaimRequest(
            request_id=request_id, claimant=self._claimant
        )
        return self._client.call("Claim", member.peer_address, request)

    def ask_revisions(self):
        """Exchange with every known peer.

        Returns:
          Dict from the ids of the peers that answered to pairs (revision,
          whether the peer is ready).
        """
        named = {}

        def ask(peer):
            reply = self._exchanges.exchange(peer)
            if reply is not None:
                named[peer.daemon_id] = reply.revision, reply.ready

        peers = list(self._table.peers)
        while peers:
            batch, peers = peers[:ANNOUNCE_PEERS], peers[ANNOUNCE_PEERS:]
            gevent.joinall([gevent.spawn(ask, peer) for peer in batch])
        return named

    def exchange_once(self):
        """Exchange with the peer whose turn it is, and with lost ones."""
        now = self._clock()
        if not self._exchanges.joined:
            self._join()
        peer = self._schedule.next_peer()
        if peer is not None:
            self._try_peer(peer)
        dead = self._schedule.next_dead(now=now)
        if (
            dead is not None
            and self._exchanges.exchange(dead, full=True) is not None
        ):
            self._schedule.hurry_dead()
        self._try_seed(now)
        self._table.expire(now=self._clock())
        forgotten = self._facts.expire(now_ms=self._exchanges.now_ms())
        if forgotten:
            self._exchanges.notify_facts([])
        self._rounds += 1

    # Servicer methods; gRPC fixes their names.

    def Exchange(self, request, context):
        decoded = _codec.decode_gossip(
            request, now_ms=self._exchanges.now_ms()
        )
        if not pipeline.is_successful(decoded):
            self._reject(context, decoded.failure())
        gossip = decoded.unwrap()
        self._exchanges.absorb(gossip)
        if gossip.revision > self._replica.revision:
            gevent.spawn(
                self._spread.fetch,
                gossip.sender.peer_address,
                revision=gossip.revision,
            )
        reply = self._exchanges.message(
            receiver=gossip.sender.daemon_id, full=gossip.full
        )
        reply.full = gossip.full
        if gossip.facts_parts and gossip.facts_digest != self._facts.digest:
            reply.facts_parts.extend(self._facts.parts)
            reply.facts.extend(self._exchanges.differing(gossip.facts_parts))
        self._client.count("bytes_in", request.ByteSize())
        self._client.count("bytes_out", reply.ByteSize())
        return reply

    def ProbeFor(self, request, context):
        decoded = _codec.decode_address(
            request.target_address, field="target_address"
        )
        if not pipeline.is_successful(decoded):
            self._reject(context, decoded.failure())
        reply = self._exchanges.exchange_address(decoded.unwrap())
        return peer_pb2.ProbeForReply(
            reached=reply is not None
            and reply.sender.daemon_id == request.target_id
        )

    def Push(self, request, context):
        decoded = _codec.decode_push(request)
        if not pipeline.is_successful(decoded):
            self._reject(context, decoded.failure())
        self._client.count("bytes_in", request.ByteSize())
        revision = self._spread.receive(*decoded.unwrap())
        return peer_pb2.PushReply(revision=revision)

    def Fetch(self, request, context):
        yield from self._spread.serve(request.after_revision)

    def Claim(self, request, context):
        return self._claim_handler(request)

    def _run(self):
        while True:
            self.exchange_once()
            interval = EXCHANGE_INTERVAL_S * self._rng.uniform(0.8, 1.2)
            before = self._clock()
            gevent.sleep(interval)
            late = self._clock() - before - interval
            if late > PAUSE_S:
                self._resume(late)

    def _hurry(self):
        while True:
            self._news.wait()
            self._news.clear()
            self._exchanges.exchange_all(self._schedule.push_targets())
            gevent.sleep(HURRY_INTERVAL_S)

    def _resume(self, seconds):
        """Catch up after this process did not run.

        The members did not fail because this daemon did not hear them, and
        they may believe that it has.
        """
        self._table.postpone(seconds)
        self._client.count("pauses")
        for listener in self._pause_listeners:
            listener(seconds)
        self._exchanges.exchange_all(self._schedule.push_targets(), full=True)
        self._news.set()

    def _join(self):
        for address in self._unknown_seeds(all_seeds=True):
            reply = self._exchanges.exchange_address(address, full=True)
            if reply is not None:
                self._exchanges.repair_facts(
                    address, rounds=JOIN_REPAIR_ROUNDS
                )
                return

    def _try_seed(self, now):
        if now - self._last_seed < _schedule.DEAD_RETRY_S:
            return
        self._last_seed = now
        unknown = self._unknown_seeds()
        if unknown:
            self._exchanges.exchange_address(
                self._rng.choice(unknown), full=True
            )
        self._client.keep_only(
            [member.peer_address for member in self._table.members]
        )

    def _unknown_seeds(self, all_seeds=False):
        known = {self._table.own.peer_address}
        if not all_seeds:
            known = {member.peer_address for member in self._table.members}
        return [seed for seed in self._seeds if seed not in known]

    def _try_peer(self, peer):
        started = self._clock()
        full = (
            self._table.settled and started - self._last_full > FULL_INTERVAL_S
        )
        reply = self._exchanges.exchange(peer)
        if reply is None:
            if self._clock() - started < PAUSE_S:
                gevent.spawn(self._probe_indirectly, peer)
            return
        if full and reply.members_digest != self._table.digest:
            self._last_full = started
            self._exchanges.exchange(peer, full=True)
        if (
            reply.facts_digest != self._facts.digest
            and self._facts.settled
            and started - self._last_repair > REPAIR_INTERVAL_S
        ):
            self._last_repair = started
            self._exchanges.repair_facts(peer.peer_address, rounds=1)

    def _probe_indirectly(self, peer):
        request = peer_pb2.ProbeForRequest(
            target_address=str(peer.peer_address), target_id=peer.daemon_id
        )
        probes = [
            gevent.spawn(
                self._client.call,
                "ProbeFor",
                helper.peer_address,
                request,
                timeout=2 * _client.CALL_TIMEOUT_S,
            )
            for helper in self._schedule.helpers(peer.daemon_id)
        ]
        gevent.joinall(probes)
        if not any(probe.value and probe.value.reached for probe in probes):
            self._table.suspect(peer.daemon_id, now=self._clock())

    def _announce(self):
        peers = list(self._table.peers)
        self._rng.shuffle(peers)
        asked = peers[:ANNOUNCE_PEERS]
        told = self._exchanges.exchange_all(asked, timeout=ANNOUNCE_TIMEOUT_S)
        return told, len(asked)

    def _reject(self, context, malformed):
        self._client.count("malformed")
        context.abort(grpc.StatusCode.INVALID_ARGUMENT, str(malformed))
