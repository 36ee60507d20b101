"""Replays load patterns of overload against the queue, without a network.

The replay has a fixed number of slots. Each one that becomes free gets the
head of the queue, and requests are given up at their deadline.
"""

import collections
import dataclasses
import heapq
import itertools
import random

import pytest

from wigeonrouter import placement

SLOTS = 8
DURATION_S = 40.0


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class _Kind:
    """Requests that arrive at random; times in seconds."""

    name: str
    rate: float
    service_time: float = 0.1
    target: float = 0.4
    timeout: float = 1.5
    priority: int = 1
    tenant: str = ""
    tenant_priority: int = 0


def _arrivals(kinds, seed):
    """Return triples: time, order and _Kind."""
    rng = random.Random(seed)
    arrivals = []
    for kind in kinds:
        time = rng.expovariate(kind.rate)
        while time < DURATION_S:
            arrivals.append((time, len(arrivals), kind))
            time += rng.expovariate(kind.rate)
    return sorted(arrivals, key=lambda arrival: arrival[:2])


def _pending(kind, now):
    return placement.PendingRequest(
        priority=kind.priority,
        idempotent=True,
        arrived=now,
        target_time=now + kind.target,
        deadline=now + kind.timeout,
        tenant=kind.tenant,
        tenant_priority=kind.tenant_priority,
    )


def _replay(kinds, seed=1):
    """Return two Counters by name: requests served in time, and served."""
    queue, order = placement.RequestQueue(), itertools.count()
    in_time, served = collections.Counter(), collections.Counter()
    waiting, events, free = {}, [], SLOTS
    for time, _, kind in _arrivals(kinds, seed):
        heapq.heappush(events, (time, next(order), kind))
    while events:
        now, entry, kind = heapq.heappop(events)
        if kind is None:
            free += 1
        else:
            request = _pending(kind, now)
            waiting[entry] = (request, kind)
            queue.add(entry, request, kind.service_time)
        expired = [e for e, (r, _) in waiting.items() if r.deadline < now]
        for entry in expired:
            queue.remove(entry)
            queue.record_end(waiting.pop(entry)[0], served=False, now=now)
        while free and len(queue):
            entry = queue.head(now)[0]
            queue.dispatch(entry)
            request, kind = waiting.pop(entry)
            queue.record_end(request, served=True, now=now)
            free -= 1
            end = now + kind.service_time
            served[kind.name] += 1
            in_time[kind.name] += end <= request.target_time
            heapq.heappush(events, (end, next(order), None))
    return in_time, served


def _shares(counts, kinds, seed=1):
    """Return a dict from name to the share of its requests that count."""
    arrived = collections.Counter(
        kind.name for _, _, kind in _arrivals(kinds, seed)
    )
    return {name: counts[name] / arrived[name] for name in arrived}


def test_tenant_beyond_its_share_waits_behind_the_others():
    """Guards against a tenant that takes the slots of all others.

    It sends 20 times as many requests as each of four others.
    """
    kinds = [_Kind(name="heavy", tenant="heavy", rate=100.0)] + [
        _Kind(name=f"t{number}", tenant=f"t{number}", rate=5.0)
        for number in range(4)
    ]
    shares = _shares(_replay(kinds)[0], kinds)
    assert min(shares[f"t{number}"] for number in range(4)) > 0.95
    assert shares["heavy"] > 0.4


def test_tenants_of_higher_priority_go_first():
    """Guards against a route priority that goes before that of the tenant."""
    kinds = [
        _Kind(name="paying", tenant="a", rate=60.0, priority=3),
        _Kind(
            name="free", tenant="b", rate=60.0, priority=0, tenant_priority=1
        ),
    ]
    shares = _shares(_replay(kinds)[0], kinds)
    assert shares["paying"] > 0.95 > shares["free"]


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize(
    "kinds",
    [
        # A high priority alone is more than the servers can do.
        [
            _Kind(name="high", rate=120.0, priority=0),
            _Kind(name="low", rate=20.0, priority=2),
        ],
        [
            _Kind(name="high", rate=90.0, tenant="a"),
            _Kind(name="low", rate=60.0, tenant="b", tenant_priority=1),
        ],
        # Equal shares of slots would serve each tenth request of the first.
        [_Kind(name="high", rate=200.0, tenant="t0")]
        + [
            _Kind(name="other", rate=10.0, tenant=f"t{number}")
            for number in range(1, 8)
        ],
    ],
)
def test_no_class_is_served_less_than_a_quarter_as_often_as_all(kinds, seed):
    """Guards against starvation by priority, and by equal shares."""
    served = _replay(kinds, seed)[1]
    shares = _shares(served, kinds, seed)
    arrived = len(_arrivals(kinds, seed))
    assert min(shares.values()) > 0.25 * sum(served.values()) / arrived


def test_starved_class_gets_no_more_than_it_has_to():
    """Guards against a guard that turns the priorities around."""
    kinds = [
        _Kind(name="high", rate=120.0, priority=0),
        _Kind(name="low", rate=120.0, priority=2),
    ]
    shares = _shares(_replay(kinds)[1], kinds)
    assert shares["high"] > 1.7 * shares["low"]


def test_guard_does_nothing_while_all_are_served():
    """Guards against a change of order without overload."""
    kinds = [
        _Kind(name="high", rate=40.0, priority=0),
        _Kind(name="low", rate=20.0, priority=2),
    ]
    assert min(_shares(_replay(kinds)[0], kinds).values()) > 0.99
