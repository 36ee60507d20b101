"""Tests of faults that are known and not mended yet; see KNOWN-RED.txt."""

import gevent

from wigeonrouter.platform import conftest

start_ready = conftest.start_ready
wait_until = conftest.wait_until


def test_request_of_all_callers_is_served_after_all_servers_ended(
    backend, node, caller
):
    """Guards against blaming a request for the end of all its servers.

    They end at once, for another reason, while each runs the request that
    all callers send. Servers of another service go on.
    """
    start_ready(backend, node, "i-other", service="beta")
    servers = start_ready(
        backend, node, "i-1", "i-2", "i-3", "i-4", slots=1, service_time=0.8
    )
    tasks = [
        gevent.spawn(caller.send, "/read/hot", request_id=f"hot-{number}")
        for number in range(len(servers))
    ]
    wait_until(lambda: all(server.runs for server in servers))
    for server in servers:
        server.stop()
    gevent.joinall(tasks)
    start_ready(backend, node, "i-5", "i-6")
    assert caller.send("/read/other").status == 200
    assert caller.send("/read/hot").status == 200


def test_timeout_below_the_latency_of_slow_servers_is_kept(
    store, backend, node, caller
):
    """Guards against an estimate that refuses all requests for good.

    Servers were slow, the operator lowered the timeout of the route, and the
    servers are quick again. Without responses nothing corrects the estimate.
    """
    servers = start_ready(backend, node, "i-1", "i-2", service_time=0.8)
    for number in range(6):
        assert caller.send(f"/read/{number}").status == 200
    route = conftest.configuration()["routes"]["r-read"]
    store.put(
        "op/config",
        conftest.configuration(
            2, routes={"r-read": {**route, "timeout": "250ms"}}
        ),
    )
    for server in servers:
        server.stop()
    start_ready(backend, node, "i-3", "i-4", service_time=0.02)
    gevent.sleep(1.0)
    statuses = []
    for number in range(40):
        statuses.append(caller.send(f"/read/late-{number}").status)
        gevent.sleep(0.05)
    assert statuses[-1] == 200
