"""End-to-end tests of one node between callers and emulated servers."""

import dataclasses
import re

import gevent
import pytest

from wigeonrouter import topology
from wigeonrouter.platform import _http
from wigeonrouter.platform import conftest

start_ready = conftest.start_ready
wait_until = conftest.wait_until


def test_response_is_forwarded_unchanged(backend, node, caller):
    """Guards against a response that differs from the backend server's."""
    (server,) = start_ready(backend, node, "i-1")
    response = caller.send("/read/a?x=1", request_id="one")
    assert response.status == 200
    assert response.body == b"body of /read/a?x=1"
    assert response.headers["server-stamp"] == "stamp.i-1"
    assert response.headers["request-id"] == "one"
    (run,) = server.runs
    assert (run.request_id, run.target) == ("one", "/read/a?x=1")
    assert 1 <= run.deadline_ms <= 1000


def test_request_body_is_forwarded_unchanged(backend, node, caller):
    """Guards against a request body that is changed by the node."""
    (server,) = start_ready(backend, node, "i-1")
    body = b"x" * 5000
    assert caller.send("/write/a", method="POST", body=body).status == 200
    assert server.runs[0].body == body


def test_unknown_path_and_host_are_not_found(backend, node, caller):
    """Guards against forwarding a request that matches no route."""
    start_ready(backend, node, "i-1")
    assert caller.send("/other/a").status == 404
    assert caller.send("/read/a", host="no.example").status == 404


def test_node_without_configuration_is_not_ready(
    store, make_settings, start_node
):
    """Guards against a 404 response before the routes are known."""
    store.remove("op/config")
    settings = make_settings()
    node = start_node(settings, wait=False)
    response = conftest.Caller(address=settings.caller_address).send("/read/a")
    assert response.status == 503
    assert float(response.headers["retry-after"]) > 0
    readiness = conftest.Caller(address=settings.readiness_address)
    assert readiness.send("/api/readiness").status == 503
    store.put("op/config", conftest.configuration())
    wait_until(lambda: node.ready)
    assert readiness.send("/api/readiness").status == 200


def test_directory_names_the_node(node):
    """Guards against a directory response without an entry."""
    directory = conftest.Caller(address=node.settings.directory_address)
    response = directory.send(f"/api/resolve?name={conftest.HOST}&region=r1")
    assert response.status == 200
    assert str(node.settings.caller_address).encode() in response.body


@pytest.mark.parametrize("fault", ["truncate", "cut-head", "garbage", "reset"])
def test_non_idempotent_request_runs_once_if_its_response_is_lost(
    backend, node, caller, fault
):
    """Guards against a retry or "not executed" after a lost response.

    The server may have executed the request before its response was lost.
    """
    one, two = start_ready(backend, node, "i-1", "i-2")
    one.fault = two.fault = fault
    response = caller.send("/write/a", method="POST", body=b"x")
    assert response.status == 502
    assert "server-stamp" not in response.headers
    assert len(one.runs) + len(two.runs) == 1


@pytest.mark.parametrize(
    "fault", ["truncate", "cut-head", "garbage", "reset", "errors"]
)
def test_idempotent_request_is_retried_on_another_server(
    backend, node, caller, fault
):
    """Guards against failing a request that another server can handle."""
    bad, good = start_ready(backend, node, "i-1", "i-2")
    bad.fault = fault
    # The bad server is preferred as long as it does not fail.
    good.slowdown = 2.0
    for _ in range(20):
        last_response = caller.send("/read/a")
        if bad.runs:
            break
    assert bad.runs and last_response.status == 200
    assert last_response.headers["server-stamp"] == "stamp.i-2"


def test_rejected_request_is_retried_on_another_server(backend, node, caller):
    """Guards against rejecting a request that another server has a slot for.

    The first server states that it did not execute the request, so that even
    a non-idempotent one may be retried.
    """
    bad, good = start_ready(backend, node, "i-1", "i-2")
    bad.fault = "shed"
    # The bad server is preferred as long as it does not reject.
    good.slowdown = 2.0
    for _ in range(20):
        response = caller.send("/write/a", method="POST", body=b"x")
        if bad.rejected_count:
            break
    assert bad.rejected_count and response.status == 200


def test_rejection_promises_not_executed_only_if_true(backend, node, caller):
    """Guards against a "not executed" response to an executed request."""
    (server,) = start_ready(backend, node, "i-1")
    server.fault = "shed"
    response = caller.send("/write/a", method="POST", body=b"x")
    assert response.status == 503 and not server.runs
    assert float(response.headers["retry-after"]) > 0


@pytest.mark.parametrize("method", ["GET", "POST"])
@pytest.mark.parametrize("status", [408, 429, 503])
def test_promise_that_the_server_did_not_make_does_not_reach_the_caller(
    backend, node, caller, status, method
):
    """Guards against "has not run" for a request that a server ran.

    The server ran it and responds with a status that promises callers that it
    has not, without a statement of its own.
    """
    (server,) = start_ready(backend, node, "i-1")
    server.run_status = status
    path = "/write/a" if method == "POST" else "/read/a"
    response = caller.send(path, method=method)
    assert server.runs
    assert response.status == 502
    assert "server-stamp" not in response.headers


def test_response_to_another_request_is_dropped(backend, node, caller):
    """Guards against returning the response to another request.

    The server sends a response with another request ID before the right one.
    """
    (server,) = start_ready(backend, node, "i-1")
    server.fault = "stray"
    response = caller.send("/write/a", method="POST", body=b"x")
    assert response.status == 200
    assert response.headers["server-stamp"] == "stamp.i-1"


def test_response_without_content_length_is_complete(backend, node, caller):
    """Guards against rejecting a response that ends with the connection."""
    (server,) = start_ready(backend, node, "i-1")
    server.fault = "unframed"
    response = caller.send("/read/a")
    assert (response.status, response.body) == (200, b"body of /read/a")


def test_route_timeout_ends_the_request(store, backend, node, caller):
    """Guards against keeping a caller longer than the route's timeout."""
    (server,) = start_ready(backend, node, "i-1")
    server.fault = "hang"
    response = caller.send(
        "/write/a", method="POST", body=b"x", remaining=5000
    )
    assert response.status == 502
    assert 0.9 < response.seconds < 1.3


def test_caller_disconnect_cancels_the_request(backend, node, caller):
    """Guards against executing requests of callers that disconnected."""
    (server,) = start_ready(backend, node, "i-1", service_time=0.6)
    task = gevent.spawn(caller.send, "/read/a", request_id="left")
    wait_until(lambda: server.runs)
    task.kill()
    wait_until(lambda: server.cancelled == ["left"], timeout=0.5)


def test_stopping_node_still_serves_requests(backend, node, caller):
    """Guards against aborting requests at a planned stop."""
    start_ready(backend, node, "i-1", service_time=0.2)
    task = gevent.spawn(caller.send, "/read/a")
    gevent.sleep(0.05)
    stop_task = gevent.spawn(node.stop)
    gevent.sleep(0.05)
    assert not node.ready
    late_response = caller.send("/read/b")
    assert late_response.status == 200
    assert late_response.headers["connection"] == "close"
    assert task.get().status == 200
    stop_task.join()


@pytest.fixture
def node_with_grace(make_settings, start_node):
    """Run a node with a stop grace of two seconds."""
    bounds = topology.Bounds(stop_grace=2.0, retry_ratio=0.2)
    return start_node(make_settings(bounds=bounds))


def test_late_requests_to_a_stopping_node_are_finished_or_rejected(
    backend, node_with_grace
):
    """Guards against requests that a planned stop cuts off unanswered.

    Callers with an old entry send requests until the node is gone, and each
    takes longer than the rest of the stop grace towards its end.
    """
    servers = start_ready(
        backend, node_with_grace, "i-1", "i-2", service_time=0.6, slots=30
    )
    _check_requests_during_a_stop(node_with_grace, servers)


def test_request_that_takes_longer_than_usual_is_not_cut_off_by_a_stop(
    backend, node_with_grace
):
    """Guards against a stop that relies on how long requests took before.

    While the node stops, requests begin to take nearly as long as their route
    allows.
    """
    servers = start_ready(
        backend, node_with_grace, "i-1", "i-2", service_time=0.05, slots=30
    )

    def slow_down():
        for server in servers:
            server.extra_time = 0.75

    gevent.spawn_later(1.1, slow_down)
    _check_requests_during_a_stop(node_with_grace, servers)


def _check_requests_during_a_stop(node, servers):
    """Send requests while a node stops; each that runs gets its response."""
    caller = conftest.Caller(address=node.settings.caller_address)
    callers = [gevent.spawn(caller.send, "/read/a") for _ in range(4)]
    gevent.joinall(callers, raise_error=True)
    ran_before = sum(len(server.runs) for server in servers)
    sent = {}

    def send(request_id):
        try:
            sent[request_id] = caller.send(
                "/write/a", method="POST", body=b"x", request_id=request_id
            ).status
        except OSError:
            sent[request_id] = None

    tasks = [gevent.spawn(node.stop)]
    for number in range(36):
        tasks.append(gevent.spawn(send, f"late-{number}"))
        gevent.sleep(0.05)
    tasks[0].join()
    # The process ends here, with the connections of what is not finished.
    gevent.killall(tasks, exception=OSError)
    run_ids = {run.request_id for server in servers for run in server.runs} - {
        "id-1",
        "id-2",
        "id-3",
        "id-4",
    }
    assert len(run_ids) > 5 and ran_before == 4
    assert {sent.get(request_id) for request_id in run_ids} == {200}
    rejected = [status for status in sent.values() if status == 503]
    assert rejected


def test_metrics_count_requests_by_route_and_outcome(backend, node, caller):
    """Guards against failures that no metric counts."""
    (server,) = start_ready(backend, node, "i-1")
    assert caller.send("/read/a").status == 200
    server.fault = "shed"
    assert caller.send("/write/a", method="POST", body=b"x").status == 503
    control = conftest.Caller(address=node.settings.control_address)
    text = control.send("/metrics").body.decode()
    assert (
        'wigeonrouter_requests_total{kind="r-read",outcome="ok",problem="",'
        f'service="alpha",tenant="{conftest.HOST}"}} 1.0'
    ) in text
    assert 'kind="r-write",outcome="not-run",problem="deadline' in text
    assert 'wigeonrouter_events_total{event="attempt"}' in text
    assert control.send("/other").status == 404


def test_metrics_count_responses_that_cannot_be_believed(
    backend, node, caller
):
    """Guards against surplus and false refusals that only a log shows."""
    (server,) = start_ready(backend, node, "i-1")
    server.run_status = 503
    assert caller.send("/write/a", method="POST").status == 502
    server.run_status = 200
    server.fault = "stray"
    assert caller.send("/write/a", method="POST").status == 200
    control = conftest.Caller(address=node.settings.control_address)
    text = control.send("/metrics").body.decode()
    for event in ("promise-unfounded", "stray-responses"):
        assert f'wigeonrouter_events_total{{event="{event}"}} 1.0' in text
    opened = re.search(
        r"^wigeonrouter_server_connections_opened_total (\S+)$",
        text,
        re.MULTILINE,
    )
    assert float(opened[1]) > 0


def test_changed_settings_reach_all_components(node):
    """Guards against a reload that does not reach all components."""
    bounds = dataclasses.replace(node.settings.bounds, stop_grace=3.0)
    port = node.settings.peer_ports[0] + 1
    node.reload(
        dataclasses.replace(
            node.settings,
            bounds=bounds,
            capacity=3000,
            peer_ports=(port, 0),
        )
    )
    assert node.settings.bounds.stop_grace == 3.0
    assert node.settings.peer_ports != (port, 0)
    wait_until(lambda: node.region_member.peers[0].capacity == 3000, timeout=2)


def test_exception_during_an_attempt_is_not_a_rejection(
    backend, node, caller, monkeypatch
):
    """Guards against a "not executed" response for a request that was sent."""
    (server,) = start_ready(backend, node, "i-1")

    def fail(self, http_response):
        raise RuntimeError("fault")

    monkeypatch.setattr(_http.HttpCodec, "read_response", fail)
    response = caller.send("/write/a", method="POST", body=b"x")
    assert response.status not in (429, 503) and len(server.runs) == 1


def test_server_whose_responses_raise_errors_is_ejected(
    backend, node, caller, monkeypatch
):
    """Guards against a server that fails each request and still gets more.

    An unexpected error in handling its response did not count as a failure.
    """
    start_ready(backend, node, "i-1")
    read_response = _http.HttpCodec.read_response

    def fail(self, response):
        if response.header(b"request-id"):
            raise RuntimeError("fault")
        return read_response(self, response)

    monkeypatch.setattr(_http.HttpCodec, "read_response", fail)
    wait_until(lambda: caller.send("/read/a") and node.counts["server-paused"])


def test_queued_request_is_rejected_once_all_servers_are_removed(
    store, backend, node, caller
):
    """Guards against queueing requests that no server is left to handle."""
    patient_configuration = conftest.configuration(2)
    patient_configuration["routes"]["r-read"].update(
        target_latency="2500ms", timeout="3000ms"
    )
    store.put("op/config", patient_configuration)
    (server,) = start_ready(backend, node, "i-1", slots=1, service_time=0.8)
    running = gevent.spawn(caller.send, "/write/a", method="POST", body=b"x")
    wait_until(lambda: server.runs)
    queued = gevent.spawn(caller.send, "/read/b", remaining=5000)
    gevent.sleep(0.1)
    store.remove("servers/i-1")
    response = queued.get(timeout=3)
    assert response.status == 503 and response.seconds < 0.6
    assert running.get().status == 200


def test_server_ejection_and_recovery_are_logged(backend, node, caller):
    """Guards against ejections and recoveries that are not in the log."""
    (server,) = start_ready(backend, node, "i-1")
    server.fault = "errors"
    wait_until(lambda: caller.send("/read/a") and node.counts["server-paused"])
    server.fault = ""
    wait_until(lambda: caller.send("/read/a") and node.counts["server-back"])
