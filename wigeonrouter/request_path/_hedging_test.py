"""Guards against hedged writes, excessive hedges and leaked slots."""

import gevent
import pytest

from wigeonrouter import core
from wigeonrouter.request_path import _hedging
from wigeonrouter.request_path.conftest import receive_response
from wigeonrouter.request_path.conftest import render
from wigeonrouter.request_path.conftest import send
from wigeonrouter.request_path.conftest import wait_until

_HANGING = {"delay_ms": 60_000}


@pytest.fixture
def hedged_path(path):
    """A path with enough latency samples to hedge requests."""
    path.configure(
        retries=core.RetrySettings(hedge_quantile=0.9, max_attempts=1)
    )
    with path.connect() as sock:
        for method in ["GET", "POST"] * 60:
            sock.sendall(render(method))
            assert receive_response(sock, method).status == 200
    return path


def test_hanging_read_is_hedged_to_another_server(hedged_path):
    hedged_path.set_faults(_HANGING, {})
    slow = hedged_path.backends[0]
    # A new dispatcher has no latencies; it prefers servers without one, so the
    # slow server gets one of the first requests.
    hedged_path.handler.reconfigure({})
    hedged_path.configure(
        retries=core.RetrySettings(hedge_quantile=0.9, max_attempts=1)
    )
    before = len(slow.execution_counts)
    for number in range(3):
        # Without cancellation the slow attempt would take this long.
        response = send(
            hedged_path,
            "GET",
            request_id=f"r{number}",
            X_Request_Timeout_Ms=30_000,
        )
        assert response.status == 200
    assert len(slow.execution_counts) > before
    wait_until(lambda: slow.in_flight == 0)
    hedged_path.assert_released()


def test_writes_are_never_hedged(hedged_path):
    hedged_path.set_faults(_HANGING, _HANGING)
    response = send(hedged_path, request_id="w", X_Request_Timeout_Ms=200)
    assert (response.outcome, hedged_path.runs("w")) == ("unknown", 1)


def test_hedges_stay_within_the_retry_budget(hedged_path):
    hedged_path.configure(
        retries=core.RetrySettings(
            hedge_quantile=0.9, max_attempts=1, budget_ratio=0.0
        )
    )
    hedged_path.set_faults(_HANGING, _HANGING)
    response = send(
        hedged_path, "GET", request_id="r", X_Request_Timeout_Ms=200
    )
    assert (response.problem, hedged_path.runs("r")) == ("answer-late", 1)


def test_caller_disconnect_cancels_both_attempts(hedged_path):
    hedged_path.set_faults(_HANGING, _HANGING)
    sock = hedged_path.connect()
    sock.sendall(render("GET", request_id="r", X_Request_Timeout_Ms=30_000))
    wait_until(lambda: hedged_path.runs("r") == 2)
    sock.close()
    for backend in hedged_path.backends:
        wait_until(lambda backend=backend: backend.in_flight == 0)
    hedged_path.assert_released()


@pytest.mark.parametrize(
    "first, second, expected",
    [
        ("ANSWER_LOST", "CONNECT_FAILED", "answer-lost"),
        ("CONNECT_FAILED", "ANSWER_LATE", "answer-late"),
    ],
)
def test_unknown_outcome_takes_precedence_over_not_run(
    first, second, expected
):
    """The outcome NOT_RUN would be wrong, since one attempt may have run."""

    def fail(name):
        gevent.sleep(0.01)
        return core.Problem(problem=getattr(core.problems, name))

    tasks = [gevent.spawn(fail, name) for name in (first, second)]
    assert _hedging._first_success(tasks).problem.name == expected
