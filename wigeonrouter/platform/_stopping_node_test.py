"""Tests of what callers with open connections see while a node stops."""

import dataclasses
import time

import gevent
from gevent import monkey
from gevent import socket
import pytest

from wigeonrouter import http1
from wigeonrouter import topology
from wigeonrouter.platform import conftest
from wigeonrouter.platform import testing

start_ready = conftest.start_ready
_GRACE_S = 2.0
# Leaves a request that is sent late the whole timeout of its route.
_LONG_GRACE_S = 4.0
_ROUTE_TIMEOUT_S = 1.0
# Time after the signal from which on servers take long.
_STILL_FROM_S = 1.0
_RECEIVE_BYTES = 65536
# Time for which the event loop of a node is held up, and the time after it
# when a request arrives.
_HELD_UP_S = 0.6
_ARRIVES_AFTER_S = 0.5
# Sleeps without letting any other task run.
hold_up = monkey.get_original("time", "sleep")


class _OpenConnection:
    """A connection that its caller keeps open for several requests."""

    def __init__(self, *, address):
        self._sock = socket.create_connection((address.host, address.port))

    def send(self, request_id):
        """Send an idempotent request and return the status, None if closed."""
        data = testing.render_request(
            method="GET",
            target="/read/a",
            host=conftest.HOST,
            request_id=request_id,
            remaining=2 * _ROUTE_TIMEOUT_S,
            body=b"",
        )
        try:
            self._sock.sendall(data)
            return testing.read_response(
                lambda: self._sock.recv(_RECEIVE_BYTES), method=b"GET"
            ).status
        except (OSError, http1.MalformedMessage):
            return None


@pytest.fixture
def node(make_settings, start_node):
    """Run a node whose callers drop its entries long before it exits."""
    bounds = topology.Bounds(stop_grace=_GRACE_S, max_entry_ttl=0.25)
    return start_node(make_settings(bounds=bounds))


def test_request_on_an_open_connection_is_not_lost_with_a_silent_server(
    backend, node
):
    """Guards against a stop that trusts in servers which were quick before.

    Callers use connections that have been idle since before the stop. Shortly
    before the node accepts no more requests, its servers stand still.
    """
    servers = start_ready(backend, node, "i-1", "i-2", slots=40)
    address = node.settings.caller_address
    connections = [_OpenConnection(address=address) for _ in range(24)]
    for number, connection in enumerate(connections):
        assert connection.send(f"first-{number}") == 200
    stopping = gevent.spawn(node.stop)
    gevent.spawn_later(_STILL_FROM_S, _stand_still, servers)
    late = {}
    tasks = [
        gevent.spawn_later(
            0.055 * number, _record, late, connection, f"late-{number}"
        )
        for number, connection in enumerate(connections)
    ]
    stopping.join()
    # The process ends here, with the connections of what is not finished.
    gevent.killall(tasks)
    run_ids = {run.request_id for server in servers for run in server.runs}
    sent_ids = run_ids & {f"late-{number}" for number in range(24)}
    assert len(sent_ids) > 5
    assert {late.get(request_id) for request_id in sent_ids} == {200}
    assert 503 in late.values()


def _stand_still(servers):
    for server in servers:
        server.extra_time = 0.9 * _ROUTE_TIMEOUT_S


def _record(results, connection, request_id):
    results[request_id] = connection.send(request_id)


def test_request_after_a_pause_keeps_the_time_of_its_route(
    backend, node, caller
):
    """Guards against a response that is given up before the route's timeout.

    The node was held up, and the request arrives when it no longer is.
    """
    start_ready(backend, node, "i-1", "i-2")
    assert caller.send("/read/a").status == 200
    hold_up(_HELD_UP_S)
    gevent.sleep(_ARRIVES_AFTER_S)
    assert caller.send("/read/b").status == 200


def test_node_that_was_held_up_ends_within_the_grace_of_its_signal(node):
    """Guards against a process that is killed with requests in progress.

    The grace runs from the signal, which may have waited to be handled.
    """
    connection = _OpenConnection(address=node.settings.caller_address)
    gevent.sleep(0.05)
    began = time.monotonic()
    hold_up(_HELD_UP_S)
    node.stop()
    assert time.monotonic() - began < _GRACE_S
    assert connection.send("after") is None


def _fail():
    raise RuntimeError("unexpected")


@pytest.mark.parametrize("step", ["leave the region", "stop the server"])
def test_stop_waits_for_requests_if_one_of_its_steps_fails(
    backend, make_settings, start_node, monkeypatch, step
):
    """Guards against a stop that ends at once, with requests in progress."""
    bounds = topology.Bounds(stop_grace=_LONG_GRACE_S, max_entry_ttl=0.25)
    node = start_node(make_settings(bounds=bounds))
    caller = conftest.Caller(address=node.settings.caller_address)
    if step == "leave the region":
        monkeypatch.setattr(node.region_member, "leave", _fail)
    else:
        monkeypatch.setattr(node._node_servers.callers, "stop", _fail)
    start_ready(backend, node, "i-1", service_time=0.78)
    assert caller.send("/read/a").status == 200
    stopping = gevent.spawn(node.stop)
    gevent.sleep(0.5 * _LONG_GRACE_S)
    request = gevent.spawn(caller.send, "/read/b")
    stopping.join()
    assert stopping.successful()
    # The process ends here, with the connections of what is not finished.
    assert request.ready()
    assert request.value.status == 200


def test_shorter_grace_of_a_reload_does_not_end_a_stop(backend, node, caller):
    """Guards against settings that cut off what a stopping node has taken."""
    start_ready(backend, node, "i-1", service_time=0.8)
    stopping = gevent.spawn(node.stop)
    gevent.sleep(0.2)
    request = gevent.spawn(caller.send, "/read/a")
    gevent.sleep(0.1)
    bounds = dataclasses.replace(node.settings.bounds, stop_grace=0.5)
    node.reload(dataclasses.replace(node.settings, bounds=bounds))
    stopping.join()
    assert request.ready()
    assert request.value.status == 200
