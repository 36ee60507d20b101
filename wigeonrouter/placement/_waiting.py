"""Order of waiting requests, and which are turned away at once.

Load pattern: after an outage all callers come back together, most of them
too late to be answered in time. Requests that can still be in time go
first, the most urgent of them before others; late ones use what is left. A
request that cannot be served before its caller gives up is turned away at
once, with the time at which there is room again.
"""

import collections

# Bounds of the time after which callers are asked to return.
MIN_RETRY_AFTER_S = 0.05
MAX_RETRY_AFTER_S = 2.0
# Requests at the head of the line that may look for a server at once.
HEAD = 4
_RATE_WINDOW_S = 1.0
_MIN_LATE_RATE = 1.0
# Late requests wait only while a server is expected within this part of the
# time that is left.
_LATE_SHARE = 0.4


def is_late(job, *, work, now):
    """Return whether a request can no longer be answered in time."""
    return job.target - now < work


def rank(job, *, work, now):
    """Return the sort key of a waiting request, the next one smallest."""
    if is_late(job, work=work, now=now):
        return (1, job.priority, job.give_up)
    return (0, job.priority, job.target)


class WaitingLine:
    """Owns the waiting requests of one service."""

    def __init__(self):
        self._entries = {}

    def __len__(self):
        return len(self._entries)

    def add(self, entry, job, work):
        """Add an entry (any hashable object) for a Job."""
        self._entries[entry] = (job, work)

    def remove(self, entry):
        """Remove an entry; no effect where it has gone."""
        self._entries.pop(entry, None)

    def head(self, now):
        """Return the entries that may look for a server now, in order."""
        ranked = sorted(
            self._entries.items(),
            key=lambda item: rank(item[1][0], work=item[1][1], now=now),
        )
        return [entry for entry, _ in ranked[:HEAD]]

    def count_late(self, now):
        """Return how many waiting requests can no longer be in time."""
        return sum(
            is_late(job, work=work, now=now)
            for job, work in self._entries.values()
        )

    def ahead(self, job, work, now):
        """Return how many waiting requests go before a new one."""
        own = rank(job, work=work, now=now)
        return sum(
            rank(other, work=other_work, now=now) <= own
            for other, other_work in self._entries.values()
        )


class LateRate:
    """Counts how many late requests get a server in a second."""

    def __init__(self):
        self._times = collections.deque()

    def on_placed(self, now):
        """Count a late request that got a server."""
        self._times.append(now)

    def per_second(self, now):
        """Return the recent rate, at least a small one."""
        while self._times and self._times[0] < now - _RATE_WINDOW_S:
            self._times.popleft()
        return max(_MIN_LATE_RATE, len(self._times) / _RATE_WINDOW_S)


def expected_wait(*, ahead, work, slowness, slots):
    """Return the seconds until the requests ahead have got their slots."""
    return ahead * work * slowness / max(1, slots)


def late_wait(*, ahead, rate):
    """Return the seconds until a late request gets a server.

    Args:
      ahead: late requests that go before it.
      rate: late requests that get a server in a second.
    """
    return ahead / rate


def turn_away(job, *, wait, work, now):
    """Return whether a request cannot be served before it is given up."""
    return now + wait + work > job.give_up


def turn_late_away(job, *, wait, now):
    """Return whether a late request should rather come back later."""
    return wait > _LATE_SHARE * (job.give_up - now)


def retry_after(*, wait, rng):
    """Return after how many seconds a caller should return.

    Callers that were turned away together are spread over the time in
    which the line empties.
    """
    spread = rng.uniform(0.5, 1.5)
    return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait * spread))
