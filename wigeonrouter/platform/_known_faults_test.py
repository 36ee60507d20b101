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
