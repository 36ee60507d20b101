"""Tests of a node between emulated servers, from what callers see."""

import dataclasses

import gevent
import pytest

from wigeonrouter.platform import _http
from wigeonrouter.platform import conftest as tools

wait_until = tools.wait_until


def start_ready(backend, node, *instances, **options):
    """Run backend servers and wait until the node knows them."""
    servers = [backend(instance, **options) for instance in instances]
    wait_until(lambda: set(instances) <= node.servers)
    return servers


def test_answer_comes_back_unchanged(backend, node, caller):
    """Guards against an answer that is not the backend server's."""
    (server,) = start_ready(backend, node, "i-1")
    answer = caller.send("/read/a?x=1", request_id="one")
    assert answer.status == 200
    assert answer.body == b"body of /read/a?x=1"
    assert answer.headers["server-stamp"] == "stamp.i-1"
    assert answer.headers["request-id"] == "one"
    (run,) = server.runs
    assert (run.request_id, run.target) == ("one", "/read/a?x=1")
    assert 1 <= run.deadline_ms <= 1000


def test_body_reaches_the_server(backend, node, caller):
    """Guards against a body that is changed on the way."""
    (server,) = start_ready(backend, node, "i-1")
    body = b"x" * 5000
    assert caller.send("/write/a", method="POST", body=body).status == 200
    assert server.runs[0].body == body


def test_unknown_path_and_host_are_not_found(backend, node, caller):
    """Guards against a request that runs without a route."""
    start_ready(backend, node, "i-1")
    assert caller.send("/other/a").status == 404
    assert caller.send("/read/a", host="no.example").status == 404


def test_node_without_configuration_is_not_ready(
    store, make_settings, start_node
):
    """Guards against a 404 for routes that are only not yet known."""
    store.remove("op/config")
    settings = make_settings()
    node = start_node(settings, wait=False)
    answer = tools.Caller(address=settings.caller_address).send("/read/a")
    assert answer.status == 503
    assert float(answer.headers["retry-after"]) > 0
    readiness = tools.Caller(address=settings.readiness_address)
    assert readiness.send("/api/readiness").status == 503
    store.put("op/config", tools.configuration())
    wait_until(lambda: node.ready)
    assert readiness.send("/api/readiness").status == 200


def test_directory_names_the_node(node):
    """Guards against callers that find no entry."""
    directory = tools.Caller(address=node.settings.directory_address)
    answer = directory.send(f"/api/resolve?name={tools.HOST}&region=r1")
    assert answer.status == 200
    assert str(node.settings.caller_address).encode() in answer.body


@pytest.mark.parametrize("fault", ["truncate", "garbage", "reset"])
def test_write_whose_answer_is_lost_runs_once(backend, node, caller, fault):
    """Guards against repeating what may have run, or saying it had not."""
    one, two = start_ready(backend, node, "i-1", "i-2")
    one.fault = two.fault = fault
    answer = caller.send("/write/a", method="POST", body=b"x")
    assert answer.status == 502
    assert "server-stamp" not in answer.headers
    assert len(one.runs) + len(two.runs) == 1


@pytest.mark.parametrize("fault", ["truncate", "garbage", "reset", "errors"])
def test_read_is_repeated_elsewhere(backend, node, caller, fault):
    """Guards against failing a read that another server can answer."""
    bad, good = start_ready(backend, node, "i-1", "i-2")
    bad.fault = fault
    for _ in range(20):
        node_answer = caller.send("/read/a")
        if bad.runs:
            break
    assert bad.runs and node_answer.status == 200
    assert node_answer.headers["server-stamp"] == "stamp.i-2"


def test_shed_write_is_sent_elsewhere(backend, node, caller):
    """Guards against refusing what another server has room for."""
    bad, good = start_ready(backend, node, "i-1", "i-2")
    bad.fault = "shed"
    for _ in range(20):
        answer = caller.send("/write/a", method="POST", body=b"x")
        if bad.refused:
            break
    assert bad.refused and answer.status == 200


def test_refusal_says_not_run_only_where_it_is_true(backend, node, caller):
    """Guards against a refusal of a request that ran."""
    (server,) = start_ready(backend, node, "i-1")
    server.fault = "shed"
    answer = caller.send("/write/a", method="POST", body=b"x")
    assert answer.status == 503 and not server.runs
    assert float(answer.headers["retry-after"]) > 0


def test_stray_answer_of_another_request_is_dropped(backend, node, caller):
    """Guards against handing out the answer to another request."""
    (server,) = start_ready(backend, node, "i-1")
    server.fault = "stray"
    answer = caller.send("/write/a", method="POST", body=b"x")
    assert answer.status == 200
    assert answer.headers["server-stamp"] == "stamp.i-1"


def test_answer_without_a_length_is_whole(backend, node, caller):
    """Guards against refusing an answer that ends with its connection."""
    (server,) = start_ready(backend, node, "i-1")
    server.fault = "unframed"
    answer = caller.send("/read/a")
    assert (answer.status, answer.body) == (200, b"body of /read/a")


def test_timeout_of_the_route_ends_the_wait(store, backend, node, caller):
    """Guards against holding a caller past the operator's time."""
    (server,) = start_ready(backend, node, "i-1")
    server.fault = "hang"
    answer = caller.send("/write/a", method="POST", body=b"x", remaining=5000)
    assert answer.status == 502
    assert 0.9 < answer.seconds < 1.3


def test_caller_that_leaves_ends_the_work(backend, node, caller):
    """Guards against work for a caller that has gone."""
    (server,) = start_ready(backend, node, "i-1", work=0.6)
    task = gevent.spawn(caller.send, "/read/a", request_id="left")
    wait_until(lambda: server.runs)
    task.kill()
    wait_until(lambda: server.cancelled == ["left"], timeout=0.5)


def test_draining_server_gets_no_new_work(store, backend, node, caller):
    """Guards against work for a server that leaves."""
    leaving, _ = start_ready(backend, node, "i-1", "i-2")
    store.put("servers/i-1", leaving.entry(state="draining", sequence=2))
    gevent.sleep(0.5)
    before = len(leaving.runs)
    for _ in range(10):
        assert caller.send("/read/a").status == 200
    assert len(leaving.runs) == before


def test_reused_address_does_not_run_foreign_requests(
    store, backend, node, caller
):
    """Guards against a request that runs at another service's server."""
    (old,) = start_ready(backend, node, "i-1")
    old.instance, old.service = "i-9", "beta"
    answer = caller.send("/write/a", method="POST", body=b"x")
    assert answer.status == 503 and not old.runs


@pytest.mark.parametrize(
    "value",
    [
        b"\xff\xfe",
        {},
        {"address": 7},
        {"address": "127.0.0.1:1", "info": [], "status": {}},
        {"address": "127.0.0.1:1", "info": {"service": "alpha"}},
    ],
)
def test_bad_registration_harms_no_other(store, backend, node, caller, value):
    """Guards against an entry of another writer that stops the node."""
    start_ready(backend, node, "i-1")
    store.put("servers/i-bad", value)
    store.put("servers/i-2", {"address": "127.0.0.1:1"})
    gevent.sleep(0.4)
    assert node.servers == {"i-1"}
    assert caller.send("/read/a").status == 200


def test_new_configuration_is_in_force_and_older_ones_are_not(
    store, backend, node, caller
):
    """Guards against a configuration that comes late or goes back."""
    start_ready(backend, node, "i-1")
    added = tools.configuration(2)
    added["routes"]["r-new"] = dict(added["routes"]["r-read"], prefix="/new/")
    store.put("op/config", added)
    wait_until(lambda: caller.send("/new/a").status == 200, timeout=2.0)
    store.put("op/config", tools.configuration(1))
    gevent.sleep(0.6)
    assert caller.send("/new/a").status == 200


@pytest.mark.parametrize("value", [b"{", {"version": "zz"}, {"routes": 1}])
def test_unreadable_configuration_keeps_the_one_in_force(
    store, backend, node, caller, value
):
    """Guards against losing all routes for one bad write."""
    start_ready(backend, node, "i-1")
    store.put("op/config", value)
    gevent.sleep(0.4)
    assert caller.send("/read/a").status == 200


def test_requests_go_on_while_the_store_is_down(store, backend, node, caller):
    """Guards against a store outage that stops callers."""
    start_ready(backend, node, "i-1")
    store.silent = True
    gevent.sleep(2.0)
    assert caller.send("/read/a").status == 200
    store.silent = False
    backend("i-2")
    wait_until(lambda: "i-2" in node.servers, timeout=5)


def test_node_that_starts_on_an_old_listing_learns_the_rest(
    store, backend, make_settings, start_node
):
    """Guards against a configuration that a new node never sees."""
    store.old_reads = True
    changed = tools.configuration(2)
    changed["routes"]["r-new"] = dict(
        changed["routes"]["r-read"], prefix="/n/"
    )
    store.put("op/config", changed)
    backend("i-1")
    node = start_node(make_settings())
    caller = tools.Caller(address=node.settings.caller_address)
    wait_until(lambda: caller.send("/n/a").status == 200, timeout=1.5)


def test_lost_history_is_listed_anew(store, backend, node):
    """Guards against changes that are missed for ever."""
    start_ready(backend, node, "i-1")
    store.refusing = True
    gevent.sleep(1.3)
    backend("i-2")
    store.remove("servers/i-1")
    store.forget_history()
    store.refusing = False
    wait_until(lambda: node.servers == {"i-2"}, timeout=5)


def test_listing_that_fails_is_not_repeated_at_once(store, backend, node):
    """Guards against a stream of calls while the store is in trouble.

    Replays dropped history while listings are refused.
    """
    start_ready(backend, node, "i-1")
    store.refusing = True
    gevent.sleep(1.3)
    backend("i-2")
    store.forget_history()
    store.refusing_lists = True
    store.refusing = False
    gevent.sleep(0.6)
    before = store.calls
    gevent.sleep(1.0)
    assert store.calls - before < 15
    store.refusing_lists = False
    wait_until(lambda: "i-2" in node.servers, timeout=5)


def test_lapsed_registrations_are_kept_for_their_return(
    store, backend, node, caller
):
    """Guards against losing all servers with an outage of the store."""
    servers = start_ready(backend, node, "i-1", "i-2", "i-3")
    store.refusing = True
    gevent.sleep(1.3)
    for server in servers:
        store.remove(f"servers/{server.instance}")
    store.refusing = False
    wait_until(lambda: store.calls and node.region_member.role.store_answers)
    gevent.sleep(0.3)
    assert caller.send("/read/a").status == 200
    store.put("servers/i-1", servers[0].entry(sequence=2))
    wait_until(lambda: node.servers == {"i-1"}, timeout=5)


def test_stop_serves_those_who_still_come(backend, node, caller):
    """Guards against cutting requests at a planned stop."""
    start_ready(backend, node, "i-1", work=0.2)
    task = gevent.spawn(caller.send, "/read/a")
    gevent.sleep(0.05)
    stopping = gevent.spawn(node.stop)
    gevent.sleep(0.05)
    assert not node.ready
    late = caller.send("/read/b")
    assert late.status == 200
    assert late.headers["connection"] == "close"
    assert task.get().status == 200
    stopping.join()


def test_usual_wait_of_callers_outlasts_all_nodes(
    store, backend, make_settings, start_node
):
    """Guards against taking late callers for fresh ones after a restart."""
    store.put("wigeonrouter/waits/r-read", b"4000")
    settings = make_settings()
    node = start_node(settings)
    start_ready(backend, node, "i-1")
    caller = tools.Caller(address=settings.caller_address)
    assert caller.send("/read/a", remaining=3900).status == 200
    assert node.stored_caller_timeouts == {"r-read": 4.0}


def test_metrics_count_requests_by_route_and_outcome(backend, node, caller):
    """Guards against failures that no counter shows."""
    (server,) = start_ready(backend, node, "i-1")
    assert caller.send("/read/a").status == 200
    server.fault = "shed"
    assert caller.send("/write/a", method="POST", body=b"x").status == 503
    control = tools.Caller(address=node.settings.control_address)
    text = control.send("/metrics").body.decode()
    assert (
        'wigeonrouter_requests_total{kind="r-read",outcome="ok",problem="",'
        f'service="alpha",tenant="{tools.HOST}"}} 1.0'
    ) in text
    assert 'kind="r-write",outcome="not-run",problem="deadline' in text
    assert 'wigeonrouter_events_total{event="attempt"}' in text
    assert control.send("/other").status == 404


def test_changed_settings_reach_the_parts(node):
    """Guards against a reload that only the life cycle notices."""
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


def test_failure_inside_an_attempt_is_no_refusal(
    backend, node, caller, monkeypatch
):
    """Guards against saying "not run" of a request that was sent."""
    (server,) = start_ready(backend, node, "i-1")

    def fail(self, response):
        raise RuntimeError("fault")

    monkeypatch.setattr(_http.HttpCodec, "read_response", fail)
    answer = caller.send("/write/a", method="POST", body=b"x")
    assert answer.status not in (429, 503) and len(server.runs) == 1


def test_waiting_request_is_refused_once_all_servers_have_gone(
    store, backend, node, caller
):
    """Guards against holding what surely cannot be served any more."""
    patient = tools.configuration(2)
    patient["routes"]["r-read"].update(
        target_latency="2500ms", timeout="3000ms"
    )
    store.put("op/config", patient)
    (server,) = start_ready(backend, node, "i-1", slots=1, work=0.8)
    running = gevent.spawn(caller.send, "/write/a", method="POST", body=b"x")
    wait_until(lambda: server.runs)
    waiting = gevent.spawn(caller.send, "/read/b", remaining=5000)
    gevent.sleep(0.1)
    store.remove("servers/i-1")
    answer = waiting.get(timeout=3)
    assert answer.status == 503 and answer.seconds < 0.6
    assert running.get().status == 200


def test_servers_that_fail_and_return_are_logged(backend, node, caller):
    """Guards against beliefs about servers that no log line explains."""
    (server,) = start_ready(backend, node, "i-1")
    server.fault = "errors"
    wait_until(lambda: caller.send("/read/a") and node.counts["server-paused"])
    server.fault = ""
    wait_until(lambda: caller.send("/read/a") and node.counts["server-back"])
