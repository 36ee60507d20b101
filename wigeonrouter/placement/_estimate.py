"""Estimates the response time of a backend server.

Load pattern: noisy neighbours on the hosts of backend servers make some of the
servers several times slower, and which ones are affected changes several times
a second. A load report states the current slowdown of a server. As the report
ages, the estimate moves to the mean slowdown of all servers.

A slowdown is a factor: the current service time divided by the service time on
an undisturbed server.

Load pattern: all servers of a service get slower together, as with a new
version or a slow database behind them. How fast a server may be expected to be
is therefore told by what servers reported lately, not by an undisturbed one.
"""

import collections
import math

# The slowdown of a host lasts about this long before it changes.
SLOWDOWN_REPORT_LIFETIME_S = 0.3
# Time constant for the decay of other nodes' requests in a report: they have
# completed after about this time.
FOREIGN_LOAD_DECAY_S = 0.3
# Slowdown of a server that is nearly full.
NEARLY_FULL_SLOWDOWN = 1.7
# Share of the slots in use above which a server is nearly full.
NEARLY_FULL_SHARE = 0.8
# Load of other nodes that has decayed below this number of requests has
# probably completed and is ignored.
_NEGLIGIBLE_FOREIGN_LOAD = 0.2
# Slowdown of a server in its slow start.
SLOW_START_SLOWDOWN = 2.0
# Mean slowdown until reports have arrived.
_INITIAL_SLOWDOWN = 1.5
_EWMA_WEIGHT = 0.05
# Latest load reports of which the fastest quarter counts as fast.
_COMPARED_REPORTS = 32
_FAST_SHARE = 0.25
# Factor by which the longest latency decays with each response.
_LONGEST_LATENCY_DECAY = 0.99
# Service time of a route as a share of its target latency, until responses
# have been measured.
_INITIAL_SERVICE_TIME_SHARE = 0.35
# Share of a route's timeout above which an estimate refuses all requests.
_MAX_TIMEOUT_SHARE = 0.9


class ServiceTimes:
    """Learns the service time of each route on an undisturbed server.

    Also keeps the mean slowdown of the servers; both are exponentially
    weighted moving averages. The longest latency of each route decays. The
    slowdown of a fast server is a quantile of the latest reports.
    """

    def __init__(self):
        self._service_times = {}
        self._longest_latencies = {}
        self._mean_slowdown = _INITIAL_SLOWDOWN
        self._latest_slowdowns = collections.deque(maxlen=_COMPARED_REPORTS)
        self._fast_slowdown = 1.0

    @property
    def mean_slowdown(self):
        """Moving average of the slowdowns in load reports."""
        return self._mean_slowdown

    @property
    def fast_slowdown(self):
        """Slowdown of the fast servers by the latest load reports, >= 1."""
        if self._fast_slowdown is None:
            ordered = sorted(self._latest_slowdowns)
            fast = ordered[int(len(ordered) * _FAST_SHARE)]
            self._fast_slowdown = max(1.0, fast)
        return self._fast_slowdown

    def service_time(self, route):
        """Return the undisturbed service time of a route in seconds."""
        known = self._service_times.get(route.name)
        if known is None:
            return route.target_latency * _INITIAL_SERVICE_TIME_SHARE
        return min(known, _MAX_TIMEOUT_SHARE * route.timeout)

    def exceeds_timeout(self, route):
        """Return whether requests take longer than the route's timeout."""
        known = self._service_times.get(route.name, 0.0)
        return known > _MAX_TIMEOUT_SHARE * route.timeout

    def record_service_time(self, route, seconds):
        """Add the undisturbed service time of one request in seconds."""
        if self.exceeds_timeout(route):
            # A response in time shows that the estimate is outdated.
            self._service_times[route.name] = seconds
            return
        previous = self.service_time(route)
        self._service_times[route.name] = previous + _EWMA_WEIGHT * (
            seconds - previous
        )

    def longest_latency(self, route):
        """Return the longest recent latency of a route at the servers.

        Returns:
          Seconds, None if the route had no response yet.
        """
        return self._longest_latencies.get(route.name)

    def record_latency(self, route, seconds):
        """Add the latency of one response, in seconds."""
        previous = self._longest_latencies.get(route.name, 0.0)
        self._longest_latencies[route.name] = max(
            seconds, previous * _LONGEST_LATENCY_DECAY
        )

    def record_slowdown(self, slowdown):
        """Add the slowdown of a load report."""
        self._mean_slowdown += _EWMA_WEIGHT * (slowdown - self._mean_slowdown)
        self._latest_slowdowns.append(slowdown)
        self._fast_slowdown = None


def expected_load(view, now):
    """Return the expected number of running and queued requests at a server.

    Requests of other nodes come from the latest report and decay with its age.
    """
    report = view.report
    if report is None:
        return float(view.in_flight)
    foreign = max(0, report.running + report.queued - report.own_in_flight)
    age = max(0.0, now - report.received)
    return view.in_flight + foreign * math.exp(-age / FOREIGN_LOAD_DECAY_S)


def usable_slots(view, *, service_time, mean_slowdown):
    """Return how many slots of a server this node can keep busy.

    With a rate limit, these are the requests that run at a time when they
    arrive at that rate.

    Args:
      view: ServerView.
      service_time: undisturbed service time in seconds.
      mean_slowdown: mean slowdown of all servers.
    """
    if view.rate_limit is None:
        return view.slots
    return min(view.slots, view.rate_limit * service_time * mean_slowdown)


def expected_slowdown(view, now, mean_slowdown):
    """Return the expected slowdown of a server.

    Args:
      view: ServerView.
      now: seconds on the monotonic clock.
      mean_slowdown: mean slowdown of all servers.
    """
    slowdown = mean_slowdown
    if view.report is not None:
        age = max(0.0, now - view.report.received)
        report_weight = max(0.0, 1.0 - age / SLOWDOWN_REPORT_LIFETIME_S)
        slowdown = (
            report_weight * view.report.slowdown
            + (1.0 - report_weight) * mean_slowdown
        )
    if now < view.slow_start_until:
        slowdown *= SLOW_START_SLOWDOWN
    return slowdown


def is_nearly_full(load, slots):
    """Return whether one more request would slow a server down.

    Args:
      load: expected number of requests at the server.
      slots: number of requests that it runs at once.
    """
    return load + 1 > NEARLY_FULL_SHARE * slots + _NEGLIGIBLE_FOREIGN_LOAD


def expected_latency(view, *, service_time, mean_slowdown, now):
    """Return the expected seconds to the response if a request is sent now.

    Args:
      view: ServerView.
      service_time: undisturbed service time in seconds.
      mean_slowdown: mean slowdown of all servers.
      now: seconds on the monotonic clock.
    """
    load = expected_load(view, now)
    busy_time = service_time * expected_slowdown(view, now, mean_slowdown)
    if is_nearly_full(load, view.slots):
        busy_time *= NEARLY_FULL_SLOWDOWN
    queued_ahead = max(0.0, load + 1 - view.slots)
    return view.round_trip + busy_time * (1.0 + queued_ahead / view.slots)


def undisturbed_service_time(*, latency, round_trip, slowdown, nearly_full):
    """Return the undisturbed service time in seconds behind a latency.

    Args:
      latency: seconds from sending the request to the response.
      round_trip: network round-trip time in seconds, part of the latency.
      slowdown: expected slowdown of the server when the request was sent.
      nearly_full: whether the server was nearly full then.
    """
    factor = slowdown * (NEARLY_FULL_SLOWDOWN if nearly_full else 1.0)
    return max(0.001, latency - round_trip) / factor
