"""Which part of its region a hub serves, so that no two hubs grant it all.

Handles partitions between the nodes of a region. A node that was ready and
disappears without notice may be dead or on the other side of a partition. It
counts as partitioned for a while. One that announces that it stops does not.
"""

# A node that was not seen for this time is considered dead.
_MEMORY_S = 30.0
# Dead nodes are looked for at this interval.
_EXPIRY_INTERVAL_S = 1.0


class NodePresence:
    """Remembers the nodes of a region that were ready."""

    def __init__(self):
        # The hosts that are present and ready.
        self._present = frozenset()
        # Dict from host to the time when it was last known to be ready.
        self._seen = {}
        self._known = set()
        self._expire_at = float("-inf")

    def observe(self, readiness, now):
        """Record the present nodes, a dict from host to readiness.

        They count as present until the next call, which comes only when they
        have changed.
        """
        self._known.update(readiness)
        self._seen.update(dict.fromkeys(self._present, now))
        self._present = frozenset(
            host for host, ready in readiness.items() if ready
        )
        self._seen.update(dict.fromkeys(self._present, now))
        for host in readiness.keys() - self._present:
            self._seen.pop(host, None)

    def expect(self, hosts, now):
        """Record the registered nodes that were not heard of before.

        A node that starts on its own side of a partition would otherwise
        take those that it sees for the whole region.
        """
        for host in hosts:
            if host not in self._known:
                self._known.add(host)
                self._seen[host] = now

    def fraction(self, hosts, now):
        """Return which share of the known nodes some hosts are."""
        if now >= self._expire_at:
            self._expire_at = now + _EXPIRY_INTERVAL_S
            self._expire(now)
        if not self._seen:
            return 1.0
        return sum(host in self._seen for host in hosts) / len(self._seen)

    def _expire(self, now):
        for host, seen in list(self._seen.items()):
            if host not in self._present and now - seen > _MEMORY_S:
                del self._seen[host]
