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
        self._slow_starts = placement.SlowStarts()

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

    def configure(self, rule):
        """Apply the placement.SlowStartRule of the service."""
        self._slow_starts.configure(rule)

    def register(self, record):
        """Apply the registration of a server (topology.KnownServer)."""
        registration = record.registration
        self._slow_starts.register(
            _start(registration),
            cold_until=record.learned_at + registration.slow_start,
            returned_at=record.returned_at,
        )
        self._update_slow_start(registration)

    def retain(self, registrations):
        """Forget the slow starts of all but these topology.Registrations."""
        self._slow_starts.retain(map(_start, registrations))

    def record_health(self, registration, metadata):
        """Apply what a health response says about a slow start."""
        key = _start(registration)
        now = self._clock()
        was_cold = self._slow_starts.cold_until(key) > now
        self._slow_starts.record_health(key, metadata.slow_start, now)
        cold_until = self._slow_starts.cold_until(key)
        if (cold_until > now) != was_cold:
            self._events.event(
                "server-warm" if was_cold else "server-cold",
                instance=registration.instance,
                for_ms=round(max(0.0, cold_until - now) * 1000),
            )
        self._update_slow_start(registration)

    def forget(self, instances):
        """Forget servers that have left or restarted."""
        self._rate_limits.forget(instances)

    def refresh_share(self):
        """Apply which share of the limits this node may use at present."""
        self._rate_limits.set_share(self._limit_share(), self._clock())

    def record_sent(self, registration):
        """Count a request that is sent to a server."""
        now = self._clock()
        self._rate_limits.record_sent(registration.instance, now)
        self._slow_starts.record_sent(_start(registration), now)

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

    def apply_slow_start(self, view, registration):
        """Return a ServerView with the slow start that holds for it now."""
        key = _start(registration)
        cold_until = self._slow_starts.cold_until(key)
        check_due = self._slow_starts.check_due(key)
        health_due = self._slow_starts.health_due(key)
        if (cold_until, check_due, health_due) == (
            view.slow_start_until,
            view.check_due,
            view.health_due,
        ):
            return view
        return dataclasses.replace(
            view,
            slow_start_until=cold_until,
            check_due=check_due,
            health_due=health_due,
        )

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

    def _update_slow_start(self, registration):
        """Limit the rate of a server if it is cold."""
        rule = self._slow_starts.rule
        until = self._slow_starts.cold_until(_start(registration))
        instance = registration.instance
        if instance in self._rate_limits.limited or (
            rule.is_limited and until > self._clock()
        ):
            self._rate_limits.set_slow_start(
                instance,
                rate=rule.rate,
                until=until if rule.is_limited else float("-inf"),
            )


def _start(registration):
    """Return what tells one start of a server from another one."""
    return registration.instance, registration.started_ms
