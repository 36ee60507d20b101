"""The gossip task: exchanges with peers and spreads revisions."""

import gevent
from gevent import pool
import grpc

from wigeonrouter import core
from wigeonrouter.membership import _codec
from wigeonrouter.membership import _table
from wigeonrouter.membership import _transport
from wigeonrouter.schema import peer_pb2
from wigeonrouter.schema import peer_pb2_grpc
from wigeonrouter.schema import settings_pb2

EXCHANGE_INTERVAL_S = 1.0
CALL_TIMEOUT_S = 0.5
PUSH_FANOUT = 3
# Direct announcements of a daemon that starts or leaves; gossip does the
# rest. Beyond this number they would cost more than they save.
ANNOUNCE_LIMIT = 64


class Gossip(peer_pb2_grpc.PeerServicer):
    """Owns the member table and the peer channels of one daemon."""

    def __init__(self, *, own, seeds, replica, rng, claims):
        self._table = _table.MemberTable(own=own)
        self._seeds = seeds
        self._replica = replica
        self._rng = rng
        self._claims = claims
        self._channels = _transport.PeerChannels()
        self._task = None

    @property
    def table(self):
        """The MemberTable."""
        return self._table

    def start(self):
        """Start exchanging."""
        self._task = gevent.spawn(self._run)

    def stop(self):
        """Stop exchanging."""
        self._task.kill()
        self._channels.close()

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
        """Send new entries to some peers.

        Returns:
          List of ids of the peers that acknowledged them.
        """
        peers = list(self._table.peers)
        self._rng.shuffle(peers)
        request = peer_pb2.PushRequest(
            sender=_codec.member_to_message(self._table.own), entries=entries
        )
        acknowledged = []
        for peer in peers[:PUSH_FANOUT]:
            try:
                reply = self._channels.stub(peer.peer_address).Push(
                    request, timeout=CALL_TIMEOUT_S
                )
            except grpc.RpcError:
                continue
            if reply.revision >= entries[-1].revision:
                acknowledged.append(peer.daemon_id)
        return acknowledged

    def claim(self, *, member, request_id):
        """Ask a member for a request id; see peer_pb2.ClaimReply.

        Returns:
          The reply, or None where the member did not answer.
        """
        request = peer_pb2.ClaimRequest(
            request_id=request_id, claimant=self._table.own.daemon_id
        )
        try:
            return self._channels.stub(member.peer_address).Claim(
                request, timeout=CALL_TIMEOUT_S
            )
        except grpc.RpcError:
            return None

    def exchange_once(self):
        """Exchange with one peer, or with each seed while none is known."""
        peers = self._table.peers
        if peers:
            peer = self._rng.choice(peers)
            if not self._exchange(peer.peer_address):
                self._table.mark(peer.daemon_id, core.MemberState.DEAD)
        else:
            for seed in self._seeds:
                self._exchange(seed)

    # Servicer methods; gRPC fixes their names.

    def Exchange(self, request, context):
        self._merge(request)
        if request.revision > self._replica.revision:
            sender = core.parse_address(request.sender.peer_address)
            gevent.spawn(self._fetch, sender)
        return self._message()

    def Push(self, request, context):
        applied = self._replica.apply_entries(request.entries)
        if applied:
            gevent.spawn(self.push, applied)
        return peer_pb2.PushReply(revision=self._replica.revision)

    def Fetch(self, request, context):
        entries = self._replica.entries_after(request.after_revision)
        if entries is None:
            snapshot = self._replica.snapshot().SerializeToString()
            yield peer_pb2.FetchChunk(snapshot=snapshot)
            return
        for entry in entries:
            yield peer_pb2.FetchChunk(entry=entry)

    def Claim(self, request, context):
        return self._claims(request)

    def _run(self):
        while True:
            self.exchange_once()
            gevent.sleep(EXCHANGE_INTERVAL_S * self._rng.uniform(0.8, 1.2))

    def _announce(self):
        peers = list(self._table.peers)
        self._rng.shuffle(peers)
        addresses = [peer.peer_address for peer in peers[:ANNOUNCE_LIMIT]]
        taken = pool.Pool(ANNOUNCE_LIMIT).map(self._exchange, addresses)
        return sum(taken), len(addresses)

    def _exchange(self, address):
        try:
            reply = self._channels.stub(address).Exchange(
                self._message(), timeout=CALL_TIMEOUT_S
            )
        except grpc.RpcError:
            return False
        self._merge(reply)
        if reply.revision > self._replica.revision:
            self._fetch(address)
        return True

    def _fetch(self, address):
        request = peer_pb2.FetchRequest(after_revision=self._replica.revision)
        entries = []
        try:
            for chunk in self._channels.stub(address).Fetch(
                request, timeout=10 * CALL_TIMEOUT_S
            ):
                if chunk.WhichOneof("part") == "snapshot":
                    self._replica.load_snapshot(
                        settings_pb2.Snapshot.FromString(chunk.snapshot)
                    )
                else:
                    entries.append(chunk.entry)
        except grpc.RpcError:
            pass
        self._replica.apply_entries(entries)

    def _message(self):
        return peer_pb2.GossipMessage(
            sender=_codec.member_to_message(self._table.own),
            revision=self._replica.revision,
            members=[
                _codec.member_to_message(member)
                for member in self._table.members
            ],
        )

    def _merge(self, message):
        for record in (message.sender, *message.members):
            self._table.merge(_codec.member_from_message(record))
