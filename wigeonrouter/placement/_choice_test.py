"""Tests of the selection of a server for one request."""

import random
import statistics

import pytest

from wigeonrouter import placement

SERVICE_TIME_S = 0.16
MEAN_SLOWDOWN = 1.75


@pytest.fixture
def choose(now):
    """Return placement.choose with common default arguments."""

    def run(views, request, *, utilization=1.0, fast_slowdown=1.0):
        return placement.choose(
            views,
            request=request,
            service_time=SERVICE_TIME_S,
            mean_slowdown=MEAN_SLOWDOWN,
            now=now,
            utilization=utilization,
            fast_slowdown=fast_slowdown,
        )

    return run


def test_noisy_neighbour_is_avoided(choose, make_view, make_request):
    """Guards against selecting a server that is slowed down 4 times."""
    pick = choose(
        [make_view("slow", slowdown=4.0), make_view("fast", running=1)],
        make_request(),
    )
    assert pick.view.instance == "fast"


def test_old_report_of_a_fast_server_is_discounted(
    choose, make_view, make_request
):
    """Guards against trusting a speed that has probably changed since."""
    pick = choose(
        [make_view("old", age=0.6), make_view("new", age=0.01)], make_request()
    )
    assert pick.view.instance == "new"


def test_request_waits_if_only_slow_servers_are_free(
    choose, make_view, make_request
):
    """Guards against a certainly late response while there is time to wait."""
    pick = choose([make_view("slow", slowdown=4.0)], make_request())
    assert pick.should_wait


def test_request_does_not_wait_if_all_servers_are_slow(
    choose, make_view, make_request
):
    """Guards against a wait for an undisturbed server that does not exist.

    All servers of a service stood idle, and its requests were rejected.
    """
    pick = choose(
        [make_view("slow", slowdown=4.0)], make_request(), fast_slowdown=4.0
    )
    assert pick.view.instance == "slow" and not pick.should_wait


def test_late_request_uses_a_server_that_is_as_slow_as_all(
    choose, make_view, make_request
):
    """Guards against a bound on slow servers that leaves out all of them."""
    late = make_request(target_time=-0.5)
    views = [make_view("a", slowdown=4.0), make_view("b", slowdown=12.0)]
    assert choose(views, late, fast_slowdown=4.0).view.instance == "a"
    assert choose(views[1:], late, fast_slowdown=4.0).view is None


def test_full_servers_are_not_used(choose, make_view, make_request):
    """Guards against queueing at a server, which applies no priorities."""
    pick = choose([make_view("a", running=2)], make_request())
    assert pick.view is None


@pytest.mark.parametrize(
    "view", [{"slowdown": 4.0}, {"running": 1}], ids=["slow", "second slot"]
)
def test_late_request_yields_at_high_utilization(
    choose, make_view, make_request, view
):
    """Guards against late requests that occupy slots which new ones need.

    After a restart, late requests took second slots and slow servers, and the
    service stayed overloaded for the whole day.
    """
    late = make_request(target_time=-0.5)
    views = [make_view("a", **view)]
    assert choose(views, late).view is None
    assert choose(views, late, utilization=0.2).view.instance == "a"


def test_request_that_waited_does_not_take_a_slow_server(
    choose, make_view, make_request
):
    """Guards against a request that waits and then takes a slow server.

    In a burst, requests waited for a fast server until they could no longer
    meet their target time, and then held a slow one for several times as long.
    """
    soon_late = make_request(target_time=SERVICE_TIME_S + 0.02)
    slow = [make_view("slow", slowdown=4.0)]
    assert choose(slow, soon_late).view is None
    assert choose(slow, soon_late, utilization=0.2).view.instance == "slow"


def test_late_request_uses_an_idle_fast_server(
    choose, make_view, make_request
):
    """Guards against rejecting late requests while servers are idle."""
    pick = choose([make_view("a")], make_request(target_time=-0.5))
    assert pick.view.instance == "a"
    assert not pick.should_wait


def test_idle_server_is_preferred_to_a_second_slot(
    choose, make_view, make_request
):
    """Guards against late responses from nearly full servers.

    At low load a tenth of the responses from second slots was late, while
    servers in the other failure domain were idle.
    """
    free = make_view("free", locality=placement.Locality.REGION)
    pick = choose([make_view("near", running=1), free], make_request())
    assert pick.view.instance == "free"


def test_other_region_costs_more_than_a_second_slot(
    choose, make_view, make_request
):
    """Guards against paid traffic to another region without need."""
    remote = make_view(
        "far", locality=placement.Locality.REMOTE, round_trip=0.04
    )
    pick = choose([make_view("near"), remote], make_request())
    assert pick.view.instance == "near"


def test_ejected_servers_are_used_if_no_other_is_left(
    choose, make_view, make_request, now
):
    """Guards against rejecting all requests after every server failed once."""
    ejected = make_view("a", ejected_until=now + 1)
    assert choose([ejected], make_request()).view.instance == "a"
    others = [make_view("b"), make_view("c")]
    assert choose([ejected, *others], make_request()).view.instance != "a"


def test_excluded_server_is_not_used_again(choose, make_view, make_request):
    """Guards against retrying at the server that has just failed."""
    request = make_request(excluded=frozenset(["a"]))
    assert choose([make_view("a")], request).view is None


def test_node_with_few_requests_probes_few_servers():
    """Guards against paid connections from every node to every server."""
    assert placement.probe_count(0.5) < placement.probe_count(5.0)


def test_servers_with_fresh_reports_are_not_probed(
    make_view, make_request, now
):
    """Guards against paid health checks that add no information."""
    candidates = placement.probe_candidates(
        [make_view("fresh", age=0.01), make_view("old", age=0.2)],
        request=make_request(),
        service_time=SERVICE_TIME_S,
        mean_slowdown=MEAN_SLOWDOWN,
        now=now,
        max_servers=4,
    )
    assert [view.instance for view in candidates] == ["old"]


@pytest.mark.parametrize("busy_share", [0.3, 0.6, 0.85])
@pytest.mark.parametrize("servers", [10, 60, 300])
def test_sample_of_a_large_service_has_a_server_as_good(
    make_view, make_request, now, servers, busy_share
):
    """Guards against a cost of the choice that grows with the service.

    A quarter of the servers is slow, and most slots are in use. The best
    server of the sample has to be nearly as good as the best of all.
    """
    rng = random.Random(1)
    request = make_request()
    losses = []
    for _ in range(100):
        views = [
            make_view(
                str(number),
                running=sum(rng.random() < busy_share for _ in range(2)),
                slowdown=rng.choice((1.0, 1.0, 1.0, 4.0)),
                age=rng.uniform(0.0, 0.5),
            )
            for number in range(servers)
        ]
        sampled = placement.sample_views(
            views, request=request, now=now, rng=rng
        )
        assert len(sampled) <= 24
        best, best_sampled = (
            placement.choose(
                candidates,
                request=request,
                service_time=SERVICE_TIME_S,
                mean_slowdown=MEAN_SLOWDOWN,
                now=now,
                utilization=busy_share,
            ).expected_utility
            for candidates in (views, sampled)
        )
        losses.append(best - best_sampled)
    assert statistics.mean(losses) <= 0.03
