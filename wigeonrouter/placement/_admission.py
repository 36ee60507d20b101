"""Expected waits of queued requests, and load shedding.

Load pattern: after an outage all callers come back at once, and most of their
requests are already too late for their target time. Late requests only get
the capacity that the others leave. A request that cannot be served before its
deadline is rejected immediately, with a retry delay that says when there is
capacity again.
"""

import collections
import math

from wigeonrouter.placement import _estimate
from wigeonrouter.placement import _request_queue

# Bounds of the retry delay that rejected callers are given.
MIN_RETRY_AFTER_S = 0.05
MAX_RETRY_AFTER_S = 2.0
_MIN_JITTER = 0.5
_MAX_JITTER = 1.5
_RATE_WINDOW_S = 1.0
# Shorter periods since the first event give no usable rate, so at least this
# much time is assumed.
_MIN_RATE_WINDOW_S = 0.2
_MIN_LATE_RATE_PER_S = 1.0
# A late request is queued only if its expected wait is at most this share of
# the time left to its deadline.
_MAX_LATE_WAIT_SHARE = 0.4
# Interval of the requests that show whether servers have become faster.
_TRIAL_INTERVAL_S = 0.2


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


class TrialSchedule:
    """Admits a few requests of routes that no request can be served of.

    Load pattern: all servers of a service take longer than the timeout of a
    route, since they became slow or the timeout was lowered. Responses alone
    correct the estimate, so that some requests have to be sent.
    """

    def __init__(self):
        self._next_trials = {}

    def admit(self, route_name, now):
        """Return whether a request is to be sent, at `now` seconds."""
        if now < self._next_trials.get(route_name, float("-inf")):
            return False
        self._next_trials[route_name] = now + _TRIAL_INTERVAL_S
        return True


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
      slots: sum of usable_slots() of the servers.
    """
    if not ahead:
        return 0.0
    if slots <= 0.0:
        return math.inf
    return ahead * service_time * slowdown / slots


def spare_throughput(*, slots, service_time, slowdown, arrival_rate):
    """Return how many late requests per second there is capacity for.

    Late requests get the capacity that requests within their target time
    leave. The measured dispatch rate of late requests is no substitute: it
    says little while only a few requests were late.

    Args:
      slots: sum of usable_slots() of the servers in the own region.
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
    if rate <= 0.0:
        return math.inf
    return ahead / rate


def will_miss_target(request, *, wait, latency, now):
    """Return whether a request would wait until it misses its target time.

    Load pattern: all servers of a service name rate limits below the arrivals.
    If requests waited in the order of their target times, each would get a
    server when it is just too late. So only those wait that can get one in
    time; the others are late ones already.

    Args:
      request: PendingRequest.
      wait: expected seconds in the queue. A request that need not wait takes
        nothing from another one.
      latency: expected seconds from its sending to the response.
      now: seconds on the monotonic clock.
    """
    return wait > 0.0 and now + wait + latency > request.target_time


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


def next_check_time(request, *, service_time, now):
    """Return when the admission of a queued request has to be checked again.

    That is when it becomes late, and then when it can no longer be served
    before its deadline.

    Args:
      request: PendingRequest.
      service_time: undisturbed service time in seconds.
      now: seconds on the monotonic clock.
    """
    if _request_queue.is_late(request, service_time=service_time, now=now):
        return request.deadline - service_time
    return _request_queue.late_from(request, service_time)


def retry_after(*, wait, rng):
    """Return the seconds after which a rejected caller should retry.

    Jitter spreads callers that were rejected together over the time in which
    the queue drains.

    Args:
      wait: expected seconds in the queue.
      rng: random.Random.
    """
    mean = min(wait, MAX_RETRY_AFTER_S / _MAX_JITTER)
    jitter = rng.uniform(_MIN_JITTER, _MAX_JITTER)
    return max(MIN_RETRY_AFTER_S, mean * jitter)
