"""Priority order of queued requests, and load shedding.

Load pattern: after an outage all callers come back at once, and most of their
requests are already too late for their target time. Requests that can still
meet the target time are served first, by priority and then by target time;
late requests get the remaining capacity. A request that cannot be served
before its deadline is rejected immediately, with a retry delay that says when
there is capacity again.
"""

import collections

from wigeonrouter.placement import _estimate

# Bounds of the retry delay that rejected callers are given.
MIN_RETRY_AFTER_S = 0.05
MAX_RETRY_AFTER_S = 2.0
# Number of requests at the head of the queue that may look for a server at the
# same time.
HEAD_SIZE = 4
_RATE_WINDOW_S = 1.0
# Shorter periods since the first event give no usable rate, so at least this
# much time is assumed.
_MIN_RATE_WINDOW_S = 0.2
_MIN_LATE_RATE_PER_S = 1.0
# A late request is queued only if its expected wait is at most this share of
# the time left to its deadline.
_MAX_LATE_WAIT_SHARE = 0.4


def is_late(request, *, service_time, now):
    """Return whether a request can no longer meet its target time.

    Args:
      request: PendingRequest.
      service_time: undisturbed service time in seconds.
      now: seconds on the monotonic clock.
    """
    return request.target_time - now < service_time


def rank(request, *, service_time, now):
    """Return the sort key of a queued request; the smallest is served first.

    Late requests come after all others. Both groups are ordered by priority,
    then by target time, or by deadline for late requests.
    """
    if is_late(request, service_time=service_time, now=now):
        return (1, request.priority, request.deadline)
    return (0, request.priority, request.target_time)


class RequestQueue:
    """Priority queue of the requests of one service."""

    def __init__(self):
        self._entries = {}

    def __len__(self):
        return len(self._entries)

    def add(self, entry, request, service_time):
        """Add a PendingRequest under an entry, which is any hashable object.

        Args:
          entry: key for head() and remove().
          request: PendingRequest.
          service_time: undisturbed service time in seconds.
        """
        self._entries[entry] = (request, service_time)

    def remove(self, entry):
        """Remove an entry; no effect if it is not queued."""
        self._entries.pop(entry, None)

    def head(self, now):
        """Return the first entries in order; these may look for a server."""
        ranked = sorted(
            self._entries.items(),
            key=lambda item: rank(
                item[1][0], service_time=item[1][1], now=now
            ),
        )
        return [entry for entry, _ in ranked[:HEAD_SIZE]]

    def count_late(self, now):
        """Return how many queued requests can no longer meet their target."""
        return sum(
            is_late(request, service_time=service_time, now=now)
            for request, service_time in self._entries.values()
        )

    def count_ahead(self, request, service_time, now):
        """Return how many queued requests would be served before a new one."""
        own_rank = rank(request, service_time=service_time, now=now)
        return sum(
            rank(other, service_time=other_service_time, now=now) <= own_rank
            for other, other_service_time in self._entries.values()
        )


class SlidingWindowRate:
    """Measures the rate of events over a sliding window.

    Args:
      window: length of the window in seconds.
      minimum: lower bound of the rate, events per second.
    """

    def __init__(self, *, window, minimum=0.0):
        self._window = window
        self._minimum = minimum
        self._times = collections.deque()
        self._first_event = None

    def record(self, now):
        """Count one event."""
        if self._first_event is None:
            self._first_event = now
        self._times.append(now)

    def per_second(self, now):
        """Return the events per second in the window that ends at `now`."""
        while self._times and self._times[0] < now - self._window:
            self._times.popleft()
        if self._first_event is None:
            return self._minimum
        covered = min(
            self._window, max(_MIN_RATE_WINDOW_S, now - self._first_event)
        )
        return max(self._minimum, len(self._times) / covered)


def late_dispatch_rate():
    """Return a SlidingWindowRate for late requests that get a server."""
    return SlidingWindowRate(
        window=_RATE_WINDOW_S, minimum=_MIN_LATE_RATE_PER_S
    )


def expected_wait(*, ahead, service_time, slowdown, slots):
    """Return the seconds until the queued requests ahead have got slots.

    Args:
      ahead: number of queued requests that are served first.
      service_time: undisturbed service time in seconds.
      slowdown: mean slowdown of the servers.
      slots: number of slots of the servers.
    """
    return ahead * service_time * slowdown / max(1, slots)


def spare_throughput(*, slots, service_time, slowdown, arrival_rate):
    """Return how many late requests per second there is capacity for.

    Late requests get the capacity that requests within their target time
    leave. The measured dispatch rate of late requests is no substitute: it
    says little while only a few requests were late.

    Args:
      slots: slots of the servers in the own region.
      service_time: undisturbed service time in seconds.
      slowdown: mean slowdown of the servers.
      arrival_rate: requests per second that can still meet their target time.
    """
    busy_time = service_time * slowdown * _estimate.NEARLY_FULL_SLOWDOWN
    return max(0.0, slots / busy_time - arrival_rate)


def expected_late_wait(*, ahead, rate):
    """Return the seconds until a late request gets a server.

    Args:
      ahead: number of late requests that are served before it.
      rate: late requests per second that get a server.
    """
    return ahead / rate


def should_reject(request, *, wait, service_time, now):
    """Return whether a request cannot be served before its deadline.

    Args:
      request: PendingRequest.
      wait: expected seconds in the queue.
      service_time: undisturbed service time in seconds.
      now: seconds on the monotonic clock.
    """
    return now + wait + service_time > request.deadline


def should_reject_late(request, *, wait, now):
    """Return whether the caller of a late request should retry later instead.

    Args:
      request: PendingRequest.
      wait: expected seconds in the queue.
      now: seconds on the monotonic clock.
    """
    return wait > _MAX_LATE_WAIT_SHARE * (request.deadline - now)


def retry_after(*, wait, rng):
    """Return the seconds after which a rejected caller should retry.

    Jitter spreads callers that were rejected together over the time in which
    the queue drains.

    Args:
      wait: expected seconds in the queue.
      rng: random.Random.
    """
    jitter = rng.uniform(0.5, 1.5)
    return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait * jitter))
