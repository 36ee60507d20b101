"""Updates that ride on messages a bounded number of times each."""

import heapq


class Updates:
    """Counts how often each update was sent."""

    def __init__(self):
        self._sent = {}

    def __len__(self):
        return len(self._sent)

    def add(self, key):
        """Send the update about a key anew."""
        self._sent[key] = 0

    def discard(self, key):
        """Send nothing more about a key."""
        self._sent.pop(key, None)

    def take(self, *, limit, sends):
        """Return the keys for one message, the least sent first.

        Args:
          limit: bound on the number of keys.
          sends: number of messages in which each key may ride.
        """
        if not self._sent:
            return []
        taken = heapq.nsmallest(limit, self._sent, key=self._sent.get)
        for key in taken:
            self._sent[key] += 1
            if self._sent[key] >= sends:
                del self._sent[key]
        return taken
