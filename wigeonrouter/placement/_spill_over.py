"""Decides which requests leave the failure domain, and then the region.

Load pattern: traffic of a failure domain or region varies by over half within
seconds, in phases that differ from place to place, and a quarter of the
servers is several times slower at any moment, another quarter every 300 ms. So
one place has queues or only slow servers left while the next has free slots.

A request leaves if that raises its expected utility by more than the cost of
leaving. This alone would send all requests to the better place at once, from
several nodes, which then becomes the worse one. So the share of the requests
that may leave grows and shrinks gradually while the requests gain by leaving
or no longer do. The gain vanishes when the places are equally good, where the
share stays. It never exceeds what the free slots elsewhere can take. Where the
own place has no free slot at all, requests leave without regard to the share.
"""

import collections
import dataclasses

from wigeonrouter import limits
from wigeonrouter.placement import _choice
from wigeonrouter.placement import _estimate
from wigeonrouter.placement import _records

# Cost of leaving, as utility, for the bytes that are billed. The latency of
# the link is part of the expected response time. Within a region it is a tie
# breaker: one in 100 responses in time. Bytes between regions are several
# times as expensive.
LEAVING_COST = {
    _records.Locality.REGION: 0.01,
    _records.Locality.REMOTE: 0.05,
}
# Time constant of the average gain. It spans two periods of the slow servers,
# whose change must not move the share.
_GAIN_TIME_CONSTANT_S = 0.6
# Speed of the share. It follows a swing of the traffic within seconds, but
# needs several of the intervals after which load reports show its effect.
_GROWTH_PER_S = 0.5
_SHRINKAGE_PER_S = 0.5
# Share with which requests begin to leave.
_FIRST_SHARE = 0.05
# Share of the slots in use elsewhere, mostly by other nodes' requests, above
# which none is free: those that seem so are about to be taken from there. Two
# places that are both full would else swap their requests.
_FULL_UTILIZATION = 0.85
_FOREIGN_MAJORITY = 0.5
# Requests that may leave together after a time in which none had to.
_MAX_CREDIT = 4.0
# Longest time between two requests that counts for the share.
_MAX_INTERVAL_S = 0.5


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Demand:
    """The requests of a service at a node, and where they could go.

    Attributes:
      arrival_rate: requests per second.
      busy_time: seconds for which a request occupies a slot.
      free_slots: free slots outside, as far as is known.
    """

    arrival_rate: float
    busy_time: float
    free_slots: float

    @property
    def max_share(self):
        """Share of the requests that the free slots can take."""
        needed = self.arrival_rate * self.busy_time
        return min(1.0, self.free_slots / needed) if needed > 0.0 else 1.0


NO_DEMAND = Demand(arrival_rate=0.0, busy_time=0.0, free_slots=0.0)


class SpillOverThrottle:
    """Limits the share of a service's requests that leaves a place.

    Args:
      cost: cost of leaving, as utility.
    """

    def __init__(self, *, cost):
        self._cost = cost
        self._share = 0.0
        self._credit = 0.0
        self._gain = 0.0
        self._updated = None

    @property
    def share(self):
        """Share of the requests that may leave, from 0 to 1."""
        return self._share

    def may_leave(self, *, gain, has_free_slot, demand, now):
        """Decide whether a request leaves, and adapt the share.

        Args:
          gain: expected utility of the best server outside less that of the
            best one inside, or of waiting for one.
          has_free_slot: whether the request could be sent inside now.
          demand: Demand.
          now: seconds on the monotonic clock, not decreasing.
        """
        self._adapt(gain, demand, now)
        if demand.free_slots < 1.0 or gain <= self._cost:
            return False
        if not has_free_slot:
            return True
        if self._credit < 1.0:
            return False
        self._credit -= 1.0
        return True

    def _adapt(self, gain, demand, now):
        if self._updated is None:
            self._updated = now
        elapsed = min(_MAX_INTERVAL_S, now - self._updated)
        self._updated = now
        weight = elapsed / (elapsed + _GAIN_TIME_CONSTANT_S)
        self._gain += weight * (max(0.0, gain) - self._gain)
        if self._gain > self._cost:
            self._share = max(_FIRST_SHARE, self._share)
            self._share += _GROWTH_PER_S * elapsed
        elif self._gain < self._cost * limits.STOP_PRICE_RATIO:
            self._share = max(0.0, self._share - _SHRINKAGE_PER_S * elapsed)
        self._share = min(self._share, demand.max_share)
        self._credit = min(
            _MAX_CREDIT,
            self._credit + self._share * demand.arrival_rate * elapsed,
        )


def free_slots(views, now):
    """Return the number of free slots at servers, by their expected load."""
    return sum(
        max(0.0, view.slots - _estimate.expected_load(view, now))
        for view in views
    )


def is_taken(views, now):
    """Return whether other nodes need all slots of some servers.

    Args:
      views: ServerViews of another place. Those without a recent load report
        say nothing of other nodes' requests.
      now: seconds on the monotonic clock.
    """
    reports = [
        view.report
        for view in views
        if view.report is not None
        and now - view.report.received < _estimate.SLOWDOWN_REPORT_LIFETIME_S
    ]
    # The load is not taken as decaying with the age of the reports, since
    # other requests take the place of those that have been completed.
    load = sum(report.running + report.queued for report in reports)
    if load <= _FULL_UTILIZATION * sum(report.slots for report in reports):
        return False
    own = sum(report.own_in_flight for report in reports)
    return load - own > _FOREIGN_MAJORITY * load


def gross_utility(pick):
    """Return the expected utility of a Pick without the cost of its place."""
    if pick.view is None:
        return 0.0
    return pick.expected_utility + _choice.LOCALITY_COST[pick.view.locality]


def best_utility(*, request, service_time, fast_slowdown, round_trip, now):
    """Return the expected utility of a free and fast server elsewhere.

    Args:
      request: PendingRequest.
      service_time: undisturbed service time in seconds.
      fast_slowdown: slowdown of the fast servers.
      round_trip: seconds to the closest of the servers and back.
      now: seconds on the monotonic clock.
    """
    return _choice.response_utility(
        seconds=round_trip + service_time * fast_slowdown,
        request=request,
        now=now,
    )


def find_spare(views, *, fresh, region, now):
    """Return the servers of other regions that may take over requests.

    The last slots of each server are left to its own region, since load
    reports are a round trip old. So are most slots of the whole region, which
    would else be the next one to be overloaded.

    Args:
      views: all ServerViews of the service.
      fresh: those of other regions with fresh reports.
      region: region of this node.
      now: seconds on the monotonic clock.
    """
    remote_slots = limits.count_remote_slots(servers=views, region=region)
    if not remote_slots:
        # No server is local, so there is no place to stay.
        return fresh
    if is_taken(fresh, now):
        return []
    in_flight = collections.Counter()
    for view in views:
        in_flight[view.place.region] += view.in_flight
    full = {
        name
        for name, slots in remote_slots.items()
        if in_flight[name]
        >= limits.remote_request_limit(
            slots=slots, regions=1 + len(remote_slots)
        )
    }
    return [
        view
        for view in fresh
        if view.place.region not in full
        and not _estimate.is_nearly_full(
            _estimate.expected_load(view, now), view.slots
        )
    ]


class SpillOver:
    """Decides for one service which requests leave this node's place.

    Args:
      place: core.Place of this node.
    """

    def __init__(self, *, place):
        self._place = place
        self._throttles = {
            locality: SpillOverThrottle(cost=cost)
            for locality, cost in LEAVING_COST.items()
        }

    @property
    def shares(self):
        """Dict from Locality to the share of requests that may go there."""
        return {
            locality: throttle.share
            for locality, throttle in self._throttles.items()
        }

    def choose_local(self, views, *, choose, arrival_rate, busy_time, now):
        """Choose a server of the own failure domain or region.

        Args:
          views: ServerViews of the region.
          choose: function from a list of ServerViews to a Pick.
          arrival_rate: requests of the service per second at this node.
          busy_time: seconds for which a request occupies a slot.
          now: seconds on the monotonic clock.
        Returns:
          Pick.
        """
        inside, outside = [], []
        for view in views:
            in_domain = view.locality is _records.Locality.DOMAIN
            (inside if in_domain else outside).append(view)
        inner = choose(inside)
        if inside and is_taken(outside, now):
            return inner
        outer = choose(outside)
        leaves = self._throttles[_records.Locality.REGION].may_leave(
            gain=gross_utility(outer) - gross_utility(inner),
            has_free_slot=inner.view is not None and not inner.should_wait,
            demand=Demand(
                arrival_rate=arrival_rate,
                busy_time=busy_time,
                free_slots=free_slots(outside, now),
            ),
            now=now,
        )
        if inner.view is None or (leaves and outer.view is not None):
            return outer
        return inner

    def needs_remote(self, pick, *, best_remote):
        """Return whether a request may gain by leaving the region.

        Only then are other regions looked at: their load reports are bytes
        between regions.

        Args:
          pick: Pick of choose_local().
          best_remote: best_utility() of other regions.
        """
        cost = LEAVING_COST[_records.Locality.REMOTE]
        return (
            pick.view is None
            or pick.should_wait
            or gross_utility(pick) < best_remote - cost
        )

    def stay(self, *, now):
        """Record that a request gains nothing by leaving the region."""
        self._throttles[_records.Locality.REMOTE].may_leave(
            gain=0.0, has_free_slot=True, demand=NO_DEMAND, now=now
        )

    def choose_remote(
        self,
        views,
        *,
        fresh,
        choose,
        local_utility,
        has_free_slot,
        arrival_rate,
        busy_time,
        now,
    ):
        """Choose a server of another region.

        Args:
          views: all ServerViews of the service.
          fresh: those of other regions that the request may use and that
            have fresh reports.
          choose: function from a list of ServerViews to a Pick.
          local_utility: expected utility of staying, at once or by waiting.
          has_free_slot: whether the request can be sent in the region now.
          arrival_rate, busy_time, now: as in choose_local().
        Returns:
          Pick; without a server if the request stays.
        """
        spare = find_spare(
            views, fresh=fresh, region=self._place.region, now=now
        )
        pick = choose(spare)
        leaves = self._throttles[_records.Locality.REMOTE].may_leave(
            gain=gross_utility(pick) - local_utility,
            has_free_slot=has_free_slot,
            demand=Demand(
                arrival_rate=arrival_rate,
                busy_time=busy_time,
                free_slots=free_slots(spare, now),
            ),
            now=now,
        )
        return pick if leaves else _choice.Pick(view=None)
