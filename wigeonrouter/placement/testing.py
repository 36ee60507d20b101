"""Replays the load of two places with a node each, for tests of spill-over.

Each node sends its requests to the servers of its place, and to those of the
other one as `SpillOver` decides. Both know the other's requests at a server
from load reports, which are up to 100 ms old. The traffic, the service times
and which servers are slow come from seeded random numbers.
"""

import collections
import dataclasses
import heapq
import itertools
import math
import random

from wigeonrouter import core
from wigeonrouter.placement import _choice
from wigeonrouter.placement import _estimate
from wigeonrouter.placement import _records
from wigeonrouter.placement import _request_queue
from wigeonrouter.placement import _spill_over

_TARGET_S = 0.42
_DEADLINE_S = 1.5
_SERVICE_TIME_S = 0.15
_SLOTS = 3
_REPORT_INTERVAL_S = 0.1
_SLOW_PERIOD_S = 0.3
_SLOW_SHARE = 0.25
_SLOWDOWN = 4.0
_POLL_INTERVAL_S = 0.03
HEAD_SIZE = _request_queue.HEAD_SIZE


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Load:
    """A load pattern.

    Attributes:
      rates: requests per second of both places.
      swing: share by which a rate rises and falls, in opposite phases.
      period: seconds of a swing.
      servers: backend servers of each place.
      noisy: whether a quarter of the servers is slow.
      locality: how far the places are from each other.
      round_trip: seconds between them.
      seconds: duration of the traffic.
    """

    rates: tuple[float, float]
    swing: float = 0.0
    period: float = 15.0
    servers: tuple[int, int] = (10, 10)
    noisy: bool = False
    locality: _records.Locality = _records.Locality.REMOTE
    round_trip: float = 0.04
    seconds: float = 15.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Result:
    """What became of the requests.

    Attributes:
      left: requests that were sent to the other place, by their origin.
      in_time: requests that met their target latency.
      direct_swaps: requests that left one place within 200 ms of one that
        left the other.
      max_load: most requests at a server.
    """

    requests: int
    in_time: int
    left: tuple[int, int]
    direct_swaps: int
    max_load: int


class Replay:
    """Runs one Load.

    Args:
      load: Load.
      spills_over: whether spill-over is on. If not, each request goes where
        its own expected utility is highest.
      seed: seed of the random numbers.
    """

    def __init__(self, *, load, spills_over, seed=1):
        self._load = load
        self._rng = random.Random(seed)
        self._spills_over = spills_over
        self._events = []
        self._order = itertools.count()
        self._now = 0.0
        self._queues = ([], [])
        self._running = collections.Counter()
        self._own = collections.Counter()
        self._reports = [{}, {}]
        self._slow = set()
        self._left_at = ([], [])
        self._in_time = self._requests = self._max_load = 0
        self._servers = [
            (place, number)
            for place, count in enumerate(load.servers)
            for number in range(count)
        ]
        self._spill_over = [
            _spill_over.SpillOver(place=_place(place)) for place in (0, 1)
        ]

    def run(self):
        """Return the Result."""
        for place in (0, 1):
            self._schedule(0.0, self._arrive, place)
            self._schedule(0.0, self._poll, place)
        self._schedule(0.0, self._report)
        self._schedule(0.0, self._change_slow)
        while self._events:
            self._now, _, function, arguments = heapq.heappop(self._events)
            if self._now > self._load.seconds + _DEADLINE_S:
                break
            function(*arguments)
        return Result(
            requests=self._requests,
            in_time=self._in_time,
            left=tuple(len(times) for times in self._left_at),
            direct_swaps=_count_swaps(*self._left_at),
            max_load=self._max_load,
        )

    def _schedule(self, delay, function, *arguments):
        heapq.heappush(
            self._events,
            (self._now + delay, next(self._order), function, arguments),
        )

    def _rate(self, place):
        phase = math.tau * self._now / self._load.period + math.pi * place
        return self._load.rates[place] * (
            1.0 + self._load.swing * math.sin(phase)
        )

    def _arrive(self, place):
        if self._now > self._load.seconds:
            return
        self._schedule(
            self._rng.expovariate(self._rate(place)), self._arrive, place
        )
        self._requests += 1
        request = _records.PendingRequest(
            priority=1,
            idempotent=True,
            arrived=self._now,
            target_time=self._now + _TARGET_S,
            deadline=self._now + _DEADLINE_S,
        )
        self._queues[place].append(request)
        if not self._try_send(place, request):
            return
        self._queues[place].remove(request)

    def _poll(self, place):
        """Let the head of the queue look for a server."""
        if self._now <= self._load.seconds:
            self._schedule(_POLL_INTERVAL_S, self._poll, place)
        self._send_queued(place)

    def _send_queued(self, place):
        queue = self._queues[place]
        while queue and self._try_send(place, queue[0]):
            queue.pop(0)

    def _report(self):
        self._schedule(_REPORT_INTERVAL_S, self._report)
        for place in (0, 1):
            for server in self._servers:
                self._reports[place][server] = _records.LoadReport(
                    running=min(_SLOTS, self._running[server]),
                    queued=max(0, self._running[server] - _SLOTS),
                    slots=_SLOTS,
                    slowdown=self._slowdown(server),
                    received=self._now,
                    own_in_flight=self._own[place, server],
                )

    def _change_slow(self):
        self._schedule(_SLOW_PERIOD_S, self._change_slow)
        if self._load.noisy:
            self._slow = set(
                self._rng.sample(
                    self._servers, int(_SLOW_SHARE * len(self._servers))
                )
            )

    def _slowdown(self, server):
        return _SLOWDOWN if server in self._slow else 1.0

    def _views(self, place):
        return [
            _records.ServerView(
                instance=f"{server[0]}-{server[1]}",
                locality=(
                    _records.Locality.DOMAIN
                    if server[0] == place
                    else self._load.locality
                ),
                place=_place(
                    server[0],
                    one_region=self._load.locality is _records.Locality.REGION,
                ),
                slots=_SLOTS,
                in_flight=self._own[place, server],
                report=self._reports[place].get(server),
                round_trip=(
                    0.001 if server[0] == place else self._load.round_trip
                ),
            )
            for server in self._servers
        ]

    def _try_send(self, place, request):
        views = self._views(place)
        local = [
            view
            for view in views
            if view.locality is not _records.Locality.REMOTE
        ]
        remote = [
            view for view in views if view.locality is _records.Locality.REMOTE
        ]
        pick = self._choose_local(place, local, request)
        late = self._now > request.target_time - _SERVICE_TIME_S
        if remote and not self._spills_over:
            remote_pick = self._choose(remote, request)
            head = self._queues[place].index(request) < HEAD_SIZE
            if (
                head
                and (pick.view is None or pick.should_wait)
                and remote_pick.view is not None
                and remote_pick.expected_utility
                > max(
                    pick.expected_utility,
                    self._utility_of_waiting(place, request),
                )
            ):
                return self._send(place, request, remote_pick)
        elif remote:
            spill_over = self._spill_over[place]
            best_remote = _spill_over.best_utility(
                request=request,
                service_time=_SERVICE_TIME_S,
                fast_slowdown=1.0,
                round_trip=self._load.round_trip,
                now=self._now,
            )
            if not spill_over.needs_remote(pick, best_remote=best_remote):
                spill_over.stay(now=self._now)
            else:
                remote_pick = self._choose_remote(
                    place, views, remote, pick, request
                )
                if remote_pick.view is not None:
                    return self._send(place, request, remote_pick)
        if pick.view is not None and (late or not pick.should_wait):
            return self._send(place, request, pick)
        return False

    def _choose_local(self, place, views, request):
        if not self._spills_over:
            return self._choose(views, request)
        return self._spill_over[place].choose_local(
            views,
            choose=lambda candidates: self._choose(candidates, request),
            **self._demand(place),
        )

    def _choose_remote(self, place, views, remote, pick, request):
        waits = pick.view is None or pick.should_wait
        return self._spill_over[place].choose_remote(
            views,
            fresh=remote,
            choose=lambda candidates: self._choose(candidates, request),
            local_utility=max(
                pick.expected_utility,
                self._utility_of_waiting(place, request) if waits else 0.0,
            ),
            has_free_slot=not waits,
            **self._demand(place),
        )

    def _demand(self, place):
        return {
            "arrival_rate": self._rate(place),
            "busy_time": _SERVICE_TIME_S * self._mean_slowdown,
            "now": self._now,
        }

    @property
    def _mean_slowdown(self):
        return 1.0 + _SLOW_SHARE * (_SLOWDOWN - 1.0) * self._load.noisy

    def _utility_of_waiting(self, place, request):
        return _choice.utility_of_waiting(
            request=request,
            service_time=_SERVICE_TIME_S,
            mean_slowdown=self._mean_slowdown,
            fast_slowdown=1.0,
            now=self._now,
            ahead=self._queues[place].index(request),
            slots=_SLOTS * self._load.servers[place],
        )

    def _choose(self, views, request):
        return _choice.choose(
            views,
            request=request,
            service_time=_SERVICE_TIME_S,
            mean_slowdown=self._mean_slowdown,
            now=self._now,
            utilization=1.0,
        )

    def _send(self, place, request, pick):
        server = tuple(int(part) for part in pick.view.instance.split("-"))
        if server[0] != place:
            self._left_at[place].append(self._now)
        self._running[server] += 1
        self._own[place, server] += 1
        self._max_load = max(self._max_load, self._running[server])
        busy = self._rng.uniform(0.7, 1.3) * _SERVICE_TIME_S
        busy *= self._slowdown(server)
        busy *= max(1.0, self._running[server] / _SLOTS)
        if _estimate.is_nearly_full(self._running[server] - 1, _SLOTS):
            busy *= _estimate.NEARLY_FULL_SLOWDOWN
        self._schedule(
            busy + pick.view.round_trip, self._finish, place, server, request
        )
        return True

    def _finish(self, place, server, request):
        self._running[server] -= 1
        self._own[place, server] -= 1
        self._in_time += self._now <= request.target_time
        self._send_queued(place)


def _place(number, *, one_region=False):
    region = "r0" if one_region else f"r{number}"
    return core.Place(region=region, failure_domain=f"z{number}")


def _count_swaps(first, second):
    """Return how many requests left while others came from there."""
    return sum(
        any(abs(time - other) < 0.2 for other in second) for time in first
    )
