"""Exchanges of members, facts and revision numbers with one peer."""

import gevent
from returns import pipeline

from wigeonrouter.membership import _codec
from wigeonrouter.schema import peer_pb2


class Exchanges:
    """Builds the gossip messages of one daemon and applies received ones.

    Args:
      table: MemberTable.
      facts: FactTable.
      client: PeerClient.
      dissemination: ConfigDissemination.
      replica: configuration.Replica.
      rng: random.Random.
      clock: monotonic clock, seconds.
      wall_clock: Unix time, seconds.
      on_change: function that is called after an urgent change, to trigger an
        eager exchange.
    """

    def __init__(
        self,
        *,
        table,
        facts,
        client,
        dissemination,
        replica,
        rng,
        clock,
        wall_clock,
        on_change,
    ):
        self._table = table
        self._facts = facts
        self._client = client
        self._dissemination = dissemination
        self._replica = replica
        self._rng = rng
        self._clock = clock
        self._wall_clock = wall_clock
        self._on_change = on_change
        self._fact_listeners = []
        self._joined = self._ready = False

    @property
    def joined(self):
        """Whether a peer's full member table was received."""
        return self._joined

    def set_ready(self):
        """Mark this daemon as ready, so that joiners rely on its revision."""
        self._ready = True

    def subscribe_facts(self, listener):
        """Call listener(facts) with the tuple of all facts after changes."""
        self._fact_listeners.append(listener)

    def now_ms(self):
        """Return milliseconds since the epoch."""
        return int(self._wall_clock() * 1000)

    def exchange_all(self, peers, *, full=False, timeout=None):
        """Exchange with several peers concurrently.

        Args:
          peers: an iterable of core.Member.
          full: whether to send full member tables.
          timeout: seconds, or None to wait for every call.
        Returns:
          The number of peers that responded.
        """
        tasks = [gevent.spawn(self.exchange, p, full=full) for p in peers]
        gevent.joinall(tasks, timeout=timeout)
        return sum(task.value is not None for task in tasks)

    def exchange(self, peer, *, full=False):
        """Exchange with a member; see exchange_address.

        A reply from another daemon, which was assigned the address in the
        meantime, counts as no reply.
        """
        reply = self.exchange_address(
            peer.peer_address, receiver=peer.daemon_id, full=full
        )
        if reply is None or reply.sender.daemon_id != peer.daemon_id:
            return None
        return reply

    def exchange_address(
        self,
        address,
        *,
        receiver=None,
        full=False,
        send_buckets=False,
        facts=(),
    ):
        """Exchange with an address and apply the reply.

        Args:
          address: core.Address of the peer.
          receiver: id of the peer, if known.
          full: whether to send the full member table.
          send_buckets: whether to send the bucket digests of the facts.
          facts: sequence of peer_pb2.ServerFact to send besides the pending
            ones.
        Returns:
          The decoded reply, or None without a reply or for a malformed one.
        """
        request = self.build_message(receiver=receiver, full=full)
        request.facts.extend(facts)
        if send_buckets:
            request.facts_parts.extend(self._facts.bucket_digests)
        reply = self._client.call("Exchange", address, request)
        if reply is None:
            return None
        decoded = _codec.decode_gossip(reply, now_ms=self.now_ms())
        if not pipeline.is_successful(decoded):
            self._client.count("malformed")
            return None
        gossip = decoded.unwrap()
        self.apply_gossip(gossip)
        if gossip.revision > self._replica.revision:
            self._dissemination.fetch(address, revision=gossip.revision)
        return gossip

    def build_message(self, *, receiver, full):
        """Return the peer_pb2.GossipMessage to send to a daemon.

        Args:
          receiver: id of the receiving daemon, or None.
          full: whether to send the full member table, not only updates.
        """
        if full:
            members = (self._table.own, *self._table.peers)
            known = self._table.find(receiver)
            if known is not None and known not in members:
                members += (known,)
        else:
            members = self._table.take_updates(receiver=receiver)
        facts = self._facts.take_updates(
            max_sends=self._table.retransmit_limit
        )
        return peer_pb2.GossipMessage(
            sender=_codec.member_to_message(self._table.own),
            revision=self._replica.revision,
            members=map(_codec.member_to_message, members),
            facts=map(_codec.fact_to_message, facts),
            facts_digest=self._facts.digest,
            members_digest=self._table.digest,
            full=full,
            ready=self._ready,
        )

    def apply_gossip(self, gossip):
        """Apply a decoded message to the member table and the facts."""
        now = self._clock()
        own_before = self._table.own
        leaving_before = self._table.leaving_ids
        self._joined = self._joined or gossip.full
        self._table.merge(gossip.sender, now=now, direct=True)
        for member in gossip.members:
            self._table.merge(member, now=now)
        changed = self._facts.merge(gossip.facts, now_ms=self.now_ms())
        if changed:
            self.notify_facts(changed)
        if (
            self._table.own is not own_before
            or self._table.leaving_ids - leaving_before
        ):
            self._on_change()

    def notify_facts(self, changed):
        """Notify the listeners; changed facts trigger an eager exchange."""
        for listener in self._fact_listeners:
            listener(self._facts.facts)
        if changed:
            self._on_change()

    def repair_facts(self, address, *, rounds):
        """Exchange the facts in the buckets that differ (anti-entropy).

        Args:
          address: core.Address of the peer.
          rounds: bound on the number of exchanges.
        """
        to_send = []
        for _ in range(rounds):
            reply = self.exchange_address(
                address, send_buckets=True, facts=to_send
            )
            if reply is None or not reply.facts_parts:
                return
            to_send = self.differing_facts(reply.facts_parts)

    def differing_facts(self, bucket_digests):
        """Return facts of the buckets whose digests differ.

        Args:
          bucket_digests: sequence of a peer's bucket digests.
        Returns:
          A list of peer_pb2.ServerFact.
        """
        return [
            _codec.fact_to_message(fact)
            for fact in self._facts.facts_in_differing_buckets(
                bucket_digests, rng=self._rng
            )
        ]
