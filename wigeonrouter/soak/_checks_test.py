"""Tests that each check of the soak test detects its violation."""

import dataclasses
import signal

import pytest

from wigeonrouter import topology
from wigeonrouter.platform import testing
from wigeonrouter.soak import _records
from wigeonrouter.soak import checks

End = _records.End


def make_response(**changes):
    """Return the complete response of i-1 to request r1."""
    response = testing.CallerResponse(
        status=200,
        request_id="r1",
        instance="i-1",
        body=b"body of /hold/r1",
        closes=False,
    )
    return dataclasses.replace(response, **changes)


def make_request(**changes):
    """Return a successful request that was sent at second 10."""
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
        reply=make_response(),
    )
    return dataclasses.replace(request, **changes)


def make_execution(**changes):
    """Return the execution of r1 by i-1."""
    execution = _records.Execution(
        request_id="r1",
        instance="i-1",
        service="alpha",
        target="/hold/r1",
        started=10.01,
    )
    return dataclasses.replace(execution, **changes)


def make_arrival(at, request_id):
    """Return the arrival of a request at i-1."""
    return _records.Arrival(
        at=at, request_id=request_id, instance="i-1", service="alpha"
    )


def make_probe(**changes):
    """Return a probe that found its version after the time bound."""
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
    """Return the exit of a node after a correct graceful stop."""
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
def observations():
    """Observations without a violation, of one successful request."""
    return _records.Observations(
        requests=[make_request()],
        executions=[make_execution()],
        probes=[make_probe()],
        exits=[make_exit()],
        allowed_services={"hold": {"alpha"}},
        faults_over_at=1.0,
    )


def violated_invariants(observations):
    """Return the set of violated invariants."""
    return {found.invariant for found in checks.find_violations(observations)}


def test_correct_run_has_no_violations(observations):
    """Guards against checks that report violations in a correct run."""
    assert violated_invariants(observations) == set()


@pytest.mark.parametrize(
    ("changes", "invariant"),
    [
        (
            {"executions": [make_execution(), make_execution(instance="i-2")]},
            "executed at most once",
        ),
        (
            {"requests": [make_request(reply=make_response(status=503))]},
            "rejected request not executed",
        ),
        (
            {"requests": [make_request(reply=make_response(body=b"body"))]},
            "response complete and matching",
        ),
        (
            {"requests": [make_request(reply=make_response(instance="i-2"))]},
            "response complete and matching",
        ),
        (
            {"executions": [make_execution(target="/x")]},
            "only sent requests executed",
        ),
        (
            {"executions": [make_execution(service="b")]},
            "executed by an allowed service",
        ),
        (
            {"drains": [_records.Drain(instance="i-1", acknowledged=7.0)]},
            "drain",
        ),
        (
            {"probes": [make_probe(found=False)]},
            "configuration applied in time",
        ),
        (
            {
                "probes": [
                    make_probe(sent=5.5),
                    make_probe(sent=6.0, found=False),
                ]
            },
            "configuration not rolled back",
        ),
        (
            {"requests": [make_request(end=End.BROKEN, reply=None)]},
            "accepted requests completed",
        ),
        ({"requests": [make_request(ended=12.1)]}, "response in time"),
        (
            {
                "requests": [
                    make_request(end=End.LEFT, idempotent=True, reply=None)
                ],
                "executions": [make_execution(started=11.0)],
            },
            "no execution for disconnected callers",
        ),
        (
            {"exits": [make_exit(code=1)]},
            "process exits only on request",
        ),
        (
            {"exits": [make_exit(stopped=None)]},
            "process exits only on request",
        ),
        (
            {"exits": [make_exit(ended=17.0)]},
            "process exits within the grace period",
        ),
        (
            {"requests": [make_request(reply=make_response(status=503))] * 2},
            "recovery",
        ),
    ],
)
def test_violation_is_detected(observations, changes, invariant):
    """Guards against a check that misses violations of its invariant."""
    for name, value in changes.items():
        setattr(observations, name, value)
    assert invariant in violated_invariants(observations)


def test_retries_beyond_the_budget_are_detected(observations):
    """Guards against a retry of every request while a service fails."""
    observations.arrivals = [
        make_arrival(t * 0.1, f"r{t}") for t in range(100)
    ]
    assert "retry budget" not in violated_invariants(observations)
    observations.arrivals += [
        make_arrival(t * 0.1 + 0.05, f"r{t}") for t in range(100)
    ]
    assert "retry budget" in violated_invariants(observations)


@pytest.mark.parametrize(
    ("first", "count", "violated"),
    [(6.0, 12, True), (6.0, 11, False), (3.0, 12, False), (11.0, 12, False)],
    ids=["beyond", "within", "before settling", "after its end"],
)
def test_requests_beyond_a_named_limit_are_detected(
    observations, first, count, violated
):
    """Guards against a limit that the nodes do not keep together.

    The server names one request a second from second 2 to second 10.
    """
    observations.arrivals = [
        make_arrival(first + number / count, f"r{number}")
        for number in range(count)
    ]
    observations.limit_periods = [
        _records.LimitPeriod(
            instance="i-1", per_second=1.0, began=2.0, ended=10.0
        )
    ]
    assert ("named limit" in violated_invariants(observations)) == violated


def test_requests_not_cancelled_after_disconnection_are_detected(observations):
    """Guards against cancellation that reaches too few backend servers."""
    left = make_request(end=End.LEFT, idempotent=True, reply=None)
    for number in range(10):
        name = f"r{number}"
        observations.requests.append(
            dataclasses.replace(left, request_id=name)
        )
        observations.executions.append(make_execution(request_id=name))
        observations.execution_ended_at[name, "i-1"] = 10.2
    assert "abandoned requests cancelled" not in violated_invariants(
        observations
    )
    for number in range(5):
        observations.execution_ended_at[f"r{number}", "i-1"] = 12.0
    assert "abandoned requests cancelled" in violated_invariants(observations)


@pytest.mark.parametrize(
    ("name", "broken"), [("node-1", False), ("", True), ("node-2", True)]
)
def test_stop_may_exceed_the_grace_period_only_if_the_node_was_paused(
    observations, name, broken
):
    """Guards against violations reported for a node paused while stopping."""
    observations.exits = [make_exit(ended=17.0)]
    observations.fault_periods = [
        _records.FaultPeriod(name=name, began=11.0, ended=13.0)
    ]
    assert (
        "process exits within the grace period"
        in violated_invariants(observations)
    ) is broken


@pytest.mark.parametrize("name", ["", "node-1"])
def test_time_bounds_do_not_apply_to_a_disturbed_node(observations, name):
    """Guards against violations reported where no bound is documented."""
    observations.probes = [make_probe(found=False)]
    observations.fault_periods = [
        _records.FaultPeriod(name=name, began=1.0, ended=6.0)
    ]
    assert "configuration applied in time" not in violated_invariants(
        observations
    )
    observations.fault_periods = [
        _records.FaultPeriod(name=name, began=1.0, ended=1.5)
    ]
    assert "configuration applied in time" in violated_invariants(observations)


@pytest.mark.parametrize(
    ("cpu_used", "allowed"),
    [(0.01, True), (checks.INTERPRETER_START_CPU_S, False), (None, False)],
)
@pytest.mark.parametrize(
    ("number", "attribute"),
    [(signal.SIGHUP, "early_hang_up"), (signal.SIGTERM, "early_stop")],
)
def test_signal_may_only_end_a_process_that_has_not_begun(
    observations, number, attribute, cpu_used, allowed
):
    """Guards against excusing a node that a signal ends while it runs.

    How long the interpreter takes to start depends on the load of the
    machine, so its processor time counts.
    """
    observations.exits = [
        make_exit(code=-number, ended=10.1, **{attribute: cpu_used})
    ]
    violated = "process exits only on request" in violated_invariants(
        observations
    )
    assert violated != allowed


@pytest.mark.parametrize(
    ("times", "violated"),
    [
        # The first requests may be on their way already.
        ([10.0, 10.1, 10.2, 10.3, 10.4], False),
        ([10.0, 11.0, 11.5], False),
        ([10.0, 11.0, 11.2, 11.5], True),
        # After the pause the server is tried again.
        ([10.0, 12.1, 12.2, 12.3, 12.4], False),
    ],
)
def test_requests_in_a_pause_are_detected(times, violated):
    """Guards against a node that does not do what a server asks for."""
    observations = _records.Observations()
    observations.requests = [
        make_request(request_id=f"r{number}") for number in range(len(times))
    ]
    observations.arrivals = [
        make_arrival(at, f"r{number}") for number, at in enumerate(times)
    ]
    observations.pause_periods = [
        _records.PausePeriod(instance="i-1", pause=2.0, began=9.0, ended=15.0)
    ]
    assert ("pause" in violated_invariants(observations)) == violated


EARLY_END = "request completed around a stop"


@pytest.fixture
def stopped_observations(observations):
    """Observations of a request that was passed on and then broken off.

    Its node got SIGTERM at second 8, and the request was sent 3.5 s after it.
    The server i-1 executed it until second 13.
    """
    observations.requests = [
        make_request(
            sent=11.5, ended=12.5, timeout=2.8, end=End.BROKEN, reply=None
        )
    ]
    observations.executions = [make_execution(started=11.6)]
    observations.execution_ended_at["r1", "i-1"] = 13.0
    observations.exits = [make_exit(stopped=8.0)]
    return observations


def change_request(observations, **changes):
    """Replace the only request of the observations by a changed one."""
    (request,) = observations.requests
    observations.requests = [dataclasses.replace(request, **changes)]


def make_own_failure(status):
    """Return a failure that the node itself responded with."""
    return make_response(status=status, instance="", body=b"")


@pytest.mark.parametrize(
    "changes",
    [
        {},
        {"end": End.ANSWERED, "reply": make_own_failure(502)},
        {"end": End.ANSWERED, "reply": make_own_failure(504)},
        # Sent before SIGTERM, with time left.
        {"sent": 7.9, "ended": 10.0},
        # Sent early, but closed before the last sixth of the grace period.
        {"sent": 10.9, "ended": 12.9},
    ],
    ids=["closed", "502", "504", "before SIGTERM", "before the last sixth"],
)
def test_request_that_a_stop_ends_early_is_detected(
    stopped_observations, changes
):
    """Guards against a stop that ends requests that servers work on."""
    started = changes.get("sent", 11.5) + 0.1
    stopped_observations.executions = [make_execution(started=started)]
    change_request(stopped_observations, **changes)
    assert EARLY_END in violated_invariants(stopped_observations)


@pytest.mark.parametrize(
    ("changes", "allowed"),
    [
        # The timeout of the route, then the one of the caller was reached.
        ({"ended": 14.3}, True),
        ({"ended": 14.2}, False),
        ({"patience": 1.0}, True),
        ({"patience": 1.2}, False),
        # Still at work in the last sixth, and sent within 3 s or later.
        ({"sent": 11.0, "ended": 13.1}, True),
        ({"sent": 11.1, "ended": 13.1}, False),
        # The stop was over for longer than a second.
        ({"sent": 14.0, "ended": 15.1}, True),
        ({"sent": 14.0, "ended": 14.9}, False),
        ({"node": "node-2"}, True),
    ],
)
def test_only_documented_exceptions_may_end_a_request_early(
    stopped_observations, changes, allowed
):
    """Guards against excusing more or fewer broken requests than agreed."""
    started = changes.get("sent", 11.5) + 0.1
    stopped_observations.executions = [make_execution(started=started)]
    stopped_observations.execution_ended_at.clear()
    change_request(stopped_observations, **changes)
    found = EARLY_END in violated_invariants(stopped_observations)
    assert found != allowed


def test_request_that_was_not_passed_on_may_cross_a_close(
    stopped_observations,
):
    """Guards against violations for requests that the node never read."""
    stopped_observations.executions = []
    assert EARLY_END not in violated_invariants(stopped_observations)


@pytest.mark.parametrize(
    ("ended_at", "cancelled", "violated"),
    [
        (12.0, False, False),
        (12.45, False, False),
        # The node closed the connection to the server, then responded.
        (12.45, True, True),
        # An earlier attempt was cancelled.
        (12.0, True, False),
    ],
)
def test_own_failure_needs_a_server_at_work_to_be_a_violation(
    stopped_observations, ended_at, cancelled, violated
):
    """Guards against mistaking failures after a server's end for early ones.

    The failure arrives at second 12.5.
    """
    change_request(
        stopped_observations, end=End.ANSWERED, reply=make_own_failure(502)
    )
    stopped_observations.execution_ended_at["r1", "i-1"] = ended_at
    if cancelled:
        stopped_observations.cancelled.add(("r1", "i-1"))
    found = EARLY_END in violated_invariants(stopped_observations)
    assert found == violated


def test_failure_of_a_server_may_end_a_request(stopped_observations):
    """Guards against blaming the node for the response of a server."""
    change_request(
        stopped_observations,
        end=End.ANSWERED,
        reply=make_response(status=502),
    )
    assert EARLY_END not in violated_invariants(stopped_observations)


@pytest.mark.parametrize(
    ("period", "violated"),
    [
        ({"name": "node-1"}, False),
        ({"name": "i-1"}, False),
        ({"name": ""}, False),
        ({"name": "node-2"}, True),
        ({"name": "", "store_only": True}, True),
        ({"name": "node-1", "graceful_stop": True}, True),
    ],
)
def test_faults_of_the_store_do_not_excuse_an_early_end(
    stopped_observations, period, violated
):
    """Guards against losing the check while the store has a fault."""
    stopped_observations.fault_periods = [
        _records.FaultPeriod(began=11.0, ended=12.0, **period)
    ]
    found = EARLY_END in violated_invariants(stopped_observations)
    assert found == violated


def test_removed_server_may_break_off_a_request(stopped_observations):
    """Guards against blaming the node for a server that was stopped."""
    stopped_observations.removed_at["i-1"] = 12.4
    assert EARLY_END not in violated_invariants(stopped_observations)


def make_keyed_request(tenant, **changes):
    """Return a request of a tenant, by default with a rejection."""
    changes.setdefault("reply", make_response(status=401, body=b""))
    return make_request(request_id="k1", tenant=tenant, **changes)


@pytest.mark.parametrize(
    ("tenant", "execution", "invariant"),
    [
        ("acme", {"has_key": True, "tenants": ("acme",)}, "no key at servers"),
        ("acme", {"tenants": ("cove",)}, "tenant of the caller's key"),
        ("acme", {"tenants": ()}, "tenant of the caller's key"),
        ("acme", {"tenants": ("acme", "x")}, "tenant of the caller's key"),
        (None, {"tenants": ("acme",)}, "tenant of the caller's key"),
        (_records.UNKNOWN_TENANT, {}, "unknown key not executed"),
    ],
)
def test_wrong_identity_at_a_server_is_detected(
    observations, tenant, execution, invariant
):
    """Guards against keys and tenants that the checks do not compare."""
    observations.requests.append(
        make_keyed_request(tenant, reply=None, end=End.BROKEN)
    )
    observations.executions.append(
        make_execution(request_id="k1", **execution)
    )
    assert invariant in violated_invariants(observations)


@pytest.mark.parametrize(
    ("status", "disturbed", "violated"),
    [
        (401, False, False),
        (503, False, True),
        (503, True, False),
        (429, False, True),
        (429, True, True),
        (200, True, True),
    ],
)
def test_responses_to_unknown_keys_are_checked(
    observations, status, disturbed, violated
):
    """Guards against an unknown key that gets another response than 401."""
    observations.requests.append(
        make_keyed_request(
            _records.UNKNOWN_TENANT, reply=make_response(status=status)
        )
    )
    if disturbed:
        observations.fault_periods.append(
            _records.FaultPeriod(name="node-1", began=9.0, ended=9.5)
        )
    found = violated_invariants(observations)
    assert ("unknown key rejected with 401" in found) == violated


@pytest.mark.parametrize(
    ("count", "interval", "violated"),
    [(42, 0.1, False), (43, 0.1, True), (43, 0.5, False)],
)
def test_exceeded_quota_is_detected(observations, count, interval, violated):
    """Guards against a limit that nodes keep each for itself only.

    The limit allows (2 x 5 + 10) x 1.1 + 20 = 42 requests in 5 s. A fault of
    all nodes is no excuse.
    """
    observations.tenants["acme"] = topology.Tenant(
        name="acme", api_keys=(), rate=2.0, burst=10.0
    )
    observations.fault_periods.append(
        _records.FaultPeriod(name="", began=0.0, ended=100.0)
    )
    for number in range(count):
        observations.requests.append(
            make_request(
                request_id=f"q{number}",
                node=f"node-{number % 4}",
                tenant="acme",
            )
        )
        observations.executions.append(
            make_execution(
                request_id=f"q{number}", started=10.0 + number * interval
            )
        )
    assert ("quota" in violated_invariants(observations)) == violated


@pytest.mark.parametrize(
    ("at", "changes", "fault", "violated"),
    [
        (14.0, {}, "", True),
        (12.4, {}, "", False),
        (16.1, {}, "", False),
        (14.0, {"domain": "zb"}, "", False),
        (14.0, {"misdirected": True}, "", False),
        (14.0, {"service": "gamma"}, "", False),
        (14.0, {}, "node-1", False),
        (14.0, {}, "node-2", True),
    ],
)
def test_request_to_an_evacuated_server_is_detected(
    observations, at, changes, fault, violated
):
    """Guards against an evacuation that a node has not applied in time."""
    observations.evacuations.append(
        _records.Evacuation(domain="za", acknowledged=10.0, ended=16.0)
    )
    arrival = dataclasses.replace(make_arrival(at, "r1"), domain="za")
    observations.arrivals.append(dataclasses.replace(arrival, **changes))
    if fault:
        observations.fault_periods.append(
            _records.FaultPeriod(name=fault, began=9.0, ended=9.5)
        )
    assert ("evacuation" in violated_invariants(observations)) == violated


@pytest.mark.parametrize(
    ("count", "interval", "fault", "violated"),
    [
        (10, 0.05, "", False),
        (11, 0.05, "", True),
        (20, 0.2, "", False),
        (11, 0.05, "node-1", True),
        (11, 0.05, "i-1", False),
    ],
)
def test_overloaded_cold_server_is_detected(
    observations, count, interval, fault, violated
):
    """Guards against nodes that each use the whole rate of a cold server.

    The limit allows 4 x 1.5 + 4 = 10 requests in a second.
    """
    observations.cold_periods.append(
        _records.ColdPeriod(
            instance="i-1", per_second=4.0, began=10.0, ended=15.0
        )
    )
    observations.arrivals.extend(
        make_arrival(10.0 + number * interval, f"c{number}")
        for number in range(count)
    )
    if fault:
        observations.fault_periods.append(
            _records.FaultPeriod(name=fault, began=9.0, ended=11.0)
        )
    assert ("cold server" in violated_invariants(observations)) == violated
