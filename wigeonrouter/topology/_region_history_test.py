"""Tests of how the nodes of a region divide rate limits."""

import pytest

from wigeonrouter import topology
from wigeonrouter.topology import conftest

HOSTS = tuple(f"host-{number}" for number in range(20))
SERVICE = "reads"


@pytest.fixture
def make_history():
    """Return a function that makes the RegionHistory of a node.

    Args:
      updates: (time in seconds, hosts of the ready nodes) of each update.
    """

    def make(*updates):
        history = topology.RegionHistory()
        for now, hosts in updates:
            history.update([conftest.peer(host) for host in hosts], now)
        return history

    return make


def _shares(history, hosts, *, now=1000.0, leading_services=(SERVICE,)):
    return [
        history.limit_share(
            leading_services=leading_services, own_host=host, now=now
        )
        for host in hosts
    ]


def test_one_node_uses_the_whole_limit_of_a_server(make_history):
    """Guards against a limit that several nodes or none use."""
    shares = _shares(make_history((0.0, HOSTS)), HOSTS)
    assert sorted(shares) == [0.0] * 19 + [1.0]


def test_all_homes_that_get_the_requests_divide_a_limit(make_history):
    """Guards against a home that gets requests and may not use the servers."""
    services = [f"service-{number}" for number in range(3)]
    history = make_history((0.0, HOSTS))
    shares = _shares(history, HOSTS, leading_services=services)
    homes = {
        home.host
        for service in services
        for home in topology.home_nodes(
            service=service,
            peers=[conftest.peer(host) for host in HOSTS],
            count=1,
        )
    }
    assert sum(shares) == pytest.approx(1.0)
    used = {host for host, share in zip(HOSTS, shares, strict=True) if share}
    assert used == homes


def test_homes_of_two_parts_of_a_region_use_one_limit_together(make_history):
    """Guards against two homes in a partition that each use all of it."""
    total = 0.0
    for part in (HOSTS[:7], HOSTS[7:]):
        history = make_history((0.0, HOSTS), (990.0, part))
        total += sum(_shares(history, part))
    assert total == pytest.approx(1.0)


def test_node_that_left_long_ago_reserves_no_share(make_history):
    """Guards against limits that shrink with each replaced node."""
    history = make_history((0.0, ("host-0", "host-1")), (300.0, ("host-0",)))
    assert _shares(history, ["host-0"], now=1000.0) == [1.0]


def test_node_that_left_on_purpose_reserves_no_share(make_history):
    """Guards against limits that are not used after a planned stop."""
    history = make_history((0.0, ("host-0", "host-1")))
    stopping = conftest.peer("host-1", ready=False)
    history.update([conftest.peer("host-0"), stopping], 10.0)
    history.update([conftest.peer("host-0")], 16.0)
    assert _shares(history, ["host-0"], now=17.0) == [1.0]
