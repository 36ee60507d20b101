"""Rate limits that backend servers name for the requests of all nodes.

Load pattern: a server in need names a limit of about one request a second,
while dozens of nodes know the server. A share for each of them would be of no
use, so only the senders use the server: the homes in its region that get the
requests of its service, mostly a single one. The others do not use it for as
long as they know of the limit, but for a rare request of the home in each
other region, which finds its end.

A sender counts what it sent in sliding windows, retries included, and also
what it sent before the limit was named. A new sender assumes that the one
before it has used the limit.

A cold server has a limit of the same kind, which its service names. It holds
for each second, since the server may crash in a burst.
"""

import collections
import dataclasses
import math

# Shortest window in which a limit is kept. It is prolonged until the limit
# allows a whole number of requests in it, so that none of them is lost.
_MIN_WINDOW_S = 4.0
# Window that spreads the requests within the one above.
_SHORT_WINDOW_S = 1.0
# The same window for the limit of a cold server.
_SLOW_START_WINDOW_S = 1.0
# Smaller limits, also zero, count as this one: the end of a limit shows in a
# response only.
_MIN_LIMIT_PER_S = 0.1
_MAX_WINDOW_S = max(_MIN_WINDOW_S, 1 / _MIN_LIMIT_PER_S)
# A response without a limit that arrives sooner after one with a limit may
# have been overtaken by it on another connection.
_REORDERING_S = 0.25
# What a node that is no sender knows of a limit holds for this time.
_KNOWLEDGE_LIFETIME_S = 10.0
# What a sender was told itself holds for longer, since it may rarely send.
_SENDER_KNOWLEDGE_LIFETIME_S = 30.0


@dataclasses.dataclass(kw_only=True, slots=True)
class _Server:
    """What is known of the limit of one server.

    Attributes:
      limit: limit that the server named to this node, requests per second;
        None if it named none.
      told_at: time of the response that said so.
      peer_limit: limit that it named to other nodes of the region, None if
        it no longer names one to them.
      peer_told_at: time at which a peer last said so.
      peer_changed_at: time at which a peer first said so.
      cold_rate: limit while it is cold, requests per second.
      cold_until: time until which it is cold.
      sent: times of this node's requests, oldest first.
    """

    limit: float | None = None
    told_at: float = -math.inf
    peer_limit: float | None = None
    peer_told_at: float = -math.inf
    peer_changed_at: float = -math.inf
    cold_rate: float = 0.0
    cold_until: float = -math.inf
    sent: collections.deque = dataclasses.field(
        default_factory=collections.deque
    )


class RateLimits:
    """Limits of the servers of one service, and this node's share of them."""

    def __init__(self):
        self._servers = {}
        # Servers that named a limit to this node or to a peer.
        self._limited = set()
        # Dict from the servers that ended their limit to the time of that.
        self._ended = {}
        self._share = 0.0
        self._sender_since = math.inf

    @property
    def limited(self):
        """Frozenset of the instances that may have a limit."""
        return frozenset(self._limited)

    @property
    def has_statements(self):
        """Whether any server named a limit, or ended one, lately."""
        return bool(self._limited or self._ended)

    def set_share(self, share, now):
        """Set the share of the limits that this node may use.

        Args:
          share: from 0 to 1, 0 if this node is no sender.
          now: seconds on the monotonic clock.
        """
        if share <= 0.0:
            self._sender_since = math.inf
        elif self._share <= 0.0:
            self._sender_since = now
        self._share = share

    def record_sent(self, instance, now):
        """Count a request that is sent to a server."""
        server = self._servers.setdefault(instance, _Server())
        server.sent.append(now)
        while server.sent[0] <= now - _MAX_WINDOW_S:
            server.sent.popleft()

    def record_response(self, instance, *, limit, from_probe, now):
        """Record what a response says about the limit of a server.

        Args:
          limit: requests per second, None if the response names no limit.
          from_probe: whether it is the response to a health check. It does
            not end a limit, since servers may name it in other responses
            only.
          now: seconds on the monotonic clock.
        Returns:
          Whether the limit differs from the one named before.
        """
        server = self._servers.setdefault(instance, _Server())
        previous = server.limit
        if limit is None and previous is not None:
            overtaken = now - server.told_at < _REORDERING_S
            if from_probe or overtaken:
                return False
        server.limit = limit
        server.told_at = now
        if limit is not None:
            self._limited.add(instance)
            self._ended.pop(instance, None)
        elif previous is not None:
            self._ended[instance] = now
        return limit != previous

    def record_peer_limits(self, limits, now):
        """Record what servers said about their limits to other nodes.

        Args:
          limits: dict from instance to requests per second, None for a limit
            that has ended.
          now: seconds on the monotonic clock.
        """
        for instance, limit in limits.items():
            server = self._servers.setdefault(instance, _Server())
            if limit != server.peer_limit or not _knows_peer(server, now):
                server.peer_changed_at = now
            server.peer_limit = limit
            server.peer_told_at = now
            if limit is not None:
                self._limited.add(instance)

    def set_slow_start(self, instance, *, rate, until):
        """Limit the rate of a server while it is cold.

        Args:
          rate: requests per second of all nodes together.
          until: time until which it is cold, monotonic seconds.
        """
        server = self._servers.setdefault(instance, _Server())
        server.cold_rate = rate
        server.cold_until = until
        self._limited.add(instance)

    def forget(self, instances):
        """Forget servers that have left or restarted."""
        for instance in instances:
            self._servers.pop(instance, None)
            self._limited.discard(instance)
            self._ended.pop(instance, None)

    def statements(self, now, *, is_sender):
        """Return what servers said about their limits to this node.

        Args:
          now: seconds on the monotonic clock.
          is_sender: whether this node is a sender. Only senders state that
            a limit has ended, since others may have been told earlier.
        Returns:
          Dict from instance to requests per second, None for a limit that
          has ended.
        """
        servers = {
            instance: self._servers[instance] for instance in self._limited
        }
        limits = {
            instance: server.limit
            for instance, server in servers.items()
            if server.limit is not None
            and self._own_statement_holds(server, now)
        }
        self._ended = {
            instance: ended_at
            for instance, ended_at in self._ended.items()
            if now - ended_at <= _KNOWLEDGE_LIFETIME_S
        }
        if is_sender:
            limits.update(dict.fromkeys(self._ended))
        return limits

    def rate(self, instance, *, local, now):
        """Return how many requests per second this node may send to a server.

        Args:
          local: whether the server is in this node's region.
          now: seconds on the monotonic clock.
        Returns:
          None if the server names no limit.
        """
        limit = self._known_limit(instance, now)
        if limit is None:
            self._limited.discard(instance)
            return None
        if self._share <= 0.0:
            return 0.0
        if not local:
            return _MIN_LIMIT_PER_S
        return max(self._share * limit, _MIN_LIMIT_PER_S)

    def next_send_time(self, instance, *, rate, now):
        """Return the earliest time at which a request may be sent.

        Args:
          rate: what rate() returned.
          now: seconds on the monotonic clock.
        Returns:
          Monotonic seconds; -inf without a limit, and inf if never.
        """
        if rate is None:
            return -math.inf
        if rate <= 0.0:
            return math.inf
        sent = self._servers[instance].sent
        stated = self._stated_limit(self._servers[instance], now)
        min_window = _SLOW_START_WINDOW_S if stated is None else _MIN_WINDOW_S
        maximum = math.ceil(rate * min_window)
        window = maximum / rate
        recent = sum(at > now - window for at in sent)
        return max(
            self._sender_since + min(window, (recent + 1) / rate),
            _window_opens_at(sent, maximum, window),
            _window_opens_at(
                sent, math.ceil(rate * _SHORT_WINDOW_S), _SHORT_WINDOW_S
            ),
        )

    def _known_limit(self, instance, now):
        server = self._servers.get(instance)
        if server is None:
            return None
        limit = self._stated_limit(server, now)
        if now >= server.cold_until:
            return limit
        if limit is None:
            return server.cold_rate
        return min(limit, server.cold_rate)

    def _stated_limit(self, server, now):
        if self._own_statement_holds(server, now):
            return server.limit
        return server.peer_limit if _knows_peer(server, now) else None

    def _own_statement_holds(self, server, now):
        """Return whether what the server said to this node is the latest.

        For a sender, what it was told goes before what others were told. If it
        has no requests to send, the limit is forgotten, since others would
        hold it for as long as the sender does.
        """
        age = now - server.told_at
        if server.limit is not None and self._share > 0.0:
            return age <= _SENDER_KNOWLEDGE_LIFETIME_S
        if age > _KNOWLEDGE_LIFETIME_S:
            return False
        is_older = server.peer_changed_at > server.told_at
        return not (is_older and _knows_peer(server, now))


def _knows_peer(server, now):
    """Return whether what a peer said of a server still holds."""
    return now - server.peer_told_at <= _KNOWLEDGE_LIFETIME_S


def _window_opens_at(sent, maximum, window):
    """Return when fewer than `maximum` requests are in a sliding window.

    Returns -inf if fewer than that were sent.
    """
    if len(sent) < maximum:
        return -math.inf
    return sent[-maximum] + window
