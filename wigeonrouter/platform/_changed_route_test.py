"""Tests of requests whose route changes while a node handles them."""

import gevent
import pytest

from wigeonrouter.platform import conftest

start_ready = conftest.start_ready
wait_until = conftest.wait_until
_SERVICE_TIME_S = 0.7
# Time in which a node applies a change.
_APPLIED_S = 0.3


def _configuration(version, **changes):
    routes = conftest.configuration()["routes"]
    route = {
        **routes["r-read"],
        "prefix": "/long/",
        "timeout": "3s",
        "target_latency": "2s",
        **changes,
    }
    return conftest.configuration(version, routes={"r-long": route})


def _without_route(version):
    return conftest.configuration(version)


def _with_short_timeout(version):
    return _configuration(version, timeout="200ms")


def _with_another_service(version):
    document = _configuration(version, service="beta")
    for name in ("r-read", "r-write"):
        document["routes"][name]["service"] = "beta"
    del document["services"]["alpha"]
    return document


@pytest.mark.parametrize(
    "change", [_without_route, _with_short_timeout, _with_another_service]
)
def test_requests_end_as_the_configuration_of_their_arrival_says(
    store, backend, node, caller, change
):
    """Guards against a change that ends requests which have been accepted.

    One is at the only server, the other waits for it.
    """
    store.put("op/config", _configuration(2))
    (server,) = start_ready(
        backend, node, "i-1", slots=1, service_time=_SERVICE_TIME_S
    )
    gevent.sleep(_APPLIED_S)
    tasks = []
    for number in range(2):
        tasks.append(
            gevent.spawn(
                caller.send,
                f"/long/{number}",
                request_id=f"r{number}",
                remaining=3000,
            )
        )
        wait_until(lambda: server.runs)
    store.put("op/config", change(3))
    gevent.sleep(_APPLIED_S)
    assert [task.value for task in tasks] == [None, None]
    assert [task.get().status for task in tasks] == [200, 200]
    assert [run.request_id for run in server.runs] == ["r0", "r1"]
