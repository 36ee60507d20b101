"""Decides whether a node itself is cut off from the backend servers.

Load pattern: a node loses its paths to all servers for seconds, while callers,
the store and other nodes still reach it. Each server then looks as if it had
failed. Servers also fail together, and a node that was paused finds every
response late, so a suspicion is checked with new connections to several
servers before it counts.
"""

# Servers without a response, since the last response of any server, from which
# on the paths of the node are suspected.
_SUSPICIOUS_SERVERS = 2
# Checks in a row without any connection until the paths count as cut.
_CHECKS_UNTIL_CUT = 2
# Checks in a row with connections until cut paths count as restored, and the
# share of the servers of a check that have to accept one.
_CHECKS_UNTIL_RESTORED = 2
_MIN_ACCEPTED_SHARE = 0.5


class ServerLinks:
    """Knows whether a node reaches any backend server."""

    def __init__(self):
        self._cut = False
        self._silent_instances = set()
        self._checks = 0

    @property
    def cut(self):
        """Whether the node is cut off from all servers."""
        return self._cut

    @property
    def silent_count(self):
        """Number of servers without a response since the last one of any."""
        return len(self._silent_instances)

    def is_suspected(self, known_count):
        """Return whether the paths have to be checked.

        Args:
          known_count: number of servers that the node knows.
        """
        return self._cut or self.silent_count >= max(
            1, min(_SUSPICIOUS_SERVERS, known_count)
        )

    def record_response(self):
        """Record that a server has responded to a request or probe.

        This ends a suspicion, but not a cut: connections may live on while
        new ones are refused, or be the only one that works.
        """
        self._silent_instances.clear()
        if not self._cut:
            self._checks = 0

    def record_no_response(self, instance):
        """Record that a server did not respond or closed its connection."""
        self._silent_instances.add(instance)

    def record_check(self, *, accepted, attempted):
        """Record a check of several servers with new connections.

        Args:
          accepted: number of servers that accepted a connection.
          attempted: number of servers, at least one.
        Returns:
          Whether `cut` has changed.
        """
        if self._cut:
            good = accepted >= _MIN_ACCEPTED_SHARE * attempted
            needed = _CHECKS_UNTIL_RESTORED
        else:
            good = accepted == 0
            needed = _CHECKS_UNTIL_CUT
            if accepted:
                self._silent_instances.clear()
        self._checks = self._checks + 1 if good else 0
        if self._checks < needed:
            return False
        self._checks = 0
        self._cut = not self._cut
        if not self._cut:
            self._silent_instances.clear()
        return True
