"""Gossip with peers: members, facts and configuration revisions."""

import time

import gevent
from gevent import event
import grpc
from returns import pipeline

from wigeonrouter.membership import _client
from wigeonrouter.membership import _codec
from wigeonrouter.membership import _dissemination
from wigeonrouter.membership import _exchanges
from wigeonrouter.membership import _facts
from wigeonrouter.membership import _schedule
from wigeonrouter.membership import _table
from wigeonrouter.schema import peer_pb2
from wigeonrouter.schema import peer_pb2_grpc

EXCHANGE_INTERVAL_S = 1.0
# The exchange task overruns its interval by this much only if the whole
# process was paused.
PAUSE_THRESHOLD_S = 2.0
# Minimum time between exchanges of full member tables, which repair tables
# that differ although no update is pending.
FULL_EXCHANGE_INTERVAL_S = 30.0
# Minimum time between anti-entropy repairs of facts.
FACT_REPAIR_INTERVAL_S = 5.0
MAX_JOIN_REPAIR_ROUNDS = 300
# Minimum time between exchanges that are triggered by a change instead of the
# periodic interval.
EAGER_EXCHANGE_INTERVAL_S = 0.5
# Number of peers that an announcement or a query contacts concurrently.
ANNOUNCE_FANOUT = 16
ANNOUNCE_TIMEOUT_S = 1.0


class Gossip(peer_pb2_grpc.PeerServicer):
    """The peer service and the tasks that exchange state with peers.

    Owns the member table, the facts and the peer channels.

    Args:
      own: core.Member, the record of this daemon.
      seeds: peer addresses, core.Address, to join through.
      replica: configuration.Replica.
      rng: random.Random.
      claim_handler: function from a peer_pb2.ClaimRequest to its ClaimReply.
      tls: PeerTls, or None for unencrypted connections.
      clock: monotonic clock, seconds.
      wall_clock: Unix time, seconds.
    """

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
        self._dissemination = _dissemination.ConfigDissemination(
            table=self._table,
            schedule=self._schedule,
            client=self._client,
            replica=replica,
        )
        self._change_event = event.Event()
        self._exchanges = _exchanges.Exchanges(
            table=self._table,
            facts=self._facts,
            client=self._client,
            dissemination=self._dissemination,
            replica=replica,
            rng=rng,
            clock=clock,
            wall_clock=wall_clock,
            on_change=self._change_event.set,
        )
        self._seeds = tuple(seeds)
        self._replica = replica
        self._rng = rng
        self._claim_handler = claim_handler
        self._clock = clock
        # The instance distinguishes this process from a predecessor with the
        # same id, whose claims of request ids are lost.
        self._claimant = f"{own.daemon_id}~{own.instance}"
        self._pause_listeners = []
        self._rounds = 0
        self._last_full_exchange = self._last_fact_repair = (
            self._last_seed_exchange
        ) = 0.0
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
        """Whether a peer's full member table was received."""
        return self._exchanges.joined

    @property
    def rounds(self):
        """Number of completed calls of exchange_once."""
        return self._rounds

    @property
    def counts(self):
        """Counter of calls, failed calls, malformed messages and bytes."""
        return self._client.counts

    def assert_fact(self, *, address, state, source):
        """Set a fact about a backend server and send it to peers at once.

        Args:
          address: IP address and port of the server.
          state: state of the server, for instance ``draining``.
          source: origin of the statement, for instance ``operator``; a later
            fact of the same source replaces this one.
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
        """Call listener(facts) with the tuple of all facts after changes."""
        self._exchanges.subscribe_facts(listener)

    def subscribe_pause(self, listener):
        """Call listener(seconds) after each pause of this process."""
        self._pause_listeners.append(listener)

    def set_ready(self):
        """Mark this daemon as ready, so that joiners rely on its revision."""
        self._exchanges.set_ready()

    def set_seeds(self, seeds):
        """Replace the seeds, addresses that are tried besides the members."""
        self._seeds = tuple(seeds)

    def renew_channels(self):
        """Open new channels to peers, with the newest certificates."""
        self._client.renew_channels()

    def start(self):
        """Start the gossip tasks."""
        self._dissemination.start()
        self._tasks = [
            gevent.spawn(self._run),
            gevent.spawn(self._exchange_on_change),
        ]

    def stop(self):
        """Stop the gossip tasks and close the channels."""
        gevent.killall(self._tasks)
        self._dissemination.stop()
        self._client.close()

    def become_ready(self):
        """Announce to peers that this daemon accepts callers.

        Returns:
          A pair: number of peers notified, number of peers contacted.
        """
        self._table.become_ready()
        return self._announce()

    def leave(self):
        """Announce to peers that this daemon is leaving.

        Returns:
          A pair: number of peers notified, number of peers contacted.
        """
        self._table.leave()
        return self._announce()

    def push(self, entries):
        """Push entries; see ConfigDissemination.push_until_acknowledged."""
        return self._dissemination.push_until_acknowledged(entries)

    def disseminate(self, entries):
        """Push entries from the store to some peers in the background."""
        self._dissemination.disseminate(entries)

    def claim(self, *, member, request_id):
        """Claim a request id from a member; see peer_pb2.ClaimReply.

        Returns:
          The reply, or None where the member did not respond.
        """
        request = peer_pb2.ClaimRequest(
            request_id=request_id, claimant=self._claimant
        )
        return self._client.call("Claim", member.peer_address, request)

    def query_revisions(self):
        """Exchange with every known peer.

        Returns:
          Dict from the ids of the peers that responded to pairs (revision,
          whether the peer is ready).
        """
        revisions = {}

        def query(peer):
            reply = self._exchanges.exchange(peer)
            if reply is not None:
                revisions[peer.daemon_id] = reply.revision, reply.ready

        peers = list(self._table.peers)
        while peers:
            batch, peers = peers[:ANNOUNCE_FANOUT], peers[ANNOUNCE_FANOUT:]
            gevent.joinall([gevent.spawn(query, peer) for peer in batch])
        return revisions

    def exchange_once(self):
        """Run one gossip round.

        Exchanges with the next peer and, where due, with a dead member and a
        seed; then expires members and facts.
        """
        now = self._clock()
        if not self._exchanges.joined:
            self._join()
        peer = self._schedule.next_peer()
        if peer is not None:
            self._exchange_with(peer)
        dead = self._schedule.next_dead_member(now=now)
        if (
            dead is not None
            and self._exchanges.exchange(dead, full=True) is not None
        ):
            self._schedule.retry_dead_now()
        self._exchange_with_seed(now)
        self._table.expire(now=self._clock())
        expired_facts = self._facts.expire(now_ms=self._exchanges.now_ms())
        if expired_facts:
            self._exchanges.notify_facts([])
        self._rounds += 1

    # Servicer methods; their names are those of the gRPC service.

    def Exchange(self, request, context):
        decoded = _codec.decode_gossip(
            request, now_ms=self._exchanges.now_ms()
        )
        if not pipeline.is_successful(decoded):
            self._reject(context, decoded.failure())
        gossip = decoded.unwrap()
        self._exchanges.apply_gossip(gossip)
        if gossip.revision > self._replica.revision:
            gevent.spawn(
                self._dissemination.fetch,
                gossip.sender.peer_address,
                revision=gossip.revision,
            )
        reply = self._exchanges.build_message(
            receiver=gossip.sender.daemon_id, full=gossip.full
        )
        reply.full = gossip.full
        if gossip.facts_parts and gossip.facts_digest != self._facts.digest:
            reply.facts_parts.extend(self._facts.bucket_digests)
            reply.facts.extend(
                self._exchanges.differing_facts(gossip.facts_parts)
            )
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
        revision = self._dissemination.receive_push(*decoded.unwrap())
        return peer_pb2.PushReply(revision=revision)

    def Fetch(self, request, context):
        yield from self._dissemination.serve_fetch(request.after_revision)

    def Claim(self, request, context):
        return self._claim_handler(request)

    def _run(self):
        while True:
            self.exchange_once()
            interval = EXCHANGE_INTERVAL_S * self._rng.uniform(0.8, 1.2)
            before = self._clock()
            gevent.sleep(interval)
            overrun = self._clock() - before - interval
            if overrun > PAUSE_THRESHOLD_S:
                self._recover_from_pause(overrun)

    def _exchange_on_change(self):
        """Exchange with some peers as soon as an urgent change is pending."""
        while True:
            self._change_event.wait()
            self._change_event.clear()
            self._exchanges.exchange_all(self._schedule.push_targets())
            gevent.sleep(EAGER_EXCHANGE_INTERVAL_S)

    def _recover_from_pause(self, seconds):
        """Resynchronise after a pause of this process.

        Deadlines are extended, because the silence of the members during the
        pause is no failure of theirs. Full exchanges show whether they
        suspect this daemon, which it then refutes.
        """
        self._table.extend_deadlines(seconds)
        self._client.count("pauses")
        for listener in self._pause_listeners:
            listener(seconds)
        self._exchanges.exchange_all(self._schedule.push_targets(), full=True)
        self._change_event.set()

    def _join(self):
        """Fetch the member table and the facts from the first usable seed."""
        for address in self._unknown_seeds(all_seeds=True):
            reply = self._exchanges.exchange_address(address, full=True)
            if reply is not None:
                self._exchanges.repair_facts(
                    address, rounds=MAX_JOIN_REPAIR_ROUNDS
                )
                return

    def _exchange_with_seed(self, now):
        """Contact a seed that is not a known member, to heal partitions."""
        if now - self._last_seed_exchange < _schedule.DEAD_RETRY_INTERVAL_S:
            return
        self._last_seed_exchange = now
        unknown = self._unknown_seeds()
        if unknown:
            self._exchanges.exchange_address(
                self._rng.choice(unknown), full=True
            )
        self._client.keep_only(
            [member.peer_address for member in self._table.members]
        )

    def _unknown_seeds(self, all_seeds=False):
        """Return the seeds that are not addresses of known members.

        Args:
          all_seeds: whether to leave out this daemon's own address only.
        """
        known = {self._table.own.peer_address}
        if not all_seeds:
            known = {member.peer_address for member in self._table.members}
        return [seed for seed in self._seeds if seed not in known]

    def _exchange_with(self, peer):
        """Exchange with a peer and repair what differs, or probe it."""
        started = self._clock()
        full_is_due = (
            self._table.all_updates_sent
            and started - self._last_full_exchange > FULL_EXCHANGE_INTERVAL_S
        )
        reply = self._exchanges.exchange(peer)
        if reply is None:
            # A call that spans a pause of this process says nothing about the
            # peer.
            if self._clock() - started < PAUSE_THRESHOLD_S:
                gevent.spawn(self._probe_indirectly, peer)
            return
        if full_is_due and reply.members_digest != self._table.digest:
            self._last_full_exchange = started
            self._exchanges.exchange(peer, full=True)
        if (
            reply.facts_digest != self._facts.digest
            and self._facts.all_updates_sent
            and started - self._last_fact_repair > FACT_REPAIR_INTERVAL_S
        ):
            self._last_fact_repair = started
            self._exchanges.repair_facts(peer.peer_address, rounds=1)

    def _probe_indirectly(self, peer):
        """Suspect a peer unless another member reaches it."""
        request = peer_pb2.ProbeForRequest(
            target_address=str(peer.peer_address), target_id=peer.daemon_id
        )
        probes = [
            gevent.spawn(
                self._client.call,
                "ProbeFor",
                prober.peer_address,
                request,
                timeout=2 * _client.CALL_TIMEOUT_S,
            )
            for prober in self._schedule.indirect_probers(peer.daemon_id)
        ]
        gevent.joinall(probes)
        if not any(probe.value and probe.value.reached for probe in probes):
            self._table.suspect(peer.daemon_id, now=self._clock())

    def _announce(self):
        peers = list(self._table.peers)
        self._rng.shuffle(peers)
        contacted = peers[:ANNOUNCE_FANOUT]
        notified = self._exchanges.exchange_all(
            contacted, timeout=ANNOUNCE_TIMEOUT_S
        )
        return notified, len(contacted)

    def _reject(self, context, malformed):
        self._client.count("malformed")
        context.abort(grpc.StatusCode.INVALID_ARGUMENT, str(malformed))
