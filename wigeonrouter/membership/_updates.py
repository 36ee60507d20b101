"""Updates to piggyback on messages, each a bounded number of times."""

import heapq


class TransmitLimitedQueue:
    """Queue of keys whose updates are pending; the least sent go first.

    An update leaves the queue once it was sent often enough to reach every
    member with high probability; anti-entropy repairs the rest.
    """

    def __init__(self):
        self._send_counts = {}

    def __len__(self):
        return len(self._send_counts)

    def add(self, key):
        """Queue the update of a key, with its count reset to zero."""
        self._send_counts[key] = 0

    def discard(self, key):
        """Drop the pending update of a key, if there is one."""
        self._send_counts.pop(key, None)

    def take(self, *, limit, max_sends):
        """Select the keys for one message, the least sent first.

        Args:
          limit: bound on the number of keys.
          max_sends: number of messages after which a key leaves the
            queue.
        Returns:
          The list of keys; their counts are incremented.
        """
        if not self._send_counts:
            return []
        taken = heapq.nsmallest(
            limit, self._send_counts, key=self._send_counts.get
        )
        for key in taken:
            self._send_counts[key] += 1
            if self._send_counts[key] >= max_sends:
                del self._send_counts[key]
        return taken
