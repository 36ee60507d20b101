"""Tests of health checks whose response the server writes once more."""

import gevent
import pytest

from wigeonrouter import core
from wigeonrouter import events as events_api
from wigeonrouter import http1
from wigeonrouter import topology
from wigeonrouter.node import _prober
from wigeonrouter.platform import _http

WAIT_S = 5.0
# In which a response that was sent has arrived.
ARRIVAL_S = 0.05


def _rejection(pause, queued=3):
    return (
        b"HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nRetry-After: %d\r\n"
        b"Server-Load: 2,%d,2,100\r\nContent-Length: 0\r\n\r\n"
        % (pause, queued)
    )


HEALTHY = (
    b"HTTP/1.1 200 OK\r\nServer-Load: 0,0,2,100\r\nContent-Length: 0\r\n\r\n"
)


@pytest.fixture
def make_probe(scripted_server):
    """Return a function that makes a function which probes a server.

    Args:
      segments_by_request: for each request on a connection, the segments that
        the server sends.
    """

    def make(*segments_by_request):
        pool = http1.ConnectionPool()
        prober = _prober.Prober(
            pool=pool,
            codec=_http.HttpCodec(),
            events=events_api.EventLog(lines_per_second=0),
        )
        registration = topology.Registration(
            instance="server-1",
            service="alpha",
            address=scripted_server(segments_by_request),
            place=core.Place(region="r1", failure_domain="za"),
            slots=2,
            state=topology.RegistrationState.READY,
        )

        def probe():
            results = []
            prober.probe(
                [(registration, "/health")],
                timeout=WAIT_S,
                deliver=lambda _, result: results.append(result),
            )
            gevent.sleep(ARRIVAL_S)
            return results[0]

        return probe

    return make


def test_copied_rejection_does_not_prolong_a_pause(make_probe):
    """Guards against a pause that starts again with the copy.

    The copy arrives where the response to the next health check is due, and
    no id tells it from that.
    """
    probe = make_probe([_rejection(2)], [_rejection(2), HEALTHY])
    assert probe().metadata.pause == 2
    result = probe()
    assert not result.healthy
    assert result.metadata.pause is None


@pytest.mark.parametrize("second", [_rejection(3), _rejection(2, queued=4)])
def test_another_rejection_on_the_connection_names_a_pause(make_probe, second):
    """Guards against a pause that is ignored because there was one before."""
    probe = make_probe([_rejection(2)], [second])
    probe()
    assert probe().metadata.pause is not None


def test_response_behind_a_copy_is_not_that_of_the_next_check(make_probe):
    """Guards against health checks that all get the response before theirs.

    The own response arrives when the connection is idle.
    """
    probe = make_probe([HEALTHY], [HEALTHY, _rejection(2)])
    for _ in range(3):
        assert probe().healthy
