"""Guards against requests to draining, failing or unresponsive servers.

A real request handler sends requests to backend server stand-ins. Caller
connections and other daemons are not part of these tests.
"""

import random
import time

import gevent
import pytest

from wigeonrouter import core
from wigeonrouter import request_path
from wigeonrouter import standins

_PLACE = core.Place(region="r", failure_domain="r-a")
_SERVERS = 4


@pytest.fixture
def backends():
    """Four running backend server stand-ins on free ports."""
    started = [
        standins.BackendStandin(
            address=core.Address(host="127.0.0.1", port=0), service_ms=1
        )
        for _ in range(_SERVERS)
    ]
    for standin in started:
        standin.start()
    yield started
    for standin in started:
        standin.stop()


@pytest.fixture
def handler(backends):
    """A request handler with one service on the four stand-ins."""
    request_handler = request_path.RequestHandler(
        place=_PLACE,
        own_member=lambda: None,
        claim_from_peer=lambda parsed, request_id: None,
        observe=lambda record: None,
        rng=random.Random(1),
    )
    request_handler.reconfigure({"/s": _service(backends)})
    return request_handler


def _service(backends, **server_changes):
    return core.EffectiveService(
        name="/s",
        match=core.MatchSettings(path_prefixes=("/",)),
        kinds=(
            core.TrafficKind(
                name="read", idempotent=True, methods=frozenset(("GET",))
            ),
        ),
        servers=tuple(
            core.BackendServer(
                name=f"s{number}",
                address=core.Address(host="127.0.0.1", port=standin.port),
                place=_PLACE,
                **server_changes.get(f"s{number}", {}),
            )
            for number, standin in enumerate(backends)
        ),
        limits=core.LimitSettings(default_timeout=0.3),
    )


def _send(handler, count, method=b"GET", prefix=b"id"):
    """Send requests with as much concurrency as there are slots.

    With less concurrency the routing policy could prefer some of the
    servers, and a test would miss requests that wrongly go to another one.
    """
    outcomes = []
    tasks = 2 * _SERVERS

    def run(task):
        for number in range(task, count, tasks):
            request_id = b"%b-%d" % (prefix, number)
            fields = {b"host": b"a", b"x-request-id": request_id}
            response = handler.handle(
                request_path.HttpRequest(
                    method=method,
                    target=b"/x",
                    headers=tuple(fields.items()),
                    fields=fields,
                    body=b"",
                    keep_alive=True,
                ),
                arrived=time.monotonic(),
            )
            outcomes.append(response.outcome or b"ok")

    gevent.joinall(
        [gevent.spawn(run, task) for task in range(tasks)], raise_error=True
    )
    return outcomes


def _run_count(standin):
    return sum(standin.execution_counts.values())


def test_server_announcing_a_drain_gets_no_new_requests(handler, backends):
    _send(handler, 20)
    backends[0].set_fault(draining=True)
    outcomes = _send(handler, 40, prefix=b"after")
    assert set(outcomes) == {b"ok"}
    before = _run_count(backends[0])
    # The announcement has ended, but only a restart ends the drain.
    backends[0].set_fault()
    _send(handler, 40, prefix=b"later")
    assert _run_count(backends[0]) == before


def test_drain_in_settings_lets_requests_in_flight_finish(handler, backends):
    backends[0].set_fault(delay_ms=100)
    task = gevent.spawn(_send, handler, 30)
    gevent.sleep(0.05)
    handler.reconfigure({"/s": _service(backends, s0={"draining": True})})
    assert set(task.get()) == {b"ok"}
    before = _run_count(backends[0])
    _send(handler, 40, prefix=b"later")
    assert _run_count(backends[0]) == before


def test_declared_drain_stops_new_requests(handler, backends):
    _send(handler, 4)
    before = _run_count(backends[0])
    handler.set_draining({f"127.0.0.1:{backends[0].port}"})
    _send(handler, 40, prefix=b"later")
    assert _run_count(backends[0]) == before


def test_fast_failing_server_is_ejected(handler, backends):
    backends[0].set_fault(fail=True)
    outcomes = _send(handler, 100)
    # Both slots may be in use when the third failure is counted, so that one
    # more request fails.
    assert 0 < outcomes.count(b"failed") <= 4


def test_unresponsive_server_loses_few_requests(handler, backends):
    backends[0].set_fault(silent=True)
    outcomes = _send(handler, 60, method=b"POST")
    # Requests in both slots are lost, and one more that gets the first free
    # slot before the second timeout ejects the server.
    assert 0 < outcomes.count(b"unknown") <= 3
    assert set(outcomes) <= {b"ok", b"unknown"}
    assert (
        max(max(b.execution_counts.values(), default=0) for b in backends) == 1
    )


def test_non_idempotent_requests_run_once_when_responses_are_truncated(
    handler, backends
):
    for standin in backends:
        standin.set_fault(truncate=True)
    outcomes = _send(handler, 10, method=b"POST")
    assert set(outcomes) == {b"unknown"}
    runs = {}
    for standin in backends:
        for request_id, count in standin.execution_counts.items():
            runs[request_id] = runs.get(request_id, 0) + count
    assert len(runs) == 10
    assert set(runs.values()) == {1}


def test_not_run_refusals_are_retried_on_another_server(handler, backends):
    # The initial retry budget of a service covers three retries, so the
    # backoff must keep the other requests away from the refusing server.
    backends[0].set_fault(refuse=True)
    assert set(_send(handler, 200, method=b"POST")) == {b"ok"}


def test_stopped_server_does_not_exhaust_the_retry_budget(handler, backends):
    backends[0].stop()
    assert set(_send(handler, 400, method=b"POST")) == {b"ok"}


def test_all_servers_draining_yields_not_run(handler, backends):
    for standin in backends:
        standin.set_fault(draining=True)
    outcomes = _send(handler, 10, method=b"POST")
    assert set(outcomes) == {b"not-run"}
    assert all(_run_count(standin) == 0 for standin in backends)
