"""Dissemination of configuration log entries between daemons."""

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

# Number of peers whose acknowledgement push_until_acknowledged awaits.
ACKNOWLEDGEMENTS = 2
ACKNOWLEDGEMENT_TIMEOUT_S = 2.0
FETCH_TIMEOUT_S = 5.0
# Entries that are applied together while fetching; the services are rebuilt
# once per batch instead of once per entry.
FETCH_BATCH_ENTRIES = 64


class ConfigDissemination:
    """Pushes new entries to peers and fetches missing ones from them.

    Args:
      table: MemberTable.
      schedule: Schedule that selects the peers of a push.
      client: PeerClient.
      replica: configuration.Replica.
    """

    def __init__(self, *, table, schedule, client, replica):
        self._table = table
        self._schedule = schedule
        self._client = client
        self._replica = replica
        self._pending = []
        self._entries_available = event.Event()
        self._fetch_lock = lock.Semaphore()
        self._task = None

    def start(self):
        """Start the task that pushes pending entries."""
        self._task = gevent.spawn(self._push_pending)

    def stop(self):
        """Stop the push task."""
        if self._task is not None:
            gevent.kill(self._task)

    def disseminate(self, entries, *, excluded=()):
        """Push new entries to some peers in the background.

        Entries that are added during a push are sent together in the next
        one.

        Args:
          entries: sequence of settings_pb2.LogEntry.
          excluded: ids of daemons that have the entries already.
        """
        if entries:
            self._pending.append((tuple(entries), frozenset(excluded)))
            self._entries_available.set()

    def push_until_acknowledged(self, entries, *, clock=time.monotonic):
        """Push entries until enough peers have acknowledged them.

        Args:
          entries: sequence of settings_pb2.LogEntry.
          clock: function that returns monotonic seconds.
        Returns:
          Tuple of the ids of the peers that acknowledged. The call returns
          once ACKNOWLEDGEMENTS peers did, preferably in other failure
          domains, or once all candidates were tried, or after
          ACKNOWLEDGEMENT_TIMEOUT_S.
        """
        candidates = acknowledgement_order(
            own=self._table.own, peers=self._table.peers
        )
        needed = min(ACKNOWLEDGEMENTS, len(candidates))
        deadline = clock() + ACKNOWLEDGEMENT_TIMEOUT_S
        acknowledged = []
        done = event.Event()

        def push_to_candidates():
            while candidates and len(acknowledged) < needed:
                peer = candidates.pop(0)
                if self._push(peer, entries):
                    acknowledged.append(peer.daemon_id)
            if len(acknowledged) >= needed:
                done.set()

        workers = [
            gevent.spawn(push_to_candidates)
            for _ in range(ACKNOWLEDGEMENTS + 1)
        ]
        gevent.spawn(lambda: (gevent.joinall(workers), done.set()))
        done.wait(max(0.0, deadline - clock()))
        self.disseminate(entries, excluded=acknowledged)
        return tuple(acknowledged)

    def receive_push(self, sender, entries):
        """Apply pushed entries, after fetching any that precede them.

        Args:
          sender: core.Member that pushed the entries.
          entries: sequence of settings_pb2.LogEntry, not empty.
        Returns:
          The replica's revision afterwards.
        """
        if entries[0].revision > self._replica.revision + 1:
            self.fetch(sender.peer_address, revision=entries[-1].revision)
        applied = self._apply(entries)
        self.disseminate(applied, excluded=(sender.daemon_id,))
        return self._replica.revision

    def fetch(self, address, *, revision):
        """Fetch missing entries from a peer.

        Fetches run one at a time; after waiting for another one the replica
        may be up to date already.

        Args:
          address: core.Address of the peer.
          revision: revision that the peer is known to have.
        """
        with self._fetch_lock:
            if self._replica.revision >= revision:
                return
            self._fetch(address)

    def serve_fetch(self, after_revision):
        """Yield the FetchChunk messages that respond to a peer's fetch.

        They hold a snapshot where the entries are no longer retained.
        """
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
                if len(entries) >= FETCH_BATCH_ENTRIES:
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
            self._entries_available.wait()
            self._entries_available.clear()
            pending, self._pending = self._pending, []
            entries = {
                entry.revision: entry
                for batch, _ in pending
                for entry in batch
            }
            excluded = frozenset.intersection(
                *(daemon_ids for _, daemon_ids in pending)
            )
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
    """Return the peers in the order in which a change is pushed to them.

    Args:
      own: core.Member of this daemon.
      peers: an iterable of core.Member.
    Returns:
      A list of core.Member: first one peer of each other failure domain,
      then the remaining peers of those domains. Where these are fewer than
      ACKNOWLEDGEMENTS, the peers of the own failure domain follow.
    """
    in_other_domains = [peer for peer in peers if peer.place != own.place]
    in_other_domains.sort(
        key=lambda peer: (
            peer.state is not core.MemberState.ALIVE,
            peer.place.region != own.place.region,
        )
    )
    first_of_domain, others_of_domain, seen_places = [], [], set()
    for peer in in_other_domains:
        if peer.place in seen_places:
            others_of_domain.append(peer)
        else:
            seen_places.add(peer.place)
            first_of_domain.append(peer)
    ordered = first_of_domain + others_of_domain
    if len(ordered) < ACKNOWLEDGEMENTS:
        ordered += [peer for peer in peers if peer.place == own.place]
    return ordered
