"""Tests of route lookup and of traffic splitting by weight."""

import collections
import random

from wigeonrouter import topology


def route(prefix, *, host="h", shares=(("alpha", 1),)):
    return topology.Route(
        name=prefix,
        host=host,
        prefix=prefix,
        shares=tuple(
            topology.TrafficShare(service=service, weight=weight)
            for service, weight in shares
        ),
        idempotent=True,
        timeout=1.0,
        target_latency=0.2,
        priority=0,
        max_attempts=2,
    )


def test_longest_prefix_of_the_host_wins():
    """Guards against a request sent to the service of another route."""
    table = topology.RouteTable(
        [route("/a/"), route("/a/b/"), route("/a/b/c/", host="other")]
    )
    assert table.find(host="h", path="/a/b/c/d").prefix == "/a/b/"
    assert table.find(host="h", path="/a/x").prefix == "/a/"
    assert table.find(host="h", path="/a") is None
    assert table.find(host="unknown", path="/a/") is None


def test_requests_are_split_by_weight():
    """Guards against shares that deviate from their weights."""
    split = route("/a/", shares=(("alpha", 90), ("beta", 10), ("gamma", 0)))
    splitter = topology.TrafficSplitter(rng=random.Random(4))
    counts = collections.Counter(splitter.choose(split) for _ in range(4000))
    assert 0.08 < counts["beta"] / 4000 < 0.12
    assert not counts["gamma"]


def test_services_of_a_host_are_ordered_by_weight():
    """Guards against directing callers to the home of a minor service."""
    table = topology.RouteTable(
        [route("/a/", shares=(("minor", 1), ("major", 9)))]
    )
    assert table.services_of("h") == ["major", "minor"]
    assert table.services_of("unknown") == []


def test_requests_of_a_service_get_to_the_homes_of_leading_services():
    """Guards against a service whose home gets none of its requests."""
    table = topology.RouteTable(
        [
            route("/a/", shares=(("alpha", 2),)),
            route("/b/", shares=(("beta", 1),)),
            route("/b/", host="other", shares=(("beta", 1),)),
        ]
    )
    assert table.leading_services("alpha") == {"alpha"}
    assert table.leading_services("beta") == {"alpha", "beta"}
    assert not table.leading_services("unknown")
