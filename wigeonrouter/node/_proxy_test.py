"""Tests of what a caller is told of a request that was sent to servers."""

import dataclasses
import random

import pytest

from wigeonrouter import core
from wigeonrouter import http1
from wigeonrouter import placement
from wigeonrouter import topology
from wigeonrouter.node import _forwarder
from wigeonrouter.node import _grant
from wigeonrouter.node import _proxy
from wigeonrouter.node import _request_log
from wigeonrouter.node import _sender
from wigeonrouter.node import messages

_NOW = 100.0
_SERVER = core.Address(host="127.0.0.2", port=80)
_SETTINGS = topology.NodeSettings(
    name="node-1",
    place=core.Place(region="r1", failure_domain="za"),
    host="127.0.0.1",
    caller_address=None,
    readiness_address=None,
    directory_address=None,
    control_address=None,
    store_address=core.Address(host="127.0.0.1", port=1),
    peer_ports=(2, 3),
    seeds=(),
    capacity=1000,
    memory_bytes=200_000_000,
    regions={"za": "r1"},
    heartbeat=1.5,
    bounds=topology.Bounds(),
)
# Statuses that promise that a request has not run.
_PROMISES = frozenset({408, 421, 429, 503})

_LOST = _sender.Attempt(
    outcome=placement.AttemptOutcome.RESPONSE_LOST, may_have_run=True
)
_UNREACHABLE = _sender.Attempt(
    outcome=placement.AttemptOutcome.UNREACHABLE, may_have_run=False
)


@dataclasses.dataclass(kw_only=True)
class _Script:
    """What the parts around a Proxy do.

    Attributes:
      attempts: what the sender returns or raises, in this order, or a
        function from the ClusterState and may_send() to it.
      fails: names of the parts that fail, "release", "crash-monitor", "log".
      cut: whether the node is cut off from the servers.
    """

    attempts: list
    fails: frozenset = frozenset()
    cut: bool = False
    cluster_state: object = None

    def check(self, part):
        if part in self.fails:
            raise KeyError(part)

    def next_attempt(self, *args, may_send=None, **options):
        result = self.attempts.pop(0)
        if callable(result):
            result = result(self.cluster_state, may_send)
        if isinstance(result, Exception):
            raise result
        return result


class _Budget:
    """RetryBudget without a limit."""

    def on_request(self, now):
        pass

    def try_spend(self, now):
        return True


class _Balancer:
    """Balancer of one server that always has a free slot."""

    budget = _Budget()

    def __init__(self, *, script):
        self._script = script

    def check_homes(self, pending):
        return None

    def check_stopping(self, pending, route):
        return None

    def outlasts(self, pending):
        return True

    def acquire(self, pending, route, *, should_leave):
        return _grant.Grant(
            registration=topology.Registration(
                instance="server-1",
                service="alpha",
                address=_SERVER,
                place=core.Place(region="r1", failure_domain="za"),
                slots=2,
                state=topology.RegistrationState.READY,
            ),
            granted_at=_NOW,
            expected_slowdown=1.0,
            nearly_full=False,
            report_age=None,
            expected_utility=1.0,
            expected_load=0.0,
            round_trip=0.0,
            expected_latency=0.02,
        )

    def release(self, grant, **result):
        self._script.check("release")


class _CrashMonitor:
    """CrashMonitor that knows no request that crashes servers."""

    def __init__(self, *, script):
        self._script = script

    def check(self, digest):
        return None

    begin = end = check

    def may_retry(self, digest):
        return True

    def on_disconnect(self, digest, registration):
        self._script.check("crash-monitor")

    def on_response(self, digest):
        self._script.check("crash-monitor")


class _Sender:
    """Sender whose attempts are scripted."""

    def __init__(self, *, script):
        self.send = self.send_to = script.next_attempt


class _LinkMonitor:
    """LinkMonitor of a node that may be cut off."""

    def __init__(self, *, script):
        self.cut = self.suspected = script.cut


class _Codec:
    """Codec of requests with an ID and two seconds."""

    def read_request(self, request):
        return messages.RequestMetadata(request_id="r-1", remaining=2.0)

    def render_rejection(self, *, rejection, request_id):
        return http1.HttpResponse(
            status=rejection.problem.status, headers=(), body=b""
        )


class _ClusterState:
    """ClusterState with one route."""

    def __init__(self, *, route):
        self.configuration = topology.Configuration(
            version=7,
            routes=(route,),
            services={},
            limits=topology.CallerLimits(),
            authentication=topology.Authentication.OPEN,
        )
        self.remote_hosts = lambda region, home_regions: ("127.0.0.3",)
        self.routes = topology.RouteTable([route])
        self.caller_timeouts = {}
        self.evacuated = frozenset()


class _Log:
    """RequestLog or its events and metrics, which may fail."""

    def __init__(self, *, script):
        self._script = script

    def event(self, name, /, **fields):
        if name in ("attempt", "forwarded"):
            self._script.check("log")

    def record_response(self, **sample):
        pass

    record_rejection = record_response


@pytest.fixture
def handle():
    """Return a function that handles a POST with a script around the Proxy.

    It returns the status of the response.
    """

    def run(*attempts, idempotent=False, max_attempts=2, **options):
        script = _Script(attempts=list(attempts), **options)
        route = topology.Route(
            name="write",
            host="shop.example",
            prefix="/",
            idempotent=idempotent,
            shares=(topology.TrafficShare(service="alpha", weight=1),),
            timeout=2.0,
            target_latency=0.2,
            priority=1,
            max_attempts=max_attempts,
        )
        cluster_state = _ClusterState(route=route)
        script.cluster_state = cluster_state
        log = _Log(script=script)
        request_log = _request_log.RequestLog(
            cluster_state=cluster_state,
            events=log,
            metrics=log,
            clock=lambda: _NOW,
        )
        link_monitor = _LinkMonitor(script=script)
        sender = _Sender(script=script)
        forwarder = _forwarder.Forwarder(
            settings=_SETTINGS,
            sender=sender,
            link_monitor=link_monitor,
            cluster_state=cluster_state,
            peers=lambda: (),
            request_log=request_log,
            clock=lambda: _NOW,
        )
        proxy = _proxy.Proxy(
            cluster_state=cluster_state,
            balancer_for=lambda service: _Balancer(script=script),
            sender=sender,
            crash_monitor=_CrashMonitor(script=script),
            forwarder=forwarder,
            codec=_Codec(),
            splitter=topology.TrafficSplitter(rng=random.Random(1)),
            request_log=request_log,
            clock=lambda: _NOW,
        )
        request = http1.HttpRequest(
            method=b"POST",
            target=b"/",
            headers=((b"host", b"shop.example"),),
            body=b"",
            keep_alive=True,
        )
        return proxy.handle(request, _NOW).status

    return run


_RAN = _sender.Attempt(
    outcome=placement.AttemptOutcome.SUCCEEDED,
    may_have_run=True,
    response=http1.HttpResponse(status=200, headers=(), body=b""),
    metadata=messages.ResponseMetadata(
        request_id="r-1",
        instance="server-1",
        not_executed=False,
        misdirected=False,
        load=None,
    ),
)


@pytest.mark.parametrize("part", ["release", "crash-monitor", "log"])
@pytest.mark.parametrize("attempt", [_RAN, _LOST], ids=["ran", "lost"])
def test_failure_of_a_part_after_an_attempt_is_no_promise(
    handle, attempt, part
):
    """Guards against "has not run" for a request that a server may run.

    A part of the node fails once the server has the request.
    """
    attempt = dataclasses.replace(attempt, disconnected=attempt is _LOST)
    assert handle(attempt, fails={part}) not in _PROMISES


@pytest.mark.parametrize("fails", [{"log"}, ()])
def test_failure_while_a_node_has_the_request_is_no_promise(handle, fails):
    """Guards against "has not run" for a request that another node has."""
    result = _LOST if fails else ValueError("unexpected bytes")
    assert handle(result, cut=True, fails=fails) not in _PROMISES


@pytest.mark.parametrize("stamped", [True, False])
def test_promise_of_a_server_that_an_earlier_build_hands_out_is_not_made(
    handle, stamped
):
    """Guards against "has not run" for a request that a server ran.

    A node's own rejection, which has no stamp, is handed out.
    """
    attempt = dataclasses.replace(
        _RAN,
        outcome=placement.AttemptOutcome.FAILED,
        response=dataclasses.replace(_RAN.response, status=503),
        metadata=dataclasses.replace(
            _RAN.metadata, unfounded_promise=True, stamped=stamped
        ),
    )
    assert (handle(attempt, cut=True) in _PROMISES) is not stamped


def test_servers_that_cannot_be_reached_do_not_undo_an_attempt(handle):
    """Guards against "has not run" after an attempt that may have run.

    The servers that are tried after it cannot be reached.
    """
    attempts = [_LOST] + [_UNREACHABLE] * 4
    assert handle(*attempts, idempotent=True) not in _PROMISES


def test_request_that_reached_no_server_may_be_sent_again(handle):
    """Guards against giving up a request that has not run."""
    assert handle(*[_UNREACHABLE] * 4) in _PROMISES


def test_withdrawn_attempt_is_followed_by_another(handle):
    """Guards against giving up a request whose server was evacuated.

    It was not sent, so it neither uses up an attempt nor a retry.
    """
    withdrawn = _sender.Attempt(
        outcome=placement.AttemptOutcome.CANCELLED,
        may_have_run=False,
        withdrawn=True,
    )
    assert handle(withdrawn, withdrawn, _RAN, max_attempts=1) == 200


@pytest.mark.parametrize(("public", "status"), [(False, 401), (True, 200)])
def test_configuration_may_change_while_a_connection_is_made(
    handle, public, status
):
    """Guards against a removed key, or a key that is passed to a server.

    The deployment gets tenants after a server was chosen. What would be sent
    depends on the configuration before.
    """

    def connect(cluster_state, may_send):
        configuration = cluster_state.configuration
        (route,) = configuration.routes
        cluster_state.configuration = dataclasses.replace(
            configuration,
            routes=(dataclasses.replace(route, public=public),),
            authentication=topology.Authentication.KEYED,
            tenants={"acme": topology.Tenant(name="acme", api_keys=("k",))},
        )
        if may_send():
            return _LOST
        return _sender.Attempt(
            outcome=placement.AttemptOutcome.CANCELLED,
            may_have_run=False,
            withdrawn=True,
        )

    assert handle(connect, _RAN) == status
