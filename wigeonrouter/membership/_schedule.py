"""Chooses the peers of exchanges, probes and pushes.

Each list is shuffled and then used in turn, so that each peer is reached
within a bounded time and a failed one cannot stay unnoticed by bad luck.
"""

# Bytes between regions are paid for: of five exchanges one leaves the region.
LOCAL_EXCHANGES = 4
DEAD_RETRY_S = 5.0
HELPERS = 3
PUSH_FANOUT = 3


class Schedule:
    """Pure: reads the table and the generator it was given, no clock."""

    def __init__(self, *, table, rng):
        self._table = table
        self._rng = rng
        self._rounds = {True: [], False: []}
        self._count = 0
        self._dead_retried = 0.0
        self._dead_round = []

    def next_peer(self):
        """Return the member for the next exchange, or None."""
        self._count += 1
        local = self._count % (LOCAL_EXCHANGES + 1) != 0
        return self._next(local) or self._next(not local)

    def next_dead(self, *, now):
        """Return a dead member whose turn it is, or None."""
        if now - self._dead_retried < DEAD_RETRY_S:
            return None
        dead = {member.daemon_id: member for member in self._table.dead}
        if not dead:
            return None
        self._dead_retried = now
        while True:
            if not self._dead_round:
                self._dead_round = list(dead)
                self._rng.shuffle(self._dead_round)
            name = self._dead_round.pop()
            if name in dead:
                return dead[name]

    def hurry_dead(self):
        """Let the next dead member be tried at once."""
        self._dead_retried = float("-inf")

    def helpers(self, target):
        """Return the peers that should try to reach a target."""
        peers = [
            peer
            for peer in self._table.alive
            if peer.daemon_id not in (target, self._table.own.daemon_id)
        ]
        return self._rng.sample(peers, min(HELPERS, len(peers)))

    def push_targets(self, *, excluded=()):
        """Return the peers for an eager push.

        Most are in the own region; one is in another region, where there is
        one, so that a change spreads everywhere at once.
        """
        peers = [
            peer
            for peer in self._table.peers
            if peer.daemon_id not in excluded
        ]
        self._rng.shuffle(peers)
        local = [peer for peer in peers if self._is_local(peer)]
        remote = [peer for peer in peers if not self._is_local(peer)]
        chosen = local[: PUSH_FANOUT - 1] + remote[:1]
        rest = [peer for peer in peers if peer not in chosen]
        return chosen + rest[: PUSH_FANOUT - len(chosen)]

    def _next(self, local):
        """Return the next member of the local or the remote round."""
        current = {
            peer.daemon_id: peer
            for peer in self._table.peers
            if self._is_local(peer) is local
        }
        if not current:
            return None
        while True:
            if not self._rounds[local]:
                self._rounds[local] = list(current)
                self._rng.shuffle(self._rounds[local])
            name = self._rounds[local].pop()
            if name in current:
                return current[name]

    def _is_local(self, peer):
        return peer.place.region == self._table.own.place.region
