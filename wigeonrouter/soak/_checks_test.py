"""Tests that each check of the soak sees what it is there for."""

import dataclasses

import pytest

from wigeonrouter.platform import testing
from wigeonrouter.soak import _checks
from wigeonrouter.soak import _records

End = _records.End


def make_reply(**changes):
    """Return the whole answer of i-1 to request r1."""
    reply = testing.CallerResponse(
        status=200,
        request_id="r1",
        instance="i-1",
        body=b"body of /hold/r1",
        closes=False,
    )
    return dataclasses.replace(reply, **changes)


def make_request(**changes):
    """Return a request that was answered well at second 10."""
    request = _records.Request(
        request_id="r1",
        node="node-1",
        route="hold",
        idempotent=False,
        target="/hold/r1",
        sent=10.0,
        ended=10.1,
        patience=3.0,
        timeout=1.5,
        end=End.ANSWERED,
        reply=make_reply(),
    )
    return dataclasses.replace(request, **changes)


def make_run(**changes):
    """Return the run of r1 at i-1."""
    run = _records.Run(
        request_id="r1",
        instance="i-1",
        service="alpha",
        target="/hold/r1",
        started=10.01,
    )
    return dataclasses.replace(run, **changes)


def make_probe(**changes):
    """Return a probe that found a version long after its bound."""
    probe = _records.Probe(
        node="node-1",
        incarnation=1,
        version=7,
        acknowledged=5.0,
        sent=9.0,
        found=True,
    )
    return dataclasses.replace(probe, **changes)


def make_exit(**changes):
    """Return a planned stop that went well."""
    ended = _records.Exit(
        node="node-1",
        started=0.0,
        ended=14.0,
        code=0,
        stopped=10.0,
        killed=False,
    )
    return dataclasses.replace(ended, **changes)


@pytest.fixture
def seen():
    """Observations of one request that went well."""
    return _records.Observations(
        requests=[make_request()],
        runs=[make_run()],
        probes=[make_probe()],
        exits=[make_exit()],
        allowed={"hold": {"alpha"}},
        calm_from=1.0,
    )


def promises(seen):
    """Return the set of broken promises."""
    return {found.promise for found in _checks.find_violations(seen)}


def test_nothing_is_found_where_all_is_well(seen):
    """Guards against checks that cry wolf."""
    assert promises(seen) == set()


@pytest.mark.parametrize(
    ("changes", "promise"),
    [
        (
            {"runs": [make_run(), make_run(instance="i-2")]},
            "runs at most once",
        ),
        (
            {"requests": [make_request(reply=make_reply(status=503))]},
            "refusal is true",
        ),
        (
            {"requests": [make_request(reply=make_reply(body=b"body"))]},
            "answer is whole and own",
        ),
        (
            {"requests": [make_request(reply=make_reply(instance="i-2"))]},
            "answer is whole and own",
        ),
        ({"runs": [make_run(target="/x")]}, "nothing unasked runs"),
        ({"runs": [make_run(service="b")]}, "runs at an allowed service"),
        (
            {"leaving": [_records.Leaving(instance="i-1", acknowledged=7.0)]},
            "drain",
        ),
        ({"probes": [make_probe(found=False)]}, "configuration in force"),
        (
            {
                "probes": [
                    make_probe(sent=5.5),
                    make_probe(sent=6.0, found=False),
                ]
            },
            "configuration kept",
        ),
        (
            {"requests": [make_request(end=End.BROKEN, reply=None)]},
            "requests are not cut",
        ),
        ({"requests": [make_request(ended=12.1)]}, "answer in time"),
        (
            {
                "requests": [
                    make_request(end=End.LEFT, idempotent=True, reply=None)
                ],
                "runs": [make_run(started=11.0)],
            },
            "no work for gone callers",
        ),
        (
            {"exits": [make_exit(code=1)]},
            "process ends only when asked",
        ),
        (
            {"exits": [make_exit(stopped=None)]},
            "process ends only when asked",
        ),
        (
            {"exits": [make_exit(ended=17.0)]},
            "process ends within the grace",
        ),
        (
            {"requests": [make_request(reply=make_reply(status=503))] * 2},
            "recovery",
        ),
    ],
)
def test_broken_promise_is_found(seen, changes, promise):
    """Guards against a check that sees nothing."""
    for name, value in changes.items():
        setattr(seen, name, value)
    assert promise in promises(seen)


def test_repeats_beyond_the_budget_are_found(seen):
    """Guards against a repeat of each request while a service fails."""
    seen.arrivals = [(t * 0.1, f"r{t}", "alpha") for t in range(100)]
    assert "retry budget" not in promises(seen)
    seen.arrivals += [(t * 0.1 + 0.05, f"r{t}", "alpha") for t in range(100)]
    assert "retry budget" in promises(seen)


def test_work_that_goes_on_for_gone_callers_is_found(seen):
    """Guards against cancellation that reaches few servers."""
    left = make_request(end=End.LEFT, idempotent=True, reply=None)
    for number in range(10):
        name = f"r{number}"
        seen.requests.append(dataclasses.replace(left, request_id=name))
        seen.runs.append(make_run(request_id=name))
        seen.work_ended[name, "i-1"] = 10.2
    assert "abandoned work ends" not in promises(seen)
    for number in range(5):
        seen.work_ended[f"r{number}", "i-1"] = 12.0
    assert "abandoned work ends" in promises(seen)


@pytest.mark.parametrize(
    ("name", "broken"), [("node-1", False), ("", True), ("node-2", True)]
)
def test_stop_may_take_longer_only_where_the_node_was_paused(
    seen, name, broken
):
    """Guards against findings for a node that stood still while stopping."""
    seen.exits = [make_exit(ended=17.0)]
    seen.troubles = [_records.Trouble(name=name, began=11.0, ended=13.0)]
    assert ("process ends within the grace" in promises(seen)) is broken


@pytest.mark.parametrize("name", ["", "node-1"])
def test_disturbed_node_is_not_held_to_the_time_bounds(seen, name):
    """Guards against findings where the pages promise nothing."""
    seen.probes = [make_probe(found=False)]
    seen.troubles = [_records.Trouble(name=name, began=1.0, ended=6.0)]
    assert "configuration in force" not in promises(seen)
    seen.troubles = [_records.Trouble(name=name, began=1.0, ended=1.5)]
    assert "configuration in force" in promises(seen)
