"""Exchanges of members, facts and revision numbers with one peer."""

import gevent
from returns import pipeline

from wigeonrouter.membership import _codec
from wigeonrouter.schema import peer_pb2


class Exchanges:
    """Makes and takes over the messages of one daemon."""

    def __init__(
        self,
        *,
        table,
        facts,
        client,
        spread,
        replica,
        rng,
        clock,
        wall_clock,
        on_news,
    ):
        self._table = table
        self._facts = facts
        self._client = client
        self._spread = spread
        self._replica = replica
        self._rng = rng
        self._clock = clock
        self._wall_clock = wall_clock
        self._on_news = on_news
        self._fact_listeners = []
        self._joined = self._ready = False

    @property
    def joined(self):
        """Whether a peer's whole member table was received."""
        return self._joined

    def set_ready(self):
        """Let new daemons rely on the revision that this one names."""
        self._ready = True

    def subscribe_facts(self, listener):
        """Call listener(facts) after changes, with the tuple of all facts."""
        self._fact_listeners.append(listener)

    def now_ms(self):
        """Return milliseconds since the epoch."""
        return int(self._wall_clock() * 1000)

    def exchange_all(self, peers, *, full=False, timeout=None):
        """Exchange with peers at once; return the number that answered."""
        tasks = [gevent.spawn(self.exchange, p, full=full) for p in peers]
        gevent.joinall(tasks, timeout=timeout)
        return sum(task.value is not None for task in tasks)

    def exchange(self, peer, *, full=False):
        """Exchange with a member; see exchange_address.

        An answer by another daemon, which got the address meanwhile, does
        not count as the member's.
        """
        reply = self.exchange_address(
            peer.peer_address, receiver=peer.daemon_id, full=full
        )
        if reply is None or reply.sender.daemon_id != peer.daemon_id:
            return None
        return reply

    def exchange_address(
        self, address, *, receiver=None, full=False, parts=False, facts=()
    ):
        """Exchange with an address.

        Returns:
          The decoded reply, or None where there was none that can be used.
        """
        request = self.message(receiver=receiver, full=full)
        request.facts.extend(facts)
        if parts:
            request.facts_parts.extend(self._facts.parts)
        reply = self._client.call("Exchange", address, request)
        if reply is None:
            return None
        decoded = _codec.decode_gossip(reply, now_ms=self.now_ms())
        if not pipeline.is_successful(decoded):
            self._client.count("malformed")
            return None
        gossip = decoded.unwrap()
        self.absorb(gossip)
        if gossip.revision > self._replica.revision:
            self._spread.fetch(address, revision=gossip.revision)
        return gossip

    def message(self, *, receiver, full):
        """Return the peer_pb2.GossipMessage for a daemon."""
        if full:
            members = (self._table.own, *self._table.peers)
            known = self._table.find(receiver)
            if known is not None and known not in members:
                members += (known,)
        else:
            members = self._table.take_updates(receiver=receiver)
        facts = self._facts.take_updates(sends=self._table.retransmit_limit)
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

    def absorb(self, gossip):
        """Take over what a decoded message says."""
        now = self._clock()
        own = self._table.own
        leaving = self._table.leaving_ids
        self._joined = self._joined or gossip.full
        self._table.merge(gossip.sender, now=now, direct=True)
        for member in gossip.members:
            self._table.merge(member, now=now)
        changed = self._facts.merge(gossip.facts, now_ms=self.now_ms())
        if changed:
            self.notify_facts(changed)
        if self._table.own is not own or self._table.leaving_ids - leaving:
            self._on_news()

    def notify_facts(self, changed):
        """Tell the listeners; news about facts lets gossip hurry."""
        for listener in self._fact_listeners:
            listener(self._facts.facts)
        if changed:
            self._on_news()

    def repair_facts(self, address, *, rounds):
        """Exchange the facts in the parts of the table that differ."""
        owed = []
        for _ in range(rounds):
            reply = self.exchange_address(address, parts=True, facts=owed)
            if reply is None or not reply.facts_parts:
                return
            owed = self.differing(reply.facts_parts)

    def differing(self, parts):
        """Return messages of the facts in the parts that differ."""
        return [
            _codec.fact_to_message(fact)
            for fact in self._facts.differing(parts, rng=self._rng)
        ]
