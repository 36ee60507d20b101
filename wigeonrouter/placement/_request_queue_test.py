"""Tests of the order of queued requests and of the cost of keeping it."""

import hypothesis
from hypothesis import strategies
import pytest

from wigeonrouter import placement

SERVICE_TIME_S = 0.16
_TIMES_S = strategies.floats(min_value=0.0, max_value=4.0)


def test_requests_within_target_go_before_late_ones(make_request, now):
    """Guards against serving the oldest requests first after an outage.

    When all callers return together, most of their requests are late and a few
    are new.
    """
    queue = placement.RequestQueue()
    for index in range(20):
        queue.add(
            f"late {index}",
            make_request(target_time=-0.1 * index),
            SERVICE_TIME_S,
        )
    queue.add("fresh", make_request(target_time=0.4), SERVICE_TIME_S)
    assert queue.head(now)[0] == "fresh"
    assert queue.count_late(now) == 20


def test_requests_of_higher_priority_go_first(make_request, now):
    """Guards against low priority requests delaying those of high priority."""
    queue = placement.RequestQueue()
    queue.add(
        "usual", make_request(target_time=0.3, priority=2), SERVICE_TIME_S
    )
    queue.add(
        "urgent", make_request(target_time=0.4, priority=0), SERVICE_TIME_S
    )
    assert queue.head(now) == ["urgent", "usual"]


def test_late_requests_go_by_deadline(make_request, now):
    """Guards against requests that expire while others could still wait."""
    queue = placement.RequestQueue()
    queue.add(
        "long", make_request(target_time=-1, deadline=2.0), SERVICE_TIME_S
    )
    queue.add(
        "short", make_request(target_time=-1, deadline=0.5), SERVICE_TIME_S
    )
    assert queue.head(now) == ["short", "long"]


def test_removed_request_is_no_longer_queued(make_request, now):
    """Guards against a slot for a request whose caller has disconnected."""
    queue = placement.RequestQueue()
    queue.add("gone", make_request(), SERVICE_TIME_S)
    queue.remove("gone")
    assert not queue.head(now) and len(queue) == 0


def _expected_order(requests, now):
    """Sort entries the way that the docstring of the queue promises."""

    def rank(entry):
        request = requests[entry]
        if now > request.target_time - SERVICE_TIME_S:
            return (1, request.priority, request.deadline, entry)
        return (0, request.priority, request.target_time, entry)

    return sorted(requests, key=rank)


@hypothesis.given(
    arrivals=strategies.lists(
        strategies.tuples(strategies.integers(0, 3), _TIMES_S, _TIMES_S),
        max_size=30,
    ),
    steps=strategies.lists(
        strategies.tuples(_TIMES_S, strategies.integers(0, 29)), max_size=10
    ),
)
def test_order_is_that_of_sorting_all_requests(arrivals, steps):
    """Guards against an order that differs from sorting at each release.

    Requests become late while they are queued, and any of them may leave.
    """
    queue = placement.RequestQueue()
    requests = {}
    for entry, (priority, target_time, deadline) in enumerate(arrivals):
        requests[entry] = placement.PendingRequest(
            priority=priority,
            idempotent=True,
            arrived=0.0,
            target_time=target_time,
            deadline=deadline,
        )
        queue.add(entry, requests[entry], SERVICE_TIME_S)
    now = 0.0
    for step, leaving in steps:
        now += step
        expected = _expected_order(requests, now)
        assert queue.head(now) == expected[:4]
        late = [
            entry
            for entry, request in requests.items()
            if now > request.target_time - SERVICE_TIME_S
        ]
        assert queue.count_late(now) == len(late)
        for entry, request in requests.items():
            assert queue.count_ahead(request, SERVICE_TIME_S, now) >= (
                expected.index(entry) + 1
            )
        queue.remove(leaving)
        requests.pop(leaving, None)
        assert len(queue) == len(requests)


class _CountingRequest:
    """A PendingRequest that counts how often it is looked at."""

    def __init__(self, request):
        self._request = request
        self.reads = 0

    def __getattr__(self, name):
        self.reads += 1
        return getattr(self._request, name)


@pytest.mark.parametrize("queued", [10, 400, 5_000])
def test_a_release_does_not_look_at_every_queued_request(
    make_request, now, queued
):
    """Guards against a cost of each release that grows with the queue.

    Sorting 1,000 queued requests at each release and poll took more processor
    time than a VM has.
    """
    queue = placement.RequestQueue()
    requests = [
        _CountingRequest(make_request(target_time=0.2 + 0.001 * number))
        for number in range(queued)
    ]
    for number, request in enumerate(requests):
        queue.add(number, request, SERVICE_TIME_S)
    before = sum(request.reads for request in requests)
    queue.head(now)
    queue.count_ahead(make_request(), SERVICE_TIME_S, now)
    queue.count_late(now)
    queue.remove(0)
    reads = sum(request.reads for request in requests) - before
    assert reads <= 100


def test_request_becomes_late_while_it_is_queued(make_request, now):
    """Guards against a late request that keeps its place at the head."""
    queue = placement.RequestQueue()
    queue.add("urgent", make_request(priority=0), SERVICE_TIME_S)
    queue.add(
        "patient", make_request(priority=3, target_time=2.0), SERVICE_TIME_S
    )
    assert queue.head(now) == ["urgent", "patient"]
    assert queue.head(now + 0.3) == ["patient", "urgent"]
