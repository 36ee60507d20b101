"""The rate limits of the backend servers of one service, for this node."""

import dataclasses
import time

from wigeonrouter import placement


class ServerLimits:
    """Owns what limits the requests of this node to each server.

    Args:
      events: events.EventLog.
      limit_share: function that returns the share of the servers' rate limits
        that this node may use, from 0 to 1.
    """

    def __init__(self, *, events, limit_share, clock=time.monotonic):
        self._events = events
        self._limit_share = limit_share
        self._clock = clock
        self._rate_limits = placement.RateLimits()

    @property
    def limited(self):
        """Frozenset of the instances that may have a limit."""
        return self._rate_limits.limited

    @property
    def statements(self):
        """Dict from instance to the limit that it named to this node.

        None stands for a limit that has ended.
        """
        if not self._rate_limits.has_statements:
            return {}
        return self._rate_limits.statements(
            self._clock(), is_sender=self._limit_share() > 0.0
        )

    def forget(self, instances):
        """Forget servers that have left or restarted."""
        self._rate_limits.forget(instances)

    def refresh_share(self):
        """Apply which share of the limits this node may use at present."""
        self._rate_limits.set_share(self._limit_share(), self._clock())

    def record_sent(self, instance):
        """Count a request that is sent to a server."""
        self._rate_limits.record_sent(instance, self._clock())

    def record_response(self, instance, metadata, *, from_probe):
        """Apply what a response says about its server's limit.

        Args:
          metadata: messages.ResponseMetadata of the response.
          from_probe: whether it is the response to a health check.
        Returns:
          Whether the limit has changed.
        """
        if not metadata.rate_limit_valid or metadata.misdirected:
            # Where misdirected, another server has responded.
            return False
        if metadata.rate_limit is None and metadata.not_executed:
            # A server that rejects requests may well need its limit still.
            return False
        changed = self._rate_limits.record_response(
            instance,
            limit=metadata.rate_limit,
            from_probe=from_probe,
            now=self._clock(),
        )
        if changed:
            self._events.event(
                "server-rate-limit",
                instance=instance,
                per_second=metadata.rate_limit,
                source="probe" if from_probe else "response",
                share=self._limit_share(),
            )
        return changed

    def record_peer_limits(self, limits):
        """Record the limits that servers named to other nodes.

        Args:
          limits: dict from instance to requests per second, None for a limit
            that has ended.
        Returns:
          Whether any server has a limit.
        """
        self._rate_limits.record_peer_limits(limits, self._clock())
        if self._rate_limits.limited:
            return True
        # Without limits it is not tracked whether this node is the home, so
        # it counts as a new one when a server names a limit.
        self._rate_limits.set_share(0.0, self._clock())
        return False

    def apply(self, view):
        """Return a ServerView with the limit that holds for it now."""
        now = self._clock()
        rate = self._rate_limits.rate(
            view.instance,
            local=view.locality is not placement.Locality.REMOTE,
            now=now,
        )
        return dataclasses.replace(
            view,
            rate_limit=rate,
            next_send_at=self._rate_limits.next_send_time(
                view.instance, rate=rate, now=now
            ),
        )
