"""Decides which requests are held back because they crash servers.

Load pattern: a request ends each server that begins to run it, and comes again
with other ids at any node. Health checks only move it on to the servers that
still run. Servers also end for other reasons while they run requests, many of
them at once; a request that all callers send runs at each of them, and must
not be blamed.
"""

import collections
import enum

import xxhash

from wigeonrouter import core

# Servers that ended under a request until it is sent to one server at a time,
# and until it is not sent at all.
_CRASHES_TO_SUSPECT = 2
_CRASHES_TO_BLOCK = 3
# Nodes that see the same server end do so within this time.
_SAME_CRASH_S = 1.0
# Crashes count for this time, so that a request is tried again once the
# servers have been repaired.
CRASH_RETENTION_S = 600.0
# A request that succeeded within this time did not cause a crash.
_RECENT_SUCCESS_S = 2.0
# Limits of memory.
_MAX_SUCCESSES = 4_096
_MAX_REQUESTS = 1_024


class Standing(enum.Enum):
    """What is known of a request."""

    CLEAR = "clear"
    SUSPECTED = "suspected"
    BLOCKED = "blocked"


class CrashHistory:
    """Knows under which requests servers have ended.

    All times are seconds on the monotonic clock.
    """

    def __init__(self):
        # Dict from digest to a dict from the name of a crash to its time. The
        # request whose last crash is the oldest comes first.
        self._crashes = collections.OrderedDict()
        self._succeeded_at = collections.OrderedDict()
        # Number of requests at servers, by digest.
        self._in_flight = collections.Counter()

    @property
    def crashes(self):
        """Set of all Crashes that count."""
        return {
            core.Crash(digest=digest, name=name)
            for digest, times in self._crashes.items()
            for name in times
        }

    def standing(self, digest):
        """Return the Standing of a request."""
        crashes = len(self._crashes.get(digest, ()))
        if crashes >= _CRASHES_TO_BLOCK:
            return Standing.BLOCKED
        if crashes >= _CRASHES_TO_SUSPECT:
            return Standing.SUSPECTED
        return Standing.CLEAR

    def block_ends_after(self, digest, now):
        """Return the seconds until a blocked request is tried again."""
        times = sorted(self._crashes[digest].values())
        return max(0.0, times[-_CRASHES_TO_BLOCK] + CRASH_RETENTION_S - now)

    def try_begin(self, digest):
        """Return whether a request may be sent to a server now.

        A suspected one is sent only if no equal request is at a server. Each
        success has to be followed by end().
        """
        standing = self.standing(digest)
        if standing is Standing.BLOCKED:
            return False
        if standing is Standing.SUSPECTED and self._in_flight[digest]:
            return False
        self._in_flight[digest] += 1
        return True

    def end(self, digest):
        """Record that a request is no longer at a server."""
        self._in_flight[digest] -= 1
        if not self._in_flight[digest]:
            del self._in_flight[digest]

    def record_crash(self, digest, instance, now):
        """Record that a server ended while it ran a request.

        Args:
          digest: digest of the request.
          instance: instance of the server.
          now: the present time.
        Returns:
          The Crash, None if it is known already, or if equal requests succeed
          at other servers.
        """
        succeeded_at = self._succeeded_at.get(digest, float("-inf"))
        if now - succeeded_at <= _RECENT_SUCCESS_S:
            return None
        known = self._crashes.get(digest, {})
        server = xxhash.xxh3_64_hexdigest(instance.encode())
        times = [
            at for name, at in known.items() if name.startswith(f"{server}.")
        ]
        if times and now - max(times) < _SAME_CRASH_S:
            return None
        crash = core.Crash(digest=digest, name=f"{server}.{len(times)}")
        self.add(crash, now)
        return crash

    def add(self, crash, now):
        """Record a Crash that this node or another one has seen."""
        times = self._crashes.setdefault(crash.digest, {})
        times.setdefault(crash.name, now)
        self._crashes.move_to_end(crash.digest)
        if len(self._crashes) > _MAX_REQUESTS:
            self._crashes.popitem(last=False)

    def remove(self, crash):
        """Drop a Crash that no longer counts."""
        times = self._crashes.get(crash.digest, {})
        times.pop(crash.name, None)
        if not times:
            self._crashes.pop(crash.digest, None)

    def record_success(self, digest, now):
        """Record that a server has run a request to its end.

        Returns:
          The tuple of Crashes that no longer count.
        """
        self._succeeded_at[digest] = now
        self._succeeded_at.move_to_end(digest)
        if len(self._succeeded_at) > _MAX_SUCCESSES:
            self._succeeded_at.popitem(last=False)
        times = self._crashes.pop(digest, {})
        return tuple(core.Crash(digest=digest, name=name) for name in times)

    def expire(self, now):
        """Drop the crashes that are too old to count."""
        for digest in list(self._crashes):
            times = self._crashes[digest]
            self._crashes[digest] = {
                name: at
                for name, at in times.items()
                if now - at < CRASH_RETENTION_S
            }
            if not self._crashes[digest]:
                del self._crashes[digest]
