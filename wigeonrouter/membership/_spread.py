"""Spreads configuration revisions between daemons."""

import time

import gevent
from gevent import event
from gevent import lock
from google.protobuf import message as protobuf_message

from wigeonrouter import configuration
from wigeonrouter import core
from wigeonrouter.membership import _client
from wigeonrouter.membership import _codec
from wigeonrouter.schema import peer_pb2
from wigeonrouter.schema import settings_pb2

ACKNOWLEDGEMENTS = 2
ACKNOWLEDGEMENT_TIMEOUT_S = 2.0
FETCH_TIMEOUT_S = 5.0
# Entries applied at once while fetching; the services are built once for
# each batch.
FETCH_BATCH = 64


class ConfigSpread:
    """Pushes new entries to peers and fetches missing ones."""

    def __init__(self, *, table, schedule, client, replica):
        self._table = table
        self._schedule = schedule
        self._client = client
        self._replica = replica
        self._pending = []
        self._arrived = event.Event()
        self._fetching = lock.Semaphore()
        self._task = None

    def start(self):
        """Start pushing what arrives."""
        self._task = gevent.spawn(self._push_pending)

    def stop(self):
        """Stop pushing."""
        if self._task is not None:
            gevent.kill(self._task)

    def spread(self, entries, *, excluded=()):
        """Push new entries to some peers in the background.

        Entries that arrive while a push is under way share the next one.
        """
        if entries:
            self._pending.append((tuple(entries), frozenset(excluded)))
            self._arrived.set()

    def push_acknowledged(self, entries, *, clock=time.monotonic):
        """Push entries until enough peers have acknowledged them.

        Returns:
          Tuple of the ids of the peers that acknowledged, after
          ACKNOWLEDGEMENTS of them in other failure domains, or after all
          that there are, or after ACKNOWLEDGEMENT_TIMEOUT_S.
        """
        candidates = acknowledgement_order(
            own=self._table.own, peers=self._table.peers
        )
        needed = min(ACKNOWLEDGEMENTS, len(candidates))
        ends = clock() + ACKNOWLEDGEMENT_TIMEOUT_S
        acknowledged = []
        done = event.Event()

        def work():
            while candidates and len(acknowledged) < needed:
                peer = candidates.pop(0)
                if self._push(peer, entries):
                    acknowledged.append(peer.daemon_id)
            if len(acknowledged) >= needed:
                done.set()

        workers = [gevent.spawn(work) for _ in range(ACKNOWLEDGEMENTS + 1)]
        gevent.spawn(lambda: (gevent.joinall(workers), done.set()))
        done.wait(max(0.0, ends - clock()))
        self.spread(entries, excluded=acknowledged)
        return tuple(acknowledged)

    def receive(self, sender, entries):
        """Take over pushed entries; what lies between is fetched first.

        Returns:
          The revision of the replica afterwards.
        """
        if entries[0].revision > self._replica.revision + 1:
            self.fetch(sender.peer_address, revision=entries[-1].revision)
        applied = self._apply(entries)
        self.spread(applied, excluded=(sender.daemon_id,))
        return self._replica.revision

    def fetch(self, address, *, revision):
        """Fetch what is missing up to a revision from a peer.

        One fetch runs at a time; one that waited may find nothing to do.
        """
        with self._fetching:
            if self._replica.revision >= revision:
                return
            self._fetch(address)

    def serve(self, after_revision):
        """Yield the FetchChunk messages that answer a peer's fetch."""
        entries = self._replica.entries_after(after_revision)
        if entries is None:
            snapshot = self._replica.snapshot().SerializeToString()
            yield peer_pb2.FetchChunk(snapshot=snapshot)
            return
        for entry in entries:
            yield peer_pb2.FetchChunk(entry=entry)

    def _fetch(self, address):
        request = peer_pb2.FetchRequest(after_revision=self._replica.revision)
        entries = []
        try:
            for chunk in self._client.stream(
                "Fetch", address, request, timeout=FETCH_TIMEOUT_S
            ):
                if chunk.WhichOneof("part") == "snapshot":
                    self._replica.load_snapshot(
                        settings_pb2.Snapshot.FromString(chunk.snapshot)
                    )
                    continue
                entries.append(chunk.entry)
                if len(entries) >= FETCH_BATCH:
                    self._apply(entries)
                    entries = []
        except protobuf_message.DecodeError:
            self._client.count("malformed")
            return
        self._apply(entries)

    def _apply(self, entries):
        try:
            return self._replica.apply_entries(entries)
        except configuration.ForkError:
            self._client.count("forks")
            return []

    def _push_pending(self):
        while True:
            self._arrived.wait()
            self._arrived.clear()
            pending, self._pending = self._pending, []
            entries = {
                entry.revision: entry
                for batch, _ in pending
                for entry in batch
            }
            excluded = frozenset.intersection(*(names for _, names in pending))
            gevent.joinall(
                [
                    gevent.spawn(
                        self._push,
                        peer,
                        [entries[number] for number in sorted(entries)],
                    )
                    for peer in self._schedule.push_targets(excluded=excluded)
                ]
            )

    def _push(self, peer, entries):
        request = peer_pb2.PushRequest(
            sender=_codec.member_to_message(self._table.own), entries=entries
        )
        reply = self._client.call(
            "Push",
            peer.peer_address,
            request,
            timeout=_client.CALL_TIMEOUT_S,
        )
        return reply is not None and reply.revision >= entries[-1].revision


def acknowledgement_order(*, own, peers):
    """Order the peers that may acknowledge a change.

    Args:
      own: core.Member of this daemon.
      peers: an iterable of core.Member.
    Returns:
      A list: one peer of each other failure domain first, then the others
      there. Where fewer than ACKNOWLEDGEMENTS peers are in other failure
      domains, those in the own one follow.
    """
    others = [peer for peer in peers if peer.place != own.place]
    others.sort(
        key=lambda peer: (
            peer.state is not core.MemberState.ALIVE,
            peer.place.region != own.place.region,
        )
    )
    first, second, seen = [], [], set()
    for peer in others:
        if peer.place in seen:
            second.append(peer)
        else:
            seen.add(peer.place)
            first.append(peer)
    order = first + second
    if len(order) < ACKNOWLEDGEMENTS:
        order += [peer for peer in peers if peer.place == own.place]
    return order
