"""Guards the policy experiment: fair comparison, no request lost."""

import pytest

from wigeonrouter import selection
from wigeonrouter.bench import _policy_clock
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
def test_each_policy_ends_each_request_once_and_repeatably(policy):
    """Else policies would be compared over different requests."""
    first, again = _run(policy), _run(policy)
    assert first == again
    servers = _policy_load.make_servers(20)
    arrivals = _policy_load.make_arrivals(
        servers=servers, shape=_SHAPE, seed=1
    )
    numbers = sorted(done.arrival.number for done in first[0].done)
    assert numbers == [arrival.number for arrival in arrivals]


@pytest.mark.parametrize("steering", ["region", "failure-domain", "any"])
def test_free_slot_finishes_nearly_what_it_sends(steering):
    """Guards against congestion collapse, whichever daemons serve."""
    result = _run("free_slot", "chaiyaphruek", "listing", steering=steering)
    figures = _policy_report.summarise(result, start=0.0)
    assert figures.in_time > 0.5
    assert figures.late < 0.1


def test_the_load_is_what_was_asked_for():
    servers = _policy_load.make_servers(12)
    shape = _policy_load.LoadShape(load=0.85, duration=20.0)
    arrivals = _policy_load.make_arrivals(servers=servers, shape=shape, seed=1)
    work = sum(arrival.work for arrival in arrivals)
    assert work / (20.0 * 24) == pytest.approx(0.85, rel=0.1)


def test_callbacks_run_in_order_of_time_and_call():
    loop, seen = _policy_clock.EventLoop(), []
    loop.call_later(0.2, seen.append, "c")
    loop.call_later(0.1, seen.append, "a")
    loop.call_later(0.1, seen.append, "b")
    loop.run(1.0)
    assert (seen, loop.now) == (["a", "b", "c"], 1.0)
