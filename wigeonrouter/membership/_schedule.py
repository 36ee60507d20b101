"""Selects the peers for exchanges, indirect probes and pushes.

Peers are visited round-robin in shuffled order. This bounds the time between
two visits of a peer, and so the time until its failure is detected; random
selection would not.
"""

# Traffic between regions is billed: one of five exchanges leaves the region.
LOCAL_EXCHANGES_PER_REMOTE = 4
DEAD_RETRY_INTERVAL_S = 5.0
# Number of members that are asked to probe a member that did not respond.
INDIRECT_PROBES = 3
# Number of peers to which a change is pushed at once.
PUSH_FANOUT = 3


class Schedule:
    """Peer selection by a member table and a random.Random; reads no clock."""

    def __init__(self, *, table, rng):
        self._table = table
        self._rng = rng
        self._unvisited_peer_ids = {True: [], False: []}
        self._exchange_count = 0
        self._last_dead_retry = 0.0
        self._unvisited_dead_ids = []

    def next_peer(self):
        """Return the member for the next exchange, or None without peers."""
        self._exchange_count += 1
        local = self._exchange_count % (LOCAL_EXCHANGES_PER_REMOTE + 1) != 0
        return self._next_in_round(local) or self._next_in_round(not local)

    def next_dead_member(self, *, now):
        """Return the dead member to retry, or None.

        One is due every DEAD_RETRY_INTERVAL_S.

        Args:
          now: current time, seconds.
        """
        if now - self._last_dead_retry < DEAD_RETRY_INTERVAL_S:
            return None
        dead = {member.daemon_id: member for member in self._table.dead}
        if not dead:
            return None
        self._last_dead_retry = now
        while True:
            if not self._unvisited_dead_ids:
                self._unvisited_dead_ids = list(dead)
                self._rng.shuffle(self._unvisited_dead_ids)
            peer_id = self._unvisited_dead_ids.pop()
            if peer_id in dead:
                return dead[peer_id]

    def retry_dead_now(self):
        """Make the next retry of a dead member due at once."""
        self._last_dead_retry = float("-inf")

    def indirect_probers(self, target):
        """Return the peers to ask for an indirect probe of a target.

        Args:
          target: id of the member that did not respond.
        """
        peers = [
            peer
            for peer in self._table.alive
            if peer.daemon_id not in (target, self._table.own.daemon_id)
        ]
        return self._rng.sample(peers, min(INDIRECT_PROBES, len(peers)))

    def push_targets(self, *, excluded=()):
        """Return at most PUSH_FANOUT peers for an eager push.

        All but one are in the own region, and one is in another region, so
        that a change reaches the other regions without delay. Where one side
        has too few peers, the other one fills up.

        Args:
          excluded: ids of daemons that have the change already.
        """
        peers = [
            peer
            for peer in self._table.peers
            if peer.daemon_id not in excluded
        ]
        self._rng.shuffle(peers)
        local = [peer for peer in peers if self._is_local(peer)]
        remote = [peer for peer in peers if not self._is_local(peer)]
        selected = local[: PUSH_FANOUT - 1] + remote[:1]
        remaining = [peer for peer in peers if peer not in selected]
        return selected + remaining[: PUSH_FANOUT - len(selected)]

    def _next_in_round(self, local):
        """Return the next member in the own region or in the other ones."""
        current = {
            peer.daemon_id: peer
            for peer in self._table.peers
            if self._is_local(peer) is local
        }
        if not current:
            return None
        while True:
            if not self._unvisited_peer_ids[local]:
                self._unvisited_peer_ids[local] = list(current)
                self._rng.shuffle(self._unvisited_peer_ids[local])
            peer_id = self._unvisited_peer_ids[local].pop()
            if peer_id in current:
                return current[peer_id]

    def _is_local(self, peer):
        return peer.place.region == self._table.own.place.region
