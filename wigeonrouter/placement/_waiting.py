"""Order of waiting requests, and which are turned away at once.

Load pattern: after an outage all callers come back together, most of them
too late to be answered in time. Requests that can still be in time go
first, the most urgent of them before others; late ones use what is left. A
request that cannot be served before its caller gives up is turned away at
once, with the time at which there is room again.
"""

import collections

from wigeonrouter.placement import _estimate

# Bounds of the time after which callers are asked to return.
MIN_RETRY_AFTER_S = 0.05
MAX_RETRY_AFTER_S = 2.0
# Requests at the head of the line that may look for a server at once.
HEAD = 4
_RATE_WINDOW_S = 1.0
# A rate is not told from less time after the first event.
_LEAST_WINDOW_S = 0.2
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


class RecentRate:
    """Counts how often something happens.

    Args:
      window: seconds that are looked back.
      least: rate that is assumed at least, per second.
    """

    def __init__(self, *, window, least=0.0):
        self._window = window
        self._least = least
        self._times = collections.deque()
        self._first = None

    def count(self, now):
        """Count one more."""
        if self._first is None:
            self._first = now
        self._times.append(now)

    def per_second(self, now):
        """Return the recent rate."""
        while self._times and self._times[0] < now - self._window:
            self._times.popleft()
        if self._first is None:
            return self._least
        seen = min(self._window, max(_LEAST_WINDOW_S, now - self._first))
        return max(self._least, len(self._times) / seen)


def late_rate():
    """Return a RecentRate for late requests that get a server."""
    return RecentRate(window=_RATE_WINDOW_S, least=_MIN_LATE_RATE)


def expected_wait(*, ahead, work, slowness, slots):
    """Return the seconds until the requests ahead have got their slots."""
    return ahead * work * slowness / max(1, slots)


def spare_rate(*, slots, work, slowness, arrivals):
    """Return how many late requests find room in a second.

    Late requests get what those that can be in time leave over. How many
    were placed lately says little where few were late so far.

    Args:
      slots: slots of the near servers.
      work: undisturbed seconds of work.
      slowness: average slowness of the servers.
      arrivals: requests in a second that can be in time.
    """
    busy = work * slowness * _estimate.FULL_SLOWNESS
    return max(0.0, slots / busy - arrivals)


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
