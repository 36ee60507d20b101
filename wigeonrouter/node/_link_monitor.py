"""Finds out whether this node is cut off from all backend servers.

Requests and probes tell it which servers respond. A suspicion is checked with
new connections, never with the requests of callers.
"""

import dataclasses
import enum
import time

import gevent
from gevent import event

from wigeonrouter import http1
from wigeonrouter import placement

# Servers that are checked at a time, and those that are tried until one
# accepts where many may have ended.
_CHECKED_SERVERS = 5
_TRIED_SERVERS = 20
# A server in another region accepts a connection after tens of milliseconds.
_CHECK_TIMEOUT_S = 0.2
# A check that took this much longer was held up by this node itself.
_MAX_DELAY_S = 0.1
_CHECK_INTERVAL_S = 0.25
_CONNECTIONS_PER_SERVER = 64


class _Outcome(enum.Enum):
    """What became of one new connection."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    SILENT = "silent"


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _CheckResult:
    """Responses of servers to new connections.

    Attributes:
      accepted: number of servers that accepted one.
      attempted: number of servers that were tried.
      refused: whether any refused one.
    """

    accepted: int
    attempted: int
    refused: bool


class LinkMonitor:
    """Owns the placement.ServerLinks of a node.

    Args:
      pool: http1.ConnectionPool.
      known: function that returns a dict from the instance of each known
        server to its topology.KnownServer.
      on_change: called without arguments when `cut` has changed.
      events: events.EventLog.
    """

    def __init__(
        self,
        *,
        pool,
        known,
        on_change,
        events,
        rng,
        clock=time.monotonic,
    ):
        self._pool = pool
        self._known = known
        self._on_change = on_change
        self._events = events
        self._rng = rng
        self._clock = clock
        self._links = placement.ServerLinks()
        self._wanted = event.Event()
        self._refused = False
        self._cut_since = 0.0

    @property
    def cut(self):
        """Whether this node is cut off from all servers."""
        return self._links.cut

    @property
    def hanging(self):
        """Whether this node is cut off, and no server even refuses it."""
        return self.cut and not self._refused

    @property
    def suspected(self):
        """Whether this node may be cut off from all servers."""
        return self._links.is_suspected(len(self._known()))

    def on_response(self):
        """Record that a server has responded."""
        self._links.record_response()

    def on_no_response(self, instance):
        """Record that a server did not respond, or broke its connection."""
        self._links.record_no_response(instance)
        if not self._wanted.is_set() and self.suspected:
            self._wanted.set()

    def run(self):
        """Check the paths whenever they are suspected, until killed."""
        while True:
            self._wanted.wait()
            while self.suspected:
                self._check()
                if self.cut:
                    gevent.sleep(_CHECK_INTERVAL_S)
            self._wanted.clear()

    def reaches_others(self, instances):
        """Return whether any server but these accepts a connection.

        True if no other server is known.
        """
        others = [
            instance for instance in self._known() if instance not in instances
        ]
        if not others:
            return True
        result = self._connect_to_some(others, count=_TRIED_SERVERS, enough=1)
        return result is not None and result.accepted > 0

    def _check(self):
        result = self._connect_to_some(
            list(self._known()),
            count=_CHECKED_SERVERS,
            enough=_CHECKED_SERVERS if self.cut else 1,
        )
        if result is None:
            return
        self._refused = result.refused
        if not self._links.record_check(
            accepted=result.accepted, attempted=result.attempted
        ):
            return
        now = self._clock()
        if self.cut:
            self._cut_since = now
            self._events.notice(
                "servers-unreachable",
                silent=self._links.silent_count,
                checked=result.attempted,
            )
        else:
            self._events.notice(
                "servers-reachable",
                accepted=result.accepted,
                checked=result.attempted,
                after_ms=round((now - self._cut_since) * 1000),
            )
        self._on_change()

    def _connect_to_some(self, instances, *, count, enough):
        """Try new connections to some servers.

        Args:
          instances: list of the servers to choose from.
          count: largest number of servers to try.
          enough: number of accepted connections after which to return.
        Returns:
          _CheckResult, None if no server is known or this node was held up.
        """
        known = self._known()
        chosen = self._rng.sample(instances, min(len(instances), count))
        if not chosen:
            gevent.sleep(_CHECK_INTERVAL_S)
            return None
        started = self._clock()
        tasks = [
            gevent.spawn(self._connect, known[instance].registration.address)
            for instance in chosen
        ]
        accepted, refused = 0, False
        for task in gevent.iwait(tasks):
            accepted += task.value is _Outcome.ACCEPTED
            refused = refused or task.value is _Outcome.REFUSED
            if accepted >= enough:
                break
        if (
            not accepted
            and self._clock() - started > _CHECK_TIMEOUT_S + _MAX_DELAY_S
        ):
            return None
        return _CheckResult(
            accepted=accepted, attempted=len(chosen), refused=refused
        )

    def _connect(self, address):
        deadline = self._clock() + _CHECK_TIMEOUT_S
        try:
            connection = self._pool.checkout(
                address=address,
                limit=_CONNECTIONS_PER_SERVER,
                deadline=deadline,
                max_idle=-1.0,
            )
        except http1.ConnectFailed:
            if self._clock() < deadline:
                return _Outcome.REFUSED
            return _Outcome.SILENT
        self._pool.checkin(address, connection)
        return _Outcome.ACCEPTED
