"""Tests of a node that is cut off from all backend servers."""

import random

import gevent
import pytest

from wigeonrouter import http1
from wigeonrouter.node import _link_monitor
from wigeonrouter.node import conftest

_WAIT_S = 5.0


class _ScriptedPool:
    """Pool whose connections to a server hang or are refused.

    Attributes:
      refusing: whether new connections are refused.
    """

    def __init__(self):
        self.refusing = False

    def checkout(self, *, address, limit, deadline, max_idle):
        if not self.refusing:
            gevent.sleep(0.21)
        raise http1.ConnectFailed("no connection")


@pytest.fixture
def pool():
    """Return the pool of the node."""
    return _ScriptedPool()


@pytest.fixture
def monitor(pool, make_known_server):
    """Run the LinkMonitor of a node that is cut off from three servers."""
    known = {
        f"server-{number}": make_known_server(f"server-{number}")
        for number in range(3)
    }
    monitor = _link_monitor.LinkMonitor(
        pool=pool,
        known=lambda: known,
        on_change=lambda: None,
        events=conftest.SilentEvents(),
        rng=random.Random(1),
    )
    task = gevent.spawn(monitor.run)
    for instance in known:
        monitor.on_no_response(instance)
    with gevent.Timeout(_WAIT_S):
        while not monitor.cut:
            gevent.sleep(0.01)
    task.kill()
    return monitor


def test_question_about_some_servers_does_not_change_what_a_check_found(
    monitor, pool
):
    """Guards against requests in flight that are left to hang.

    The node asks whether others than a server that ended are reached, while
    its connections hang.
    """
    assert monitor.hanging
    pool.refusing = True
    assert not monitor.reaches_others(["server-1"])
    assert monitor.hanging
