"""Guards against policy simulations that lose requests or differ in load."""

import pytest

from wigeonrouter import selection
from wigeonrouter.bench import _policy_event_loop
from wigeonrouter.bench import _policy_load
from wigeonrouter.bench import _policy_main
from wigeonrouter.bench import _policy_report

_SHAPE = _policy_load.LoadShape(load=1.2, duration=0.4)


def _run(policy, deployment="carril-azul", service="availability", **changes):
    return _policy_main.run_cell(
        deployment=_policy_load.DEPLOYMENTS[deployment],
        service=service,
        policy=policy,
        shape=_SHAPE,
        seeds=(1,),
        **changes,
    )


@pytest.mark.parametrize("policy", ["central", *selection.policy_names()])
def test_each_policy_gives_each_request_one_reproducible_result(policy):
    """Otherwise policies would be compared on different requests."""
    first, again = _run(policy), _run(policy)
    assert first == again
    servers = _policy_load.make_servers(20)
    arrivals = _policy_load.make_arrivals(
        servers=servers, shape=_SHAPE, seed=1
    )
    numbers = sorted(
        request_result.arrival.number
        for request_result in first[0].request_results
    )
    assert numbers == [arrival.number for arrival in arrivals]


@pytest.mark.parametrize("steering", ["region", "failure-domain", "any"])
def test_free_slot_completes_most_dispatched_requests_under_overload(steering):
    """Guards against congestion collapse with each way to choose a daemon.

    It occurs when servers spend slot time on requests that time out.
    """
    result = _run("free_slot", "chaiyaphruek", "listing", steering=steering)
    figures = _policy_report.summarise(result, start=0.0)
    assert figures.in_time > 0.5
    assert figures.late < 0.1


def test_drawn_service_time_matches_the_load_factor():
    servers = _policy_load.make_servers(12)
    shape = _policy_load.LoadShape(load=0.85, duration=20.0)
    arrivals = _policy_load.make_arrivals(servers=servers, shape=shape, seed=1)
    total_service_time = sum(arrival.service_time for arrival in arrivals)
    assert total_service_time / (20.0 * 24) == pytest.approx(0.85, rel=0.1)


def test_callbacks_run_by_due_time_then_in_call_order():
    loop, seen = _policy_event_loop.EventLoop(), []
    loop.call_later(0.2, seen.append, "c")
    loop.call_later(0.1, seen.append, "a")
    loop.call_later(0.1, seen.append, "b")
    loop.run(1.0)
    assert (seen, loop.now) == (["a", "b", "c"], 1.0)
