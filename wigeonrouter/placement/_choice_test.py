"""Tests of the choice of a server for one request."""

import pytest

from wigeonrouter import placement

WORK = 0.16
USUAL = 1.75


@pytest.fixture
def choose(now):
    """Return placement.choose with the usual arguments filled in."""

    def run(views, job, *, pressure=1.0):
        return placement.choose(
            views, job=job, work=WORK, usual=USUAL, now=now, pressure=pressure
        )

    return run


def test_noisy_neighbour_is_avoided(choose, make_view, make_job):
    """Guards against sending to a server that works 4 times slower now."""
    pick = choose(
        [make_view("slow", slowness=4.0), make_view("fast", running=1)],
        make_job(),
    )
    assert pick.view.instance == "fast"


def test_old_report_of_a_fast_server_says_little(choose, make_view, make_job):
    """Guards against trusting a speed that was drawn anew since."""
    pick = choose(
        [make_view("old", age=0.6), make_view("new", age=0.01)], make_job()
    )
    assert pick.view.instance == "new"


def test_request_waits_where_only_slow_servers_are_free(
    choose, make_view, make_job
):
    """Guards against a certain late answer while there is time to wait."""
    pick = choose([make_view("slow", slowness=4.0)], make_job())
    assert pick.wait


def test_full_servers_are_not_used(choose, make_view, make_job):
    """Guards against a queue at a server, where no order can be kept."""
    pick = choose([make_view("a", running=2)], make_job())
    assert pick.view is None


@pytest.mark.parametrize(
    "view", [{"slowness": 4.0}, {"running": 1}], ids=["slow", "second slot"]
)
def test_late_request_yields_under_pressure(choose, make_view, make_job, view):
    """Guards against late requests that hold what fresh ones need.

    Replays the load after a restart: late requests took second slots and
    slow servers, and the service stayed overloaded for the whole day.
    """
    late = make_job(target=-0.5)
    views = [make_view("a", **view)]
    assert choose(views, late).view is None
    assert choose(views, late, pressure=0.2).view.instance == "a"


def test_slow_server_is_not_taken_at_the_last_moment(
    choose, make_view, make_job
):
    """Guards against a request that waited and then takes a slow server.

    Replays a burst: requests waited for a fast server until they could not
    be in time, and then held a slow one for several times as long.
    """
    soon_late = make_job(target=WORK + 0.02)
    slow = [make_view("slow", slowness=4.0)]
    assert choose(slow, soon_late).view is None
    assert choose(slow, soon_late, pressure=0.2).view.instance == "slow"


def test_late_request_uses_an_idle_fast_server(choose, make_view, make_job):
    """Guards against turning late requests away from idle servers."""
    pick = choose([make_view("a")], make_job(target=-0.5))
    assert pick.view.instance == "a"
    assert not pick.wait


def test_free_server_goes_before_a_second_slot(choose, make_view, make_job):
    """Guards against late answers from nearly full servers.

    Replays a quiet day: a tenth of the answers from second slots was late,
    while servers in the other failure domain had nothing to do.
    """
    free = make_view("free", tier=placement.Tier.REGION)
    pick = choose([make_view("near", running=1), free], make_job())
    assert pick.view.instance == "free"


def test_other_region_costs_more_than_a_second_slot(
    choose, make_view, make_job
):
    """Guards against paid bytes where the own region is good enough."""
    remote = make_view("far", tier=placement.Tier.REMOTE, round_trip=0.04)
    pick = choose([make_view("near"), remote], make_job())
    assert pick.view.instance == "near"


def test_failing_servers_are_used_when_no_other_is_left(
    choose, make_view, make_job, now
):
    """Guards against turning all away because every server failed once."""
    paused = make_view("a", retry_at=now + 1)
    assert choose([paused], make_job()).view.instance == "a"
    others = [make_view("b"), make_view("c")]
    assert choose([paused, *others], make_job()).view.instance != "a"


def test_excluded_server_is_not_tried_twice(choose, make_view, make_job):
    """Guards against repeating at the server that has just failed."""
    job = make_job(excluded=frozenset(["a"]))
    assert choose([make_view("a")], job).view is None


def test_node_that_gets_few_requests_asks_few_servers():
    """Guards against paid connections from all nodes to all servers."""
    assert placement.probe_count(0.5) < placement.probe_count(5.0)


def test_fresh_reports_are_not_asked_for_again(make_view, make_job, now):
    """Guards against health checks that tell nothing new; they are paid."""
    asked = placement.probe_candidates(
        [make_view("fresh", age=0.01), make_view("old", age=0.2)],
        job=make_job(),
        work=WORK,
        usual=USUAL,
        now=now,
        most=4,
    )
    assert [view.instance for view in asked] == ["old"]
