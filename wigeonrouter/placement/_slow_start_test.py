"""Tests of the slow starts of servers and their limit over all nodes."""

import math

import pytest

from wigeonrouter import placement

# As in the first deployment that limits cold servers.
RATE_PER_S = 7.6
OVERAGE = 1.5
SLACK = 8.0
DURATION_S = 3.0
STEP_S = 0.01
KEY = ("server", 1)


class Node:
    """A node that has requests for a cold server all the time.

    Args:
      share: share of the limit that it uses, 0 for no home.
      since: time from which it has this share.
      local: whether it is in the server's region.
    """

    def __init__(self, *, rule, share=1.0, since=-100.0, local=True):
        self._limits = placement.RateLimits()
        self._limits.set_slow_start("server", rate=rule.rate, until=1000.0)
        self._limits.set_share(share, since)
        self._local = local
        self.sent = []

    def set_share(self, share, now):
        self._limits.set_share(share, now)

    def send_if_allowed(self, now):
        rate = self._limits.rate("server", local=self._local, now=now)
        if self._limits.next_send_time("server", rate=rate, now=now) <= now:
            self._limits.record_sent("server", now)
            self.sent.append(now)


@pytest.fixture
def rule():
    """Return the SlowStartRule of the first deployment."""
    return placement.make_slow_start_rule(
        duration=DURATION_S, rate=RATE_PER_S, overage=OVERAGE, slack=SLACK
    )


@pytest.fixture
def slow_starts(rule):
    """Return the SlowStarts of a service with that rule."""
    slow_starts = placement.SlowStarts()
    slow_starts.configure(rule)
    return slow_starts


def run(nodes, *, start, end):
    for number in range(round((end - start) / STEP_S)):
        for node in nodes:
            node.send_if_allowed(start + number * STEP_S)


def busiest_second(nodes):
    times = [at for node in nodes for at in node.sent]
    return max(
        sum(end - 1.0 + STEP_S / 2 < at <= end for at in times)
        for end in times
    )


def make_regions(rule):
    """Return the homes of two other regions, and nodes that are no homes."""
    return [
        *(Node(rule=rule, local=False) for _ in range(2)),
        *(Node(rule=rule, share=0.0) for _ in range(30)),
    ]


@pytest.mark.parametrize(
    "shares", [(1.0,), (1.0, 1.0), (0.5, 0.5), (0.35, 0.65), (1.0, 0.4)]
)
def test_all_nodes_together_keep_the_bound(rule, shares):
    """Guards against a cold server that crashes in a burst.

    Two nodes may both be the home for a while, or a partition splits the
    region. The homes of the other regions send as well.
    """
    nodes = [Node(rule=rule, share=share) for share in shares]
    nodes += make_regions(rule)
    run(nodes, start=0.0, end=12.0)
    assert busiest_second(nodes) <= RATE_PER_S * OVERAGE + SLACK


@pytest.mark.parametrize("stops", [True, False], ids=["killed", "unaware"])
def test_hand_overs_keep_the_bound(rule, stops):
    """Guards against homes that each use the whole rate in one second.

    A home is killed right after a burst, or goes on for a while; the one that
    takes its place may be a node that has just started.
    """
    old, new, last = (Node(rule=rule, share=0.0) for _ in range(3))
    nodes = [old, new, last, *make_regions(rule)]
    old.set_share(1.0, -100.0)
    for current, following, now in ((old, new, 0.5), (new, last, 1.2)):
        run(nodes, start=now - 0.5, end=now)
        if stops:
            current.set_share(0.0, now)
        following.set_share(1.0, now)
        run(nodes, start=now, end=now + 0.2)
        current.set_share(0.0, now + 0.2)
    run(nodes, start=1.4, end=6.0)
    assert busiest_second(nodes) <= RATE_PER_S * OVERAGE + SLACK


def test_home_uses_the_whole_rate(rule):
    """Guards against a rate that is left idle while requests wait."""
    home = Node(rule=rule)
    run([home], start=0.0, end=20.0)
    assert 0.97 * RATE_PER_S * 20 <= len(home.sent)
    assert len(home.sent) <= RATE_PER_S * 20 + math.ceil(RATE_PER_S)


@pytest.mark.parametrize("rate", [0.5, 7.6, 40.0, 200.0])
def test_rate_leaves_room_for_a_second_home(rate):
    """Guards against a bound that only suits the rate of one deployment."""
    rule = placement.make_slow_start_rule(
        duration=DURATION_S, rate=rate, overage=OVERAGE, slack=SLACK
    )
    nodes = [Node(rule=rule) for _ in range(2)] + make_regions(rule)
    run(nodes, start=0.0, end=4.0)
    assert busiest_second(nodes) <= rate * OVERAGE + SLACK


def test_later_of_entry_and_health_response_counts(slow_starts):
    """Guards against a slow start that an older statement ends."""
    slow_starts.register(KEY, cold_until=12.0, returned_at=None)
    slow_starts.record_health(KEY, 0.0, 10.0)
    assert slow_starts.cold_until(KEY) == 12.0
    slow_starts.record_health(KEY, 2.5, 10.5)
    assert slow_starts.cold_until(KEY) == 13.0
    slow_starts.record_health(KEY, None, 14.0)
    assert slow_starts.cold_until(KEY) == 14.0 + DURATION_S


def test_idle_server_needs_a_health_response(slow_starts):
    """Guards against many nodes that send to a server that is cold again.

    None of them has heard of it since it was warm, or ever.
    """
    slow_starts.register(KEY, cold_until=0.0, returned_at=None)
    assert slow_starts.check_due(KEY) <= 10.0
    slow_starts.record_health(KEY, 0.0, 10.0)
    assert slow_starts.check_due(KEY) == 10.0 + DURATION_S
    slow_starts.record_sent(KEY, 12.0)
    assert slow_starts.check_due(KEY) == 12.0 + DURATION_S


def test_server_of_a_returned_failure_domain_is_cold_at_first(slow_starts):
    """Guards against the whole load at once after an evacuation."""
    slow_starts.record_sent(KEY, 5.0)
    slow_starts.register(KEY, cold_until=0.0, returned_at=20.0)
    assert slow_starts.cold_until(KEY) == 20.0 + DURATION_S
    slow_starts.record_health(KEY, 0.0, 20.5)
    slow_starts.register(KEY, cold_until=0.0, returned_at=20.0)
    assert slow_starts.cold_until(KEY) <= 20.0


def test_service_without_a_rate_needs_no_health_responses():
    """Guards against a change for deployments that limit no cold servers."""
    slow_starts = placement.SlowStarts()
    slow_starts.configure(
        placement.make_slow_start_rule(
            duration=DURATION_S, rate=0.0, overage=OVERAGE, slack=SLACK
        )
    )
    slow_starts.register(KEY, cold_until=5.0, returned_at=None)
    slow_starts.record_health(KEY, 9.0, 4.0)
    assert slow_starts.cold_until(KEY) == 5.0
    assert slow_starts.check_due(KEY) == math.inf
